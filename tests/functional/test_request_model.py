"""Stateful test of the request pipe, with a fixed seed.

`make soak` runs more examples, with new seeds. The environment variable
FESCUESHUNT_SOAK sets the number of examples, and hypothesis prints the seed.
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
SOAK_EXAMPLES = int(os.environ.get("FESCUESHUNT_SOAK", "0"))


def test_requests_keep_their_promises():
    stateful.run_state_machine_as_test(
        machine.RequestMachine,
        settings=hypothesis.settings(
            max_examples=SOAK_EXAMPLES or EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=not SOAK_EXAMPLES,
            deadline=None,
            database=None,
            phases=PHASES,
            print_blob=True,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
    print(dict(sorted(machine.RequestMachine.totals.items())))
