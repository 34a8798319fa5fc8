"""Messages about loans, signs of life and log positions on links of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import failures, loans, sessions, texts
from fescueshunt_wire import host_calls, host_fields

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fescueshunt.core import peer_items


class _LoanRequest(host_fields.Message, frozen=True, tag=1):
    loan: host_fields.Number
    upstream: host_fields.Name
    account: host_fields.Name
    priority: host_fields.Number
    target_s: host_fields.Seconds
    wait_s: host_fields.Seconds
    values: dict[bytes, bytes]
    prepared: host_fields.Name


class _RunCall(host_fields.Message, frozen=True, tag=2):
    loan: host_fields.Number
    call: host_calls.AnyCall


class _ReturnLoan(host_fields.Message, frozen=True, tag=3):
    loan: host_fields.Number


class _EndLoan(host_fields.Message, frozen=True, tag=4):
    loan: host_fields.Number


class _LoanGranted(host_fields.Message, frozen=True, tag=5):
    loan: host_fields.Number
    values: dict[bytes, bytes]
    prepared: list[host_fields.Name]
    needs_reset: bool
    expected_s: host_fields.Seconds


class _CallDone(host_fields.Message, frozen=True, tag=6):
    loan: host_fields.Number
    rows: list[bytes]
    receipt: bytes
    failure: failures.Failure | None
    detail: bytes
    state: sessions.TransactionState
    applied: host_fields.PositionFields


class _LoanFailed(host_fields.Message, frozen=True, tag=7):
    loan: host_fields.Number
    error: host_fields.Name
    detail: host_fields.Name
    refusal: failures.Failure | None
    retry_after_s: host_fields.Seconds


class _Ping(host_fields.Message, frozen=True, tag=8):
    pass


class _Pong(host_fields.Message, frozen=True, tag=9):
    pass


class _PositionRequest(host_fields.Message, frozen=True, tag=10):
    database: host_fields.Name


class _PositionReport(host_fields.Message, frozen=True, tag=11):
    database: host_fields.Name
    age_s: host_fields.Seconds
    end: host_fields.PositionFields


AnyMessage = (
    _LoanRequest
    | _RunCall
    | _ReturnLoan
    | _EndLoan
    | _LoanGranted
    | _CallDone
    | _LoanFailed
    | _Ping
    | _Pong
    | _PositionRequest
    | _PositionReport
)


def to_fields(message: peer_items.PeerMessage) -> list[object]:
    """Returns the fields of a message.

    Raises:
      FrameError: if hosts don't send each other such a message.
    """
    match message:
        case loans.LoanRequest():
            return [
                1,
                message.loan,
                message.upstream,
                message.account,
                message.priority,
                message.target_s,
                message.wait_s,
                _encode_values(message.values),
                message.prepared,
            ]
        case loans.RunCall():
            return [2, message.loan, host_calls.to_fields(message.call)]
        case loans.ReturnLoan():
            return [3, message.loan]
        case loans.EndLoan():
            return [4, message.loan]
        case loans.LoanGranted():
            return [
                5,
                message.loan,
                _encode_values(message.values),
                sorted(message.prepared),
                message.needs_reset,
                message.expected_s,
            ]
        case loans.CallDone():
            return [6, message.loan, *_reply_fields(message.reply)]
        case loans.LoanFailed():
            refusal = message.refusal
            return [
                7,
                message.loan,
                message.error,
                message.detail[: host_fields.MAX_NAME_CHARS],
                refusal.value if refusal else None,
                message.retry_after_s,
            ]
        case loans.Ping():
            return [8]
        case loans.Pong():
            return [9]
        case loans.PositionRequest():
            return [10, message.database]
        case loans.PositionReport():
            end = host_fields.position_fields(message.end)
            return [11, message.database, message.age_s, end]
    raise errors.FrameError(f"unsupported message: {type(message).__name__}")


def _reply_fields(reply: sessions.UpstreamReply) -> list[object]:
    return [
        [host_fields.to_bytes(row) for row in reply.rows],
        host_fields.to_bytes(reply.receipt),
        reply.failure.value if reply.failure else None,
        host_fields.to_bytes(reply.detail),
        reply.state.value,
        host_fields.position_fields(reply.applied),
    ]


def to_message(model: AnyMessage) -> peer_items.PeerMessage:
    """Returns the message that a model describes."""
    match model:
        case _LoanRequest():
            return loans.LoanRequest(
                model.loan,
                model.upstream,
                model.account,
                model.priority,
                model.target_s,
                model.wait_s,
                _decode_values(model.values),
                model.prepared,
            )
        case _RunCall():
            return loans.RunCall(model.loan, host_calls.to_call(model.call))
        case _ReturnLoan():
            return loans.ReturnLoan(model.loan)
        case _EndLoan():
            return loans.EndLoan(model.loan)
        case _LoanGranted():
            return loans.LoanGranted(
                model.loan,
                _decode_values(model.values),
                frozenset(model.prepared),
                model.needs_reset,
                model.expected_s,
            )
        case _CallDone():
            return loans.CallDone(model.loan, _to_reply(model))
        case _LoanFailed():
            return loans.LoanFailed(
                model.loan,
                model.error,
                model.detail,
                model.refusal,
                model.retry_after_s,
            )
        case _Ping():
            return loans.Ping()
        case _Pong():
            return loans.Pong()
        case _PositionRequest():
            return loans.PositionRequest(model.database)
        case _PositionReport():
            return loans.PositionReport(
                model.database, model.age_s, host_fields.to_position(model.end)
            )


def _to_reply(model: _CallDone) -> sessions.UpstreamReply:
    return sessions.UpstreamReply(
        tuple(texts.Line(host_fields.to_text(row)) for row in model.rows),
        texts.Line(host_fields.to_text(model.receipt)),
        model.failure,
        host_fields.to_text(model.detail),
        model.state,
        host_fields.to_position(model.applied),
    )


def _encode_values(values: Mapping[str, str]) -> dict[bytes, bytes]:
    return {
        host_fields.to_bytes(name): host_fields.to_bytes(value)
        for name, value in values.items()
    }


def _decode_values(values: dict[bytes, bytes]) -> dict[str, str]:
    return {
        texts.Word(host_fields.to_text(name)): texts.Line(
            host_fields.to_text(value)
        )
        for name, value in values.items()
    }
