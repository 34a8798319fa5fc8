"""Fields of the calls to upstreams in the messages between hosts."""

from __future__ import annotations

import msgspec

from fescueshunt import errors
from fescueshunt.core import sessions, texts
from fescueshunt_wire import host_fields


class _StatementFields(msgspec.Struct, frozen=True, array_like=True):
    """A client's statement, as far as a call to an upstream needs it."""

    statement_id: bytes
    verb: sessions.Verb
    text: bytes
    name: bytes
    argument: bytes
    read_only: bool


class _Run(msgspec.Struct, frozen=True, array_like=True, tag=0):
    statement: _StatementFields
    min_position: host_fields.PositionFields


class _RunPrepared(msgspec.Struct, frozen=True, array_like=True, tag=1):
    statement: _StatementFields
    name: bytes
    min_position: host_fields.PositionFields


class _Begin(msgspec.Struct, frozen=True, array_like=True, tag=2):
    statement: _StatementFields
    min_position: host_fields.PositionFields


class _Rollback(msgspec.Struct, frozen=True, array_like=True, tag=3):
    statement: _StatementFields | None


class _SetValue(msgspec.Struct, frozen=True, array_like=True, tag=4):
    name: bytes
    value: bytes


class _Prepare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    name: bytes
    writes: bool
    shape: bytes


class _Reset(msgspec.Struct, frozen=True, array_like=True, tag=6):
    pass


AnyCall = (
    _Run | _RunPrepared | _Begin | _Rollback | _SetValue | _Prepare | _Reset
)


def to_fields(call: sessions.UpstreamCall) -> list[object]:
    """Returns the fields of a call.

    Raises:
      FrameError: if hosts don't run such a call for each other.
    """
    match call:
        case sessions.RunStatement():
            fields = _statement_fields(call.statement)
            return [0, fields, host_fields.position_fields(call.min_position)]
        case sessions.RunPrepared():
            fields = _statement_fields(call.statement)
            end = host_fields.position_fields(call.min_position)
            return [1, fields, host_fields.to_bytes(call.name), end]
        case sessions.Begin():
            fields = _statement_fields(call.statement)
            return [2, fields, host_fields.position_fields(call.min_position)]
        case sessions.Rollback():
            statement = call.statement
            return [3, _statement_fields(statement) if statement else None]
        case sessions.SetValue():
            return [
                4,
                host_fields.to_bytes(call.name),
                host_fields.to_bytes(call.value),
            ]
        case sessions.Prepare():
            prepared = call.prepared
            shape = host_fields.to_bytes(prepared.shape)
            return [5, host_fields.to_bytes(call.name), prepared.writes, shape]
        case sessions.Reset():
            return [6]
    raise errors.FrameError(f"unsupported call: {type(call).__name__}")


def to_call(model: AnyCall) -> sessions.UpstreamCall:
    """Returns the call that the fields describe.

    Raises:
      FrameError: if a text can't stand at its place.
    """
    match model:
        case _Run():
            return sessions.RunStatement(
                _to_statement(model.statement),
                host_fields.to_position(model.min_position),
            )
        case _RunPrepared():
            return sessions.RunPrepared(
                _to_statement(model.statement),
                texts.Word(host_fields.to_text(model.name)),
                host_fields.to_position(model.min_position),
            )
        case _Begin():
            return sessions.Begin(
                _to_statement(model.statement),
                host_fields.to_position(model.min_position),
            )
        case _Rollback():
            statement = model.statement
            return sessions.Rollback(
                _to_statement(statement) if statement else None
            )
        case _SetValue():
            return sessions.SetValue(
                texts.Word(host_fields.to_text(model.name)),
                texts.Line(host_fields.to_text(model.value)),
            )
        case _Prepare():
            prepared = sessions.Prepared(
                model.writes, texts.Line(host_fields.to_text(model.shape))
            )
            return sessions.Prepare(
                texts.Word(host_fields.to_text(model.name)), prepared
            )
    return sessions.Reset()


def _statement_fields(statement: sessions.Statement) -> list[object]:
    return [
        host_fields.to_bytes(statement.statement_id),
        statement.verb.value,
        host_fields.to_bytes(statement.text),
        host_fields.to_bytes(statement.name),
        host_fields.to_bytes(statement.argument),
        statement.read_only,
    ]


def _to_statement(fields: _StatementFields) -> sessions.Statement:
    return sessions.Statement(
        texts.Word(host_fields.to_text(fields.statement_id)),
        fields.verb,
        texts.Line(host_fields.to_text(fields.text)),
        name=host_fields.to_text(fields.name),
        argument=texts.Line(host_fields.to_text(fields.argument)),
        read_only=fields.read_only,
    )
