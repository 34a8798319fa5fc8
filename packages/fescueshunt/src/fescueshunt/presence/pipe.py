"""Assembles the presence pipe from its filters."""

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

EMITS = (
    store_items.AskLease,
    store_items.EndLease,
    store_items.LeaseLost,
    store_items.LeaseView,
    store_items.LiveHostsView,
    store_items.RenewLease,
    store_items.WriteKey,
)


def build(own_identity: identity.Identity) -> filters.Pipe:
    """Returns the presence pipe of the host with `own_identity`."""
    stages = (
        lease.HostLease(own_identity),
        hosts.LiveHostTracker(own_identity),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
