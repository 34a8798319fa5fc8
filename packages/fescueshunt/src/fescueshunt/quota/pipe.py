"""Assembles the quota pipe from its filters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    peer_items,
    quotas,
    routes,
    session_items,
    store_items,
)
from fescueshunt.quota import coordinator, shareholder

if TYPE_CHECKING:
    from fescueshunt.core import identity

ACCEPTS = (
    filters.Tick,
    peer_items.PeerAnswered,
    peer_items.PeerAsked,
    peer_items.PeerLinkEnded,
    peer_items.PeerLost,
    quotas.ShareNeeded,
    quotas.ShareShrunk,
    routes.RoutesView,
    store_items.DutyView,
    store_items.KeyChanged,
    store_items.KeysListed,
    store_items.LiveHostsView,
)

EMITS = (
    peer_items.AnswerPeer,
    peer_items.AskPeer,
    peer_items.DropPeer,
    quotas.ShareChanged,
    session_items.LogDecision,
)


def build(own_identity: identity.Identity, bound: quotas.Bound) -> filters.Pipe:
    """Returns the quota pipe of a host.

    Args:
      own_identity: the identity of this host.
      bound: what the quotas of accounts allow.
    """
    stages = (
        shareholder.Shareholder(own_identity),
        coordinator.Coordinator(own_identity, bound),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
