"""Builds the request pipe from its filters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, identity, process, views
from fescueshunt.core import items as core_items
from fescueshunt.request import (
    acknowledge,
    admit,
    dedupe,
    drain,
    eligibility,
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
    watchdog,
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
    items.RetryNeeded,
    items.ConnectionReleased,
    items.RequestEnded,
    items.TransactionOpened,
    items.TransactionEnded,
    items.LedgerPurged,
)

EMITS = (
    core_items.AnswerCaller,
    core_items.CloseUpstream,
    core_items.OpenUpstream,
    core_items.RunUpstream,
    core_items.SendPeer,
    items.Answered,
    items.ConnectionReleased,
    items.LedgerPurged,
    items.RequestEnded,
    items.RetryNeeded,
    items.TransactionEnded,
    items.TransactionOpened,
    process.Stopped,
)


def build(
    local_proxy: identity.Identity,
    codec: ledger.ResultCodec,
    policy: policies.Policy,
    rng: random.Random,
) -> filters.Pipe:
    """Returns the request pipe of one proxy.

    Args:
      local_proxy: the proxy that runs the pipe.
      codec: encodes the result sets that the ledger stores.
      policy: decides home proxies, queue order and where reads run.
      rng: the seeded source of randomness for reconnect back-off.
    """
    stages = (
        dedupe.Dedupe(),
        watchdog.Watchdog(),
        drain.Drain(),
        surge.Surge(),
        admit.Admit(),
        route.Route(local_proxy, policy.homes, policy.read_preference),
        eligibility.EligibilityCheck(policy.read_preference),
        purge.Purge(local_proxy),
        queue.Queue(local_proxy, policy.homes, policy.schedule, rng),
        read.Read(),
        write.Write(codec),
        transact.Transact(codec),
        acknowledge.Acknowledge(local_proxy),
        reply.Reply(),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
