"""The line protocol of clients and upstreams, decoded and encoded.

A line is a word and fields, separated by blanks, ended by CR LF; the last field
extends to the end of the line. Text is ASCII on the wire as documented; other
bytes pass through unchanged.
"""

from __future__ import annotations

from fescueshunt import errors
from fescueshunt.core import position, sessions

MAX_LINE_BYTES = 1 << 20
ENCODING = "latin-1"
END = b"\r\n"
NOTHING = "-"
PREFIX_SINCE = "SINCE"

_VERBS = {
    "BEGIN": sessions.Verb.BEGIN,
    "COMMIT": sessions.Verb.COMMIT,
    "ROLLBACK": sessions.Verb.ROLLBACK,
    "READ": sessions.Verb.READ,
    "WRITE": sessions.Verb.WRITE,
    "SET": sessions.Verb.SET_VALUE,
    "PREPARE": sessions.Verb.PREPARE,
    "EXECUTE": sessions.Verb.EXECUTE,
    "DEALLOC": sessions.Verb.DEALLOCATE,
}
_STATES = {
    "I": sessions.TransactionState.IDLE,
    "T": sessions.TransactionState.OPEN,
    "E": sessions.TransactionState.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_FAILURES = {
    "BUSY": sessions.Failure.BUSY,
    "ABORTED": sessions.Failure.ABORTED,
    "LAGGING": sessions.Failure.LAGGING,
    "READONLY": sessions.Failure.READ_ONLY,
    "MISROUTED": sessions.Failure.WRONG_UPSTREAM,
    "CONNLIMIT": sessions.Failure.CONNECTION_LIMIT,
    "INDOUBT": sessions.Failure.IN_DOUBT,
    "TIMEOUT": sessions.Failure.TIMEOUT,
    "FAILED": sessions.Failure.FAILED,
    "NOSTMT": sessions.Failure.NO_STATEMENT,
    "NODB": sessions.Failure.NO_DATABASE,
    "MALFORMED": sessions.Failure.INVALID,
}
_FAILURE_WORDS = {failure: word for word, failure in _FAILURES.items()}
_ROLES = {
    "primary": sessions.ReplicaRole.PRIMARY,
    "replica": sessions.ReplicaRole.REPLICA,
}


class Splitter:
    """Cuts a stream of bytes into lines."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[str]:
        """Returns the lines that `data` completes.

        Raises:
          FrameTooLargeError: if a line grows beyond the bound.
        """
        self._buffer += data
        if END not in data and b"\n" not in data:
            self._check(len(self._buffer))
            return []
        *whole, rest = bytes(self._buffer).split(END)
        self._buffer = bytearray(rest)
        for line in (*whole, rest):
            self._check(len(line))
        return [line.decode(ENCODING) for line in whole]

    def _check(self, size: int) -> None:
        if size > MAX_LINE_BYTES:
            raise errors.FrameTooLargeError(f"{size} bytes without an end")


def encode(*fields: str) -> bytes:
    """Returns the line of `fields`."""
    return " ".join(fields).encode(ENCODING, "replace") + END


def decode_start(line: str) -> tuple[str, str]:
    """Returns the route that a client names, and its account.

    Raises:
      FrameError: if the line is no start of a session.
    """
    word, _, rest = line.partition(" ")
    name, _, account = rest.partition(" ")
    if word != "START" or not name:
        raise errors.FrameError("expected the start of a session")
    return name, account


def decode_statement(line: str) -> sessions.Statement | None:
    """Returns a client's statement, None for the end of its session.

    Raises:
      FrameError: if the line is neither.
    """
    word, _, rest = line.partition(" ")
    if word == "TERMINATE":
        return None
    statement_id, _, text = rest.partition(" ")
    if word != "QUERY" or not statement_id:
        raise errors.FrameError("expected a statement")
    return _parse_statement(statement_id, text)


def _parse_statement(statement_id: str, text: str) -> sessions.Statement:
    word, _, rest = text.partition(" ")
    verb = _VERBS.get(word, sessions.Verb.INVALID)
    name, _, argument = rest.partition(" ")
    writes, shape = False, ""
    read_only = False
    match verb:
        case sessions.Verb.BEGIN:
            read_only = rest == "READ"
            if rest not in ("", "READ"):
                verb = sessions.Verb.INVALID
        case sessions.Verb.PREPARE:
            kind, _, shape = argument.partition(" ")
            writes = kind == "WRITE"
            if kind not in ("READ", "WRITE") or not shape:
                verb = sessions.Verb.INVALID
        case sessions.Verb.COMMIT | sessions.Verb.ROLLBACK:
            if rest:
                verb = sessions.Verb.INVALID
        case _ if not name:
            verb = sessions.Verb.INVALID
    return sessions.Statement(
        statement_id, verb, text, name, argument, writes, shape, read_only
    )


def encode_answer(answer: sessions.SessionAnswer) -> bytes:
    """Returns the whole answer to a client's statement."""
    lines = [encode("ROW", row) for row in answer.rows]
    if answer.failure is None:
        lines.append(encode("COMPLETE", answer.receipt or NOTHING))
    else:
        lines.append(encode_failure(answer.failure, answer.detail))
    lines.append(encode("READY", _STATE_WORDS[answer.state], NOTHING))
    return b"".join(lines)


def encode_failure(failure: sessions.Failure, detail: str) -> bytes:
    """Returns the line of a failure."""
    return encode("ERROR", _FAILURE_WORDS[failure], detail or NOTHING)


def encode_welcome() -> bytes:
    """Returns the line that opens a client's session."""
    return encode("READY", "I", NOTHING)


def encode_start(database: str, caller: str, upstream: str) -> bytes:
    """Returns the line that opens a connection to an upstream."""
    return encode("START", database, caller, upstream)


def encode_call(call: sessions.UpstreamCall) -> bytes:
    """Returns the line of a call to an upstream."""
    match call:
        case sessions.RunStatement():
            statement = call.statement
            text = _after(call.min_position, statement.text)
            return encode("QUERY", statement.statement_id, text)
        case sessions.RunPrepared():
            words = ["EXECUTE", call.name]
            if call.statement.argument:
                words.append(call.statement.argument)
            text = _after(call.min_position, " ".join(words))
            return encode("QUERY", call.statement.statement_id, text)
        case sessions.Begin():
            text = _after(call.min_position, call.statement.text)
            return encode("QUERY", call.statement.statement_id, text)
        case sessions.Rollback(statement=sessions.Statement() as asked):
            return encode("QUERY", asked.statement_id, asked.text)
        case _:
            return encode("QUERY", NOTHING, _own_text(call))


def _own_text(call: sessions.UpstreamCall) -> str:
    match call:
        case sessions.Rollback():
            return "ROLLBACK"
        case sessions.SetValue():
            return f"SET {call.name} {call.value}"
        case sessions.Prepare():
            kind = "WRITE" if call.prepared.writes else "READ"
            return f"PREPARE {call.name} {kind} {call.prepared.shape}"
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
    raise errors.FrameError(f"no such call: {call}")


def _after(since: position.Position | None, text: str) -> str:
    if since is None:
        return text
    return f"{PREFIX_SINCE} {since.term.number}.{since.index} {text}"


def decode_position(text: str) -> position.Position | None:
    """Returns the log position, None for none.

    Raises:
      FrameError: if it is neither.
    """
    if text in (NOTHING, ""):
        return None
    term, separator, index = text.partition(".")
    if not separator or not term.isdecimal() or not index.isdecimal():
        raise errors.FrameError("expected a log position")
    return position.Position(position.Term(int(term)), int(index))


class ReplyDecoder:
    """Gathers the lines of one reply of an upstream."""

    def __init__(self) -> None:
        self._rows: list[str] = []
        self._receipt = ""
        self._failure: sessions.Failure | None = None
        self._detail = ""

    def feed(self, line: str) -> sessions.UpstreamReply | None:
        """Returns the reply once `line` ends it.

        Raises:
          FrameError: if the line is none that a reply has.
        """
        word, _, rest = line.partition(" ")
        match word:
            case "ROW":
                self._rows.append(rest)
            case "COMPLETE":
                self._receipt = rest
            case "ERROR":
                code, _, self._detail = rest.partition(" ")
                self._failure = _FAILURES.get(code, sessions.Failure.FAILED)
            case "READY":
                return self._end(rest)
            case _:
                raise errors.FrameError("unknown word of an upstream")
        return None

    @property
    def failure(self) -> sessions.Failure | None:
        """The failure that was read, if any."""
        return self._failure

    @property
    def detail(self) -> str:
        """The text of the failure."""
        return self._detail

    def _end(self, rest: str) -> sessions.UpstreamReply:
        word, _, place = rest.partition(" ")
        if word not in _STATES:
            raise errors.FrameError("unknown state of an upstream")
        reply = sessions.UpstreamReply(
            tuple(self._rows),
            self._receipt,
            self._failure,
            self._detail,
            _STATES[word],
            decode_position(place),
            _decode_status(self._rows),
        )
        self.__init__()
        return reply


def _decode_status(rows: list[str]) -> sessions.ReplicaStatus | None:
    """Returns the status in a status row, None where there is none."""
    if len(rows) != 1:
        return None
    fields = rows[0].split(" ")
    if len(fields) != 7 or fields[0] not in _ROLES:
        return None
    numbers = (fields[1], *fields[3:])
    if not all(number.isdecimal() for number in numbers):
        return None
    received = decode_position(fields[2]) or position.ORIGIN
    return sessions.ReplicaStatus(
        role=_ROLES[fields[0]],
        term=int(fields[1]),
        received=received,
        paused_term=int(fields[3]),
        lag_s=int(fields[4]) / 1000,
        busy=int(fields[5]),
        connections=int(fields[6]),
    )
