"""The decisions of a host whose front end holds sessions, as one core."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from fescueshunt.core import filters
from fescueshunt.presence import pipe as presence_pipe
from fescueshunt.replicas import pipe as replicas_pipe
from fescueshunt.routing import pipe as routing_pipe
from fescueshunt.sessions import pipe as sessions_pipe
from fescueshunt.takeover import pipe as takeover_pipe

if TYPE_CHECKING:
    from fescueshunt.core import identity


def build(me: identity.Identity, grace_s: float, seed: int = 0) -> filters.Core:
    """Returns the core of the host `me`.

    Args:
      me: this host.
      grace_s: how long a graceful stop may take; seconds.
      seed: of every random choice.
    """
    chance = random.Random(f"{me.name}/{me.incarnation}/{seed}")
    return filters.Core(
        (
            routing_pipe.build(),
            presence_pipe.build(me),
            replicas_pipe.build(chance),
            sessions_pipe.build(me, grace_s, chance),
            takeover_pipe.build(me),
        )
    )
