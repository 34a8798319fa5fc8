"""Messages between hosts: what is sent arrives, and nothing else is read."""

from __future__ import annotations

import contextlib

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import failures, loans, position, quotas, sessions, texts
from fescueshunt_wire import host_calls, host_messages

END = position.Position(position.Term(3), 7)
STATEMENT = sessions.Statement(
    texts.Word("id"),
    sessions.Verb.READ,
    texts.Line("READ é \udcff"),
    name="é",
    argument=texts.Line("a b"),
)
CALLS = (
    sessions.RunStatement(STATEMENT, END),
    sessions.RunStatement(STATEMENT),
    sessions.RunPrepared(STATEMENT, texts.Word("n"), END),
    sessions.Begin(STATEMENT, END),
    sessions.Rollback(STATEMENT),
    sessions.Rollback(),
    sessions.SetValue(texts.Word("x"), texts.Line("a \udcfe b")),
    sessions.Prepare(
        texts.Word("n"), sessions.Prepared(True, texts.Line("q w"))
    ),
    sessions.Reset(),
)
REPLY = sessions.UpstreamReply(
    (texts.Line("a \udcff"), texts.Line("")),
    texts.Line("r"),
    None,
    "",
    sessions.TransactionState.OPEN,
    END,
)
MESSAGES = (
    host_messages.Hello("h1"),
    loans.LoanRequest(1, "u", "a", 0, 0.1, 0.05, {"x": "1 2"}, "p"),
    *(loans.RunCall(1, call) for call in CALLS),
    loans.ReturnLoan(1),
    loans.EndLoan(2),
    loans.LoanGranted(1, {"x": "\udcff"}, frozenset(("p", "q")), True, 0.1),
    loans.CallDone(1, REPLY),
    loans.LoanFailed(1, "busy", "why", failures.Failure.BUSY, 0.5),
    loans.LoanFailed(1, "lost"),
    loans.Ping(),
    loans.Pong(),
    loans.PositionRequest("db"),
    loans.PositionReport("db", 0.2, END),
    loans.PositionReport("db", 0.0, None),
    quotas.QuotaReport(
        3, 4, 2, (quotas.ShareWish("a", 0.5, 0.25, 3.0, 2, 1.5),)
    ),
    quotas.QuotaShares(7, 1, 4, (quotas.ShareGrant("a", 0.5, 3.0),), 2.5),
)


def _decode(frames: list[bytes]) -> list[object]:
    return [
        message for frame in frames for message in host_messages.decode(frame)
    ]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_arrives_as_it_was_sent(message):
    assert _decode(host_messages.encode([message])) == [message]


def test_messages_of_a_batch_arrive_in_order():
    frames = host_messages.encode(MESSAGES)
    assert len(frames) == 1
    assert _decode(frames) == list(MESSAGES)


def test_large_batch_is_split_into_frames():
    text = texts.Line("READ " + "x" * 100_000)
    statement = sessions.Statement(texts.Word("id"), sessions.Verb.READ, text)
    message = loans.RunCall(1, sessions.RunStatement(statement))
    frames = host_messages.encode([message] * 30)
    assert len(frames) > 5
    assert _decode(frames) == [message] * 30


# Failure: a call that one host must not run for another was passed on.
@pytest.mark.parametrize(
    "call", [sessions.Pause(1), sessions.StepDown(2), sessions.Resume()]
)
def test_control_calls_are_not_sent_to_other_hosts(call):
    with pytest.raises(errors.FrameError):
        host_calls.to_fields(call)


# Failure: bytes of another program ended the process, or were taken for a
# message.
@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_frame_error(data: bytes):
    with contextlib.suppress(errors.FrameError):
        host_messages.decode(data)


@pytest.mark.parametrize(
    "fields",
    [
        [99],
        [3],
        [3, -1],
        [3, "1"],
        [2, 1, [9]],
        [4, 2**60],
        [2, 1, [4, b"two words", b"v"]],
        [2, 1, [4, b"name", b"line\r\nbreak"]],
        [2, 1, [0, [b"id", "read", b"a\nb", b"", b"", False], None]],
        [13, 1, 1, 1, [["a", 7.0, 0.0]]],
        "text",
        {"a": 1},
    ],
)
def test_fields_out_of_range_are_refused(fields: object):
    with pytest.raises(errors.FrameError):
        host_messages.decode(cbor2.dumps([fields]))
