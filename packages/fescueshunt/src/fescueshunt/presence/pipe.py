"""Assembly of the presence pipe."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    identity,
    process,
    store_items,
)
from fescueshunt.presence import hosts, lease

ACCEPTS = (
    filters.Tick,
    process.StopAsked,
    store_items.LeaseGranted,
    store_items.LeaseLost,
    store_items.LeaseCallFailed,
    store_items.KeyWritten,
    store_items.KeysListed,
    store_items.KeyChanged,
)


def build(me: identity.Identity) -> filters.Pipe:
    """Builds the presence pipe of the host `me`."""
    stages = (lease.HostLease(me), hosts.LiveHosts(me))
    return filters.Pipe(stages, ACCEPTS)
