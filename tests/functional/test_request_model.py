"""The model-based test of requests, with a fixed seed.

`make soak` runs it longer, with fresh seeds: FESCUESHUNT_SOAK is the number of
examples, and the seed is printed by hypothesis.
"""

import os

import hypothesis
from hypothesis import stateful

from lib import machine

EXAMPLES = 8
STEPS = 40
PHASES = tuple(hypothesis.Phase)
if "FESCUESHUNT_NO_SHRINK" in os.environ:
    PHASES = (hypothesis.Phase.generate,)
SOAK = int(os.environ.get("FESCUESHUNT_SOAK", "0"))


def test_requests_keep_their_promises():
    stateful.run_state_machine_as_test(
        machine.Machine,
        settings=hypothesis.settings(
            max_examples=SOAK or EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=not SOAK,
            deadline=None,
            database=None,
            phases=PHASES,
            print_blob=True,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
    print(dict(sorted(machine.Machine.totals.items())))
