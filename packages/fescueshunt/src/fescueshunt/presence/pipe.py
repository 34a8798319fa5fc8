"""The presence pipe, put together."""

from __future__ import annotations

from fescueshunt.core import filters, identity, process, session_items
from fescueshunt.presence import hosts, lease

ACCEPTS = (
    filters.Tick,
    process.StopAsked,
    session_items.LeaseGranted,
    session_items.LeaseLost,
    session_items.LeaseUnanswered,
    session_items.KeyWritten,
    session_items.KeysListed,
    session_items.KeyChanged,
)


def build(me: identity.Identity) -> filters.Pipe:
    """Returns the presence pipe of the host `me`."""
    stages = (lease.Lease(me), hosts.Hosts(me))
    return filters.Pipe(stages, ACCEPTS)
