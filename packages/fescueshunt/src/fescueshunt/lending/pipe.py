"""Assembles the lending pipe from its filters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    peer_items,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.lending import borrower, lender, listening

if TYPE_CHECKING:
    from fescueshunt.core import identity

ACCEPTS = (
    filters.Tick,
    peer_items.PeerAnswered,
    peer_items.PeerAsked,
    peer_items.PeerLinkEnded,
    peer_items.PeerLost,
    replica_sets.ReplicaSetView,
    routes.RoutesView,
    session_items.AskPosition,
    session_items.BorrowConnection,
    session_items.CallReplied,
    session_items.CloseConnection,
    session_items.ConnectionFailed,
    session_items.ConnectionOpened,
    session_items.GreetLender,
    session_items.ReturnConnection,
    session_items.SendCall,
    store_items.LiveHostsView,
)

EMITS = (
    peer_items.AnswerPeer,
    peer_items.AskPeer,
    peer_items.DropPeer,
    peer_items.ListenForPeers,
    session_items.CallReplied,
    session_items.CloseConnection,
    session_items.ConnectionFailed,
    session_items.ConnectionOpened,
    session_items.LogDecision,
    session_items.OpenConnection,
    session_items.PositionLearned,
    session_items.SendCall,
    session_items.UpstreamResponded,
)


def build(
    own_identity: identity.Identity, *, lends: bool = True
) -> filters.Pipe:
    """Returns the lending pipe of a host.

    Args:
      own_identity: the identity of this host.
      lends: whether this host asks others for connections; it lends in any
        case.
    """
    stages = (
        listening.ListeningDecision(own_identity, lends=lends),
        borrower.Borrower(own_identity.name),
        lender.Lender(own_identity.name),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
