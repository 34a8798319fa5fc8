"""All the decisions of a proxy, as one core that plain calls can drive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, identity
from fescueshunt.failover import pipe as failover_pipe
from fescueshunt.health import pipe as health_pipe
from fescueshunt.members import pipe as members_pipe
from fescueshunt.request import ledger
from fescueshunt.request import pipe as request_pipe
from fescueshunt.settings import pipe as settings_pipe

if TYPE_CHECKING:
    import random


def build(
    me: identity.Identity, codec: ledger.ResultCodec, chance: random.Random
) -> filters.Core:
    """Returns the core of the proxy `me`; `chance` is its only randomness."""
    return filters.Core(
        (
            settings_pipe.build(),
            members_pipe.build(me),
            health_pipe.build(me),
            failover_pipe.build(me, chance),
            request_pipe.build(me, codec),
        )
    )
