"""The request pipe, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, identity, process, views
from fescueshunt.core import items as core_items
from fescueshunt.request import (
    acknowledge,
    admit,
    dedupe,
    drain,
    gate,
    items,
    ledger,
    policies,
    purge,
    queue,
    read,
    reply,
    route,
    surge,
    transact,
    write,
)

if TYPE_CHECKING:
    import random

ACCEPTS = (
    core_items.CallerRequest,
    core_items.CallerClosed,
    core_items.PeerReceived,
    core_items.PeerLost,
    core_items.UpstreamOpened,
    core_items.UpstreamReplied,
    core_items.UpstreamFailed,
    process.StopAsked,
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


def build(
    me: identity.Identity,
    codec: ledger.ResultCodec,
    policy: policies.Policy,
    chance: random.Random,
) -> filters.Pipe:
    """Returns the request pipe of the proxy `me`."""
    stages = (
        dedupe.Dedupe(),
        drain.Drain(),
        surge.Surge(),
        admit.Admit(),
        route.Route(me, policy.homes, policy.placement),
        gate.Gate(policy.placement),
        purge.Purge(me),
        queue.Queue(me, policy.homes, policy.schedule, chance),
        read.Read(),
        write.Write(codec),
        transact.Transact(codec),
        acknowledge.Acknowledge(me),
        reply.Reply(),
    )
    return filters.Pipe(stages, ACCEPTS)
