"""Assembles the core of a proxy from its pipes.

The core makes all decisions of the proxy and performs no I/O.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from fescueshunt import proxy_border
from fescueshunt.core import filters, wiring
from fescueshunt.failover import pipe as failover_pipe
from fescueshunt.health import pipe as health_pipe
from fescueshunt.members import pipe as members_pipe
from fescueshunt.observe import pipe as observe_pipe
from fescueshunt.operators import pipe as operators_pipe
from fescueshunt.request import pipe as request_pipe
from fescueshunt.request import policies
from fescueshunt.settings import pipe as settings_pipe

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fescueshunt.core import identity
    from fescueshunt.request import ledger


def build(
    own_identity: identity.Identity,
    codec: ledger.ResultCodec,
    seed: int = 0,
    seeds: Sequence[str] = (),
    policy: policies.Policy | None = None,
) -> filters.Core:
    """Returns the core of the proxy with `own_identity`.

    Args:
      own_identity: the identity of this proxy.
      codec: the codec with which the ledger stores answers.
      seed: the seed of all random choices.
      seeds: the addresses of other proxies, for starting without the host list.
      policy: the policies for home assignment, scheduling and placement of
        reads.

    Raises:
      errors.WiringError: if the pipes and the border don't fit together.
    """
    policy = policy or policies.Policy()
    rng = random.Random(
        f"{own_identity.name}/{own_identity.incarnation}/{seed}"
    )
    pipes = {
        "settings": settings_pipe.build(own_identity, rng),
        "members": members_pipe.build(own_identity, rng, seeds),
        "health": health_pipe.build(own_identity, policy.homes),
        "failover": failover_pipe.build(own_identity, rng),
        "request": request_pipe.build(own_identity, codec, policy, rng),
        "operators": operators_pipe.build(own_identity),
        "observe": observe_pipe.build(own_identity),
    }
    wiring.check(pipes, proxy_border.BORDER)
    return filters.Core(tuple(pipes.values()))
