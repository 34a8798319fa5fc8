"""Codec of the line protocol that clients and upstreams use.

A line consists of a keyword and fields separated by spaces, and ends with
CR LF. The last field extends to the end of the line. Text is UTF-8; other bytes
pass through unchanged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import digits, failures, position, sessions, texts
from fescueshunt_proxy.platform import sizes

if TYPE_CHECKING:
    from collections.abc import Iterator

ENCODING = "utf-8"
OTHER_BYTES = "surrogateescape"
EMPTY_FIELD = texts.Line("-")
# Marks the statements of a proxy itself.
PROXY_STATEMENT_ID = texts.Word("-")
MIN_POSITION_KEYWORD = "SINCE"
_QUERY = texts.Word("QUERY")
_EXECUTE = texts.Word("EXECUTE")
_PREPARE = texts.Word("PREPARE")
_SET = texts.Word("SET")
_READ = texts.Word("READ")
_WRITE = texts.Word("WRITE")
_ROW = texts.Word("ROW")
_COMPLETE = texts.Word("COMPLETE")
_ERROR = texts.Word("ERROR")
# Of the description of a failure.
MAX_DETAIL_CHARS = 500
MS_PER_S = 1000

_STATE_BY_CODE = {
    "I": sessions.TransactionState.IDLE,
    "T": sessions.TransactionState.OPEN,
    "E": sessions.TransactionState.FAILED,
}
_FAILURE_BY_CODE = {
    "BUSY": failures.Failure.BUSY,
    "ABORTED": failures.Failure.ABORTED,
    "LAGGING": failures.Failure.LAGGING,
    "READONLY": failures.Failure.READ_ONLY,
    "MISROUTED": failures.Failure.WRONG_UPSTREAM,
    "CONNLIMIT": failures.Failure.CONNECTION_LIMIT,
    "INDOUBT": failures.Failure.IN_DOUBT,
    "TIMEOUT": failures.Failure.TIMEOUT,
    "FAILED": failures.Failure.FAILED,
    "NOSTMT": failures.Failure.NO_STATEMENT,
    "NODB": failures.Failure.NO_DATABASE,
    "DENIED": failures.Failure.DENIED,
    "MALFORMED": failures.Failure.INVALID,
}
_CODE_BY_FAILURE = {
    failure: texts.Word(code) for code, failure in _FAILURE_BY_CODE.items()
}
_ROLE_BY_NAME = {
    "primary": sessions.ReplicaRole.PRIMARY,
    "replica": sessions.ReplicaRole.REPLICA,
}


class LineBuffer:
    """Received bytes, from which lines are taken one at a time."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    def __len__(self) -> int:
        """Returns the number of bytes."""
        return len(self._buffer)

    def add(self, data: bytes) -> None:
        """Appends received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Drops all bytes."""
        self._buffer.clear()
        self._searched = 0

    def line_size(self) -> int | None:
        """Returns the size of the first line with its end; None without an end.

        Raises:
          FrameTooLargeError: if the line is too long.
        """
        end = self._buffer.find(sizes.LINE_END, self._searched)
        if end < 0:
            # The line end may be split between two reads.
            self._searched = max(len(self._buffer) - 1, 0)
            _check_size(len(self._buffer) + 1)
            return None
        self._searched = end
        size = end + len(sizes.LINE_END)
        _check_size(size)
        return size

    def take_line(self, size: int) -> str:
        """Removes and returns the first line, whose size is given."""
        line = bytes(memoryview(self._buffer)[: size - len(sizes.LINE_END)])
        del self._buffer[:size]
        self._searched = 0
        return line.decode(ENCODING, OTHER_BYTES)


class LineSplitter:
    """Splits a byte stream into lines.

    All that is complete at once, which is several times as fast as to take one
    line after the other from a `LineBuffer`.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def split(self, data: bytes) -> Iterator[str]:
        """Appends `data` and yields the lines that it completes.

        Raises:
          FrameTooLargeError: after the lines before one that is too long.
        """
        self._buffer += data
        if b"\n" not in data:
            self._check_incomplete()
            return
        *complete_lines, incomplete_line = bytes(self._buffer).split(
            sizes.LINE_END
        )
        self._buffer = bytearray(incomplete_line)
        for line in complete_lines:
            _check_size(len(line) + len(sizes.LINE_END))
            yield line.decode(ENCODING, OTHER_BYTES)
        self._check_incomplete()

    def _check_incomplete(self) -> None:
        """Checks that at least one more byte fits into the incomplete line."""
        _check_size(len(self._buffer) + 1)

    @property
    def has_incomplete_line(self) -> bool:
        """Whether a line has begun and has not ended."""
        return bool(self._buffer)


def _check_size(size: int) -> None:
    if size > sizes.MAX_LINE_BYTES:
        raise errors.FrameTooLargeError(f"{size} bytes in a line")


def encode_fields(*fields: str) -> bytes:
    """Encodes words and a last field, which may contain blanks, as one line.

    Raises:
      FrameError: if a field can't stand at its place, or the line is too long.
    """
    *words, last = fields
    parts = [*map(texts.Word, words), texts.Line(last)]
    data = " ".join(parts).encode(ENCODING, OTHER_BYTES) + sizes.LINE_END
    _check_size(len(data))
    return data


_READY_LINE_BY_STATE = {
    state: encode_fields("READY", code, EMPTY_FIELD)
    for code, state in _STATE_BY_CODE.items()
}


def encode_answer(answer: sessions.SessionAnswer) -> bytes:
    """Encodes all lines of the answer to a client's statement."""
    lines = [encode_fields(_ROW, row) for row in answer.rows]
    if answer.failure is None:
        lines.append(encode_fields(_COMPLETE, answer.receipt or EMPTY_FIELD))
    else:
        lines.append(encode_failure(answer.failure, answer.detail))
    lines.append(_READY_LINE_BY_STATE[answer.state])
    return b"".join(lines)


def encode_failure(failure: failures.Failure, detail: str) -> bytes:
    """Encodes a failure as an error line; a long `detail` is cut."""
    detail = texts.shorten(detail or EMPTY_FIELD, MAX_DETAIL_CHARS)
    return encode_fields(_ERROR, _CODE_BY_FAILURE[failure], detail)


def encode_welcome() -> bytes:
    """Encodes the line that confirms to a client that its session is open."""
    return _READY_LINE_BY_STATE[sessions.TransactionState.IDLE]


def encode_start(database: str, caller: str, upstream: str) -> bytes:
    """Encodes the line that starts a session with an upstream."""
    return encode_fields("START", database, caller, upstream)


def encode_call(call: sessions.UpstreamCall) -> bytes:
    """Encodes a call to an upstream.

    Raises:
      FrameError: if the protocol has no such call, or a field of it can't stand
        at its place.
    """
    match call:
        case sessions.RunStatement():
            statement = call.statement
            text = _add_min_position(call.min_position, statement.text)
            return encode_fields(_QUERY, statement.statement_id, text)
        case sessions.RunPrepared():
            text = _join_fields(_EXECUTE, call.name, call.statement.argument)
            text = _add_min_position(call.min_position, text)
            return encode_fields(_QUERY, call.statement.statement_id, text)
        case sessions.Begin():
            text = _add_min_position(call.min_position, call.statement.text)
            return encode_fields(_QUERY, call.statement.statement_id, text)
        case sessions.Rollback(
            statement=sessions.Statement() as rollback_statement
        ):
            return encode_fields(
                _QUERY,
                rollback_statement.statement_id,
                rollback_statement.text,
            )
        case _:
            return encode_fields(
                _QUERY, PROXY_STATEMENT_ID, _format_internal_call(call)
            )


def _format_internal_call(call: sessions.UpstreamCall) -> str:
    match call:
        case sessions.Rollback():
            return "ROLLBACK"
        case sessions.SetValue():
            return _join_fields(_SET, call.name, call.value)
        case sessions.Prepare():
            kind = _WRITE if call.prepared.writes else _READ
            return _join_fields("PREPARE", call.name, kind, call.prepared.shape)
        case sessions.Reset():
            return "RESET"
        case sessions.GetStatus():
            return "STATUS"
        case sessions.Pause():
            return f"PAUSE {call.term}"
        case sessions.Resume():
            return "RESUME"
        case sessions.StepDown():
            return f"STEPDOWN {call.term}"
    raise errors.FrameError(f"unsupported call: {call}")


def _join_fields(*fields: str) -> texts.Line:
    """Returns the text with the given words and last field."""
    *words, last = fields
    return texts.Line(" ".join((*map(texts.Word, words), last)))


def _add_min_position(min_position: position.Position | None, text: str) -> str:
    if min_position is None:
        return text
    return (
        f"{MIN_POSITION_KEYWORD} "
        f"{min_position.term.number}.{min_position.index} {text}"
    )


def decode_position(text: str) -> position.Position | None:
    """Decodes a log position; returns None if the field is empty.

    Raises:
      FrameError: if the field is not a log position.
    """
    if text in (EMPTY_FIELD, ""):
        return None
    term, separator, index = text.partition(".")
    term_number = digits.parse_number(term)
    index_number = digits.parse_number(index)
    if not separator or term_number is None or index_number is None:
        raise errors.FrameError("expected a log position")
    return position.Position(position.Term(term_number), index_number)


class ReplyDecoder:
    """Assembles the replies of an upstream from their lines.

    The reply to the start of the session has neither receipt nor failure.
    """

    def __init__(self) -> None:
        self._has_started = False
        self._clear()

    def _clear(self) -> None:
        self._has_outcome = False
        self._rows: list[str] = []
        self._receipt = ""
        self._failure: failures.Failure | None = None
        self._detail = ""

    def feed(self, line: str) -> sessions.UpstreamReply | None:
        """Adds a line; returns the reply if the line completes it, else None.

        Raises:
          FrameError: if the line can't be part of a reply.
        """
        keyword, _, fields_text = line.partition(" ")
        match keyword:
            case "ROW" if not self._has_outcome:
                self._add_row(fields_text)
            case "COMPLETE" if fields_text and not self._has_outcome:
                self._receipt = texts.Line(fields_text)
                self._has_outcome = True
            case "ERROR" if not self._has_outcome:
                self._has_outcome = True
                code, _, self._detail = fields_text.partition(" ")
                self._failure = _FAILURE_BY_CODE.get(
                    code, failures.Failure.FAILED
                )
            case "READY":
                return self._build_reply(fields_text)
            case _:
                raise errors.FrameError("unexpected line from upstream")
        return None

    def _add_row(self, row: str) -> None:
        """Adds a row; the reply fails if clients can't be sent the row."""
        try:
            self._rows.append(texts.Line(row))
        except errors.FrameError as exc:
            self._failure = failures.Failure.FAILED
            self._detail = exc.detail

    @property
    def failure(self) -> failures.Failure | None:
        """The failure in the incomplete reply, or None."""
        return self._failure

    @property
    def detail(self) -> str:
        """The error message that came with the failure."""
        return self._detail

    def _build_reply(self, fields_text: str) -> sessions.UpstreamReply:
        state_code, _, position_text = fields_text.partition(" ")
        if state_code not in _STATE_BY_CODE:
            raise errors.FrameError("unknown transaction state from upstream")
        if self._has_started and not self._has_outcome:
            raise errors.FrameError("reply without an outcome from upstream")
        self._has_started = True
        reply = sessions.UpstreamReply(
            tuple(self._rows),
            self._receipt,
            self._failure,
            self._detail,
            _STATE_BY_CODE[state_code],
            decode_position(position_text),
            _decode_status(self._rows),
        )
        self._clear()
        return reply


def _decode_status(rows: list[str]) -> sessions.ReplicaStatus | None:
    """Decodes a status row; returns None if the rows are not a status."""
    if len(rows) != 1:
        return None
    fields = rows[0].split(" ")
    if len(fields) != 7 or fields[0] not in _ROLE_BY_NAME:
        return None
    numbers = [digits.parse_number(text) for text in (fields[1], *fields[3:])]
    try:
        received = decode_position(fields[2]) or position.ORIGIN
    except errors.FrameError:
        return None
    if None in numbers:
        return None
    term, paused_term, lag_ms, busy, connections = numbers
    return sessions.ReplicaStatus(
        role=_ROLE_BY_NAME[fields[0]],
        term=term,
        received=received,
        paused_term=paused_term,
        lag_s=lag_ms / MS_PER_S,
        busy=busy,
        connections=connections,
    )
