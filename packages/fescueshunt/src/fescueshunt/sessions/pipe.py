"""The sessions pipe, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    identity,
    process,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.sessions import choose, converse, dispatch, items, readiness

if TYPE_CHECKING:
    import random

ACCEPTS = (
    session_items.SessionRequested,
    session_items.StatementReceived,
    session_items.SessionClosed,
    session_items.LinkOpened,
    session_items.LinkReplied,
    session_items.LinkFailed,
    session_items.CallUpstream,
    store_items.LiveHostsView,
    store_items.LeaseView,
    items.WorkDone,
    items.TransactionDropped,
    process.StopAsked,
    filters.Tick,
    replica_sets.ReplicaSetView,
    routes.RoutesView,
)


def build(
    me: identity.Identity, grace_s: float, chance: random.Random
) -> filters.Pipe:
    """Returns the sessions pipe of the host `me`.

    Args:
      me: this host.
      grace_s: how long a graceful stop may take; seconds.
      chance: the source of random choices.
    """
    stages = (
        readiness.Readiness(),
        converse.Converse(grace_s),
        dispatch.Dispatch(choose.LeastLoaded(me), chance),
    )
    return filters.Pipe(stages, ACCEPTS)
