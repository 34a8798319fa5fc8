"""The items that a host of the platform exchanges with its border."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    peer_items,
    process,
    quotas,
    replica_sets,
    routes,
    session_items,
    store_items,
    wiring,
)
from fescueshunt.routing import items as routing_items
from fescueshunt.sessions import items as pipe_items

BORDER = wiring.Border(
    sources=frozenset(
        (
            filters.Tick,
            peer_items.PeerAnswered,
            peer_items.PeerAsked,
            peer_items.PeerLinkEnded,
            peer_items.PeerLost,
            process.StopAsked,
            routing_items.RoutesRead,
            routing_items.RoutesUnreadable,
            session_items.CallReplied,
            session_items.ClientConnected,
            session_items.ClientDisconnected,
            session_items.ClientDropped,
            session_items.ConnectionFailed,
            session_items.ConnectionOpened,
            session_items.RequestMalformed,
            session_items.SessionClosed,
            session_items.SessionRequested,
            session_items.StatementReceived,
            store_items.EntriesListed,
            store_items.EntryChanged,
            store_items.EntryRemoved,
            store_items.KeyChanged,
            store_items.KeyRead,
            store_items.KeyWritten,
            store_items.KeysListed,
            store_items.LeaseCallFailed,
            store_items.LeaseGranted,
            store_items.LeaseLost,
            store_items.PromotionCompleted,
        )
    ),
    sinks=frozenset(
        (
            peer_items.AnswerPeer,
            peer_items.AskPeer,
            peer_items.DropPeer,
            peer_items.ListenForPeers,
            pipe_items.JobFinished,
            pipe_items.ReadinessView,
            process.Stopped,
            quotas.OperationRefused,
            replica_sets.ReplicaSetView,
            routes.RoutesView,
            session_items.AcceptSession,
            session_items.CloseConnection,
            session_items.CloseSession,
            session_items.LogDecision,
            session_items.OpenConnection,
            session_items.PauseClient,
            session_items.RejectSession,
            session_items.ResumeClient,
            session_items.SendCall,
            session_items.SendSessionAnswer,
            session_items.StopListening,
            store_items.AskLease,
            store_items.CallPromotion,
            store_items.DutyView,
            store_items.EndLease,
            store_items.LeaseView,
            store_items.LiveHostsView,
            store_items.ReadKey,
            store_items.RenewLease,
            store_items.WriteKey,
        )
    ),
)
