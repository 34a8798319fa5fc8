"""All the decisions of a proxy, as one core that plain calls can drive."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from fescueshunt.core import filters
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
    me: identity.Identity,
    codec: ledger.ResultCodec,
    seed: int = 0,
    seeds: Sequence[str] = (),
    policy: policies.Policy | None = None,
) -> filters.Core:
    """Returns the core of the proxy `me`.

    Args:
      me: this proxy.
      codec: how answers are stored in the ledger.
      seed: of every random choice.
      seeds: addresses of other proxies, for a start without the host list.
      policy: how connections, slots and reads are shared out.
    """
    policy = policy or policies.Policy()
    chance = random.Random(f"{me.name}/{me.incarnation}/{seed}")
    return filters.Core(
        (
            settings_pipe.build(me, chance),
            members_pipe.build(me, chance, seeds),
            health_pipe.build(me, policy.homes),
            failover_pipe.build(me, chance),
            request_pipe.build(me, codec, policy, chance),
            operators_pipe.build(me),
            observe_pipe.build(me),
        )
    )
