"""Assembles the core of a host that serves client sessions."""

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


def build(
    own_identity: identity.Identity, grace_s: float, seed: int = 0
) -> filters.Core:
    """Returns the core of the host with `own_identity`.

    Args:
      own_identity: the identity of this host.
      grace_s: the longest time a graceful shutdown may take, in seconds.
      seed: the seed of the core's random number generator.
    """
    rng = random.Random(
        f"{own_identity.name}/{own_identity.incarnation}/{seed}"
    )
    return filters.Core(
        (
            routing_pipe.build(),
            presence_pipe.build(own_identity),
            replicas_pipe.build(rng),
            sessions_pipe.build(own_identity, grace_s, rng),
            takeover_pipe.build(own_identity),
        )
    )
