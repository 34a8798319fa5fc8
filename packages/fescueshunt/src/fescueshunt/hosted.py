"""Assembles the core of a host that serves client sessions."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from fescueshunt import hosted_border
from fescueshunt.core import filters, quotas, wiring
from fescueshunt.lending import pipe as lending_pipe
from fescueshunt.presence import pipe as presence_pipe
from fescueshunt.quota import pipe as quota_pipe
from fescueshunt.replicas import pipe as replicas_pipe
from fescueshunt.routing import pipe as routing_pipe
from fescueshunt.sessions import pipe as sessions_pipe
from fescueshunt.takeover import pipe as takeover_pipe

if TYPE_CHECKING:
    from fescueshunt.core import identity


def build(
    own_identity: identity.Identity,
    grace_s: float,
    seed: int = 0,
    bound: quotas.Bound = quotas.Bound(),  # noqa: B008
    *,
    lends: bool = False,
) -> filters.Core:
    """Returns the core of the host with `own_identity`.

    Args:
      own_identity: the identity of this host.
      grace_s: the longest time a graceful shutdown may take, in seconds.
      seed: the seed of the core's random number generator.
      bound: what the quotas of client accounts allow.
      lends: whether hosts lend each other connections where these are few.

    Raises:
      errors.WiringError: if the pipes and the border don't fit together.
    """
    rng = random.Random(
        f"{own_identity.name}/{own_identity.incarnation}/{seed}"
    )
    pipes = {
        "routing": routing_pipe.build(),
        "presence": presence_pipe.build(own_identity),
        "replicas": replicas_pipe.build(rng),
        "sessions": sessions_pipe.build(
            own_identity, grace_s, rng, bound, lends=lends
        ),
        "takeover": takeover_pipe.build(own_identity),
        "lending": lending_pipe.build(own_identity, lends=lends),
        "quota": quota_pipe.build(own_identity, bound),
    }
    wiring.check(pipes, hosted_border.BORDER)
    return filters.Core(tuple(pipes.values()))
