"""Assembles the sessions pipe from its filters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    identity,
    process,
    quotas,
    replica_sets,
    routes,
    session_items,
    store_items,
)
from fescueshunt.sessions import (
    choose,
    dispatch,
    items,
    quota_gate,
    readiness,
    receipts,
    sequencer,
    session_handler,
    stop_delay,
    stop_sequence,
)

if TYPE_CHECKING:
    import random

ACCEPTS = (
    session_items.ClientConnected,
    session_items.SessionRequested,
    session_items.StatementReceived,
    session_items.SessionClosed,
    session_items.RequestMalformed,
    session_items.ClientDisconnected,
    session_items.ClientDropped,
    session_items.SendSessionAnswer,
    session_items.ConnectionOpened,
    session_items.CallReplied,
    session_items.ConnectionFailed,
    session_items.CallUpstream,
    store_items.LiveHostsView,
    store_items.LeaseView,
    items.JobFinished,
    items.TransactionLost,
    process.StopAsked,
    filters.Tick,
    replica_sets.ReplicaSetView,
    routes.RoutesView,
    quotas.ShareChanged,
)

EMITS = (
    items.JobFinished,
    items.ReadinessView,
    items.TransactionLost,
    process.Stopped,
    quotas.OperationRefused,
    quotas.ShareNeeded,
    quotas.ShareShrunk,
    session_items.AcceptSession,
    session_items.AskPosition,
    session_items.BorrowConnection,
    session_items.CloseConnection,
    session_items.CloseSession,
    session_items.ConfirmationRequested,
    session_items.GreetLender,
    session_items.LogDecision,
    session_items.OpenConnection,
    session_items.PauseClient,
    session_items.RejectSession,
    session_items.ResumeClient,
    session_items.ReturnConnection,
    session_items.SendCall,
    session_items.SendSessionAnswer,
    session_items.StopListening,
    session_items.UpstreamCallCompleted,
    session_items.UpstreamResponded,
    session_items.UpstreamSuspected,
)


def build(
    own_identity: identity.Identity,
    grace_s: float,
    rng: random.Random,
    bound: quotas.Bound = quotas.Bound(),  # noqa: B008
    *,
    lends: bool = False,
) -> filters.Pipe:
    """Returns the sessions pipe of a host.

    Args:
      own_identity: the identity of this host.
      grace_s: the longest time that a graceful stop may take; seconds.
      rng: the source of random numbers.
      bound: what the quotas of accounts allow.
      lends: whether hosts lend each other connections where these are few.
    """
    stages = (
        readiness.Readiness(),
        stop_delay.StopDelay(),
        sequencer.RequestSequencer(),
        stop_sequence.StopSequence(grace_s),
        receipts.ReceiptGuard(),
        session_handler.SessionHandler(grace_s),
        quota_gate.QuotaGate(bound, rng),
        dispatch.Dispatcher(
            choose.LeastLoadedPolicy(own_identity, rng), rng, lends=lends
        ),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
