"""What is logged of the calls that set up a connection."""

from __future__ import annotations

import pytest

from fescueshunt.core import session_items, sessions
from fescueshunt.sessions import pool, reports

SHAPE = "q5 READ cq"
NAME = "name-1"


def _events(
    call: sessions.UpstreamCall, failure: sessions.Failure | None
) -> list[session_items.LogDecision]:
    conn = pool.Connection(3, "u0", 0.0)
    reply = sessions.UpstreamReply(
        (), "", failure, "detail", sessions.TransactionState.IDLE, None
    )
    item = session_items.CallReplied(1.0, conn.number, reply)
    return list(reports.setup_call_replied(conn, call, item))


# Failure: the log of an incident didn't tell which shape a prepared name stood
# for.
def test_prepared_statement_is_logged_with_its_name_and_shape():
    call = sessions.Prepare(NAME, sessions.Prepared(True, SHAPE))
    (event,) = _events(call, None)
    assert event.event == "statement_prepared"
    assert event.details["name"] == NAME
    assert event.details["shape"] == SHAPE
    assert event.details["writes"]


# Failure: the log of an incident didn't tell which setup call had failed.
@pytest.mark.parametrize(
    "call",
    [
        sessions.Reset(),
        sessions.SetValue("v", "1"),
        sessions.Prepare(NAME, sessions.Prepared(False, SHAPE)),
    ],
)
def test_failed_setup_call_is_logged_with_its_outcome(
    call: sessions.UpstreamCall,
):
    (event,) = _events(call, sessions.Failure.FAILED)
    assert event.event == "setup_failed"
    assert event.details["call"] == type(call).__name__
    assert event.details["outcome"] == "failed"
    assert event.details["why"] == "detail"


# Failure: a client's long text filled the log.
def test_logged_texts_of_clients_are_cut():
    call = sessions.Prepare(NAME, sessions.Prepared(False, "x" * 100_000))
    (event,) = _events(call, None)
    assert len(event.details["shape"]) == reports.MAX_LOGGED_CHARS
