"""The request pipe, put together."""

from __future__ import annotations

from fescueshunt.core import filters, identity, views
from fescueshunt.core import items as core_items
from fescueshunt.request import (
    acknowledge,
    admit,
    dedupe,
    drain,
    gate,
    items,
    ledger,
    purge,
    queue,
    read,
    reply,
    route,
    transact,
    write,
)

ACCEPTS = (
    core_items.CallerRequest,
    core_items.CallerClosed,
    core_items.PeerReceived,
    core_items.PeerLost,
    core_items.UpstreamOpened,
    core_items.UpstreamReplied,
    core_items.UpstreamFailed,
    core_items.StopAsked,
    filters.Tick,
    views.SettingsView,
    views.FleetView,
    views.GroupView,
    items.Retried,
    items.Released,
    items.Ended,
    items.TransactionOpened,
    items.TransactionEnded,
    items.Purged,
)


def build(me: identity.Identity, codec: ledger.ResultCodec) -> filters.Pipe:
    """Returns the request pipe of the proxy `me`."""
    stages = (
        dedupe.Dedupe(),
        drain.Drain(),
        admit.Admit(),
        route.Route(me),
        gate.Gate(),
        purge.Purge(me),
        queue.Queue(),
        read.Read(),
        write.Write(codec),
        transact.Transact(codec),
        acknowledge.Acknowledge(me),
        reply.Reply(),
    )
    return filters.Pipe(stages, ACCEPTS)
