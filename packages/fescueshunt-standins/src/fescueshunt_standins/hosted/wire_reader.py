"""Strict reader of single messages of the line protocol.

Independent of the proxy's codec, so that its errors aren't repeated here. Bytes
are decoded as Latin-1, which keeps every byte: texts are equal only if their
bytes are.
"""

from __future__ import annotations

import dataclasses
import re

MAX_MESSAGE_BYTES = 1 << 20
LINE_END = b"\r\n"
PROXY_ID = "-"
POSITION = re.compile(r"[0-9]+\.[0-9]+", re.ASCII)
NUMBER = re.compile(r"[0-9]+", re.ASCII)
STATES = ("I", "T", "E")


class WireError(ValueError):
    """Bytes that are no message of the protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """The start of a transaction."""

    read_only: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """The commit of the open transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback:
    """The rollback of the open transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A read of an item."""

    item: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write of an item."""

    item: str
    data: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue:
    """The assignment of a session value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What a prepared statement stands for: its kind and its shape."""

    writes: bool
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """The definition of a prepared statement."""

    name: str
    shape: Shape


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """The execution of a prepared statement; a read has no data."""

    name: str
    item: str
    data: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Deallocate:
    """The removal of a prepared statement."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A statement that breaks the protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """The removal of all values and prepared statements of a connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """A question or an order of the proxy about replication.

    Attributes:
      verb: `STATUS`, `PAUSE`, `STEPDOWN` or `RESUME`.
      term: the term in the order, 0 if it has none.
    """

    verb: str
    term: int = 0


ClientText = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetValue
    | Prepare
    | Execute
    | Deallocate
)
UpstreamText = ClientText | Reset | Control
NEEDS_RECEIPT = Read | Write | Execute | Commit


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The first message of a connection, with the words after the verb."""

    words: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A statement.

    Attributes:
      id: the statement's id.
      text: the text after the id, without a `SINCE` prefix.
      call: what the text says.
      since: the position in a `SINCE` prefix, None if there is none.
    """

    id: str
    text: str
    call: UpstreamText | Unreadable
    since: str | None = None


UNREADABLE_QUERY = Query("", "", Unreadable())


@dataclasses.dataclass(frozen=True, slots=True)
class Terminate:
    """The end of a session."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of an answer."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The success of a statement."""

    receipt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Error:
    """The failure of a statement or of a start."""

    code: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """The end of an answer."""

    state: str
    position: str


Request = Start | Query | Terminate
Answer = Row | Complete | Error | Ready


def split_lines(data: bytes) -> tuple[list[bytes], bytes]:
    """Splits bytes into whole messages and the unfinished rest."""
    *bodies, rest = data.split(LINE_END)
    return [body + LINE_END for body in bodies], rest


def read_client_request(line: bytes) -> Request:
    """Reads a message that a client may send."""
    return _read_request(line, from_proxy=False)


def read_upstream_request(line: bytes) -> Request:
    """Reads a message that the proxy may send to an upstream."""
    return _read_request(line, from_proxy=True)


def read_answer(line: bytes) -> Answer:
    """Reads a message that answers a start or a statement."""
    verb, rest = _split_verb(_read_text(line))
    match verb, rest:
        case "ROW", str():
            return Row(rest)
        case "COMPLETE", str():
            return Complete(_word(rest))
        case "ERROR", str():
            code, *text = rest.split(" ", 1)
            return Error(_word(code), "".join(text))
        case "READY", str():
            state, position = _words(rest, 2)
            if state not in STATES:
                raise WireError(f"state {state!r}")
            if position != "-" and not POSITION.fullmatch(position):
                raise WireError(f"position {position!r}")
            return Ready(state, position)
    raise WireError(f"no answer: {verb!r}")


def _read_text(line: bytes) -> str:
    if len(line) > MAX_MESSAGE_BYTES:
        raise WireError(f"message of {len(line)} bytes")
    if not line.endswith(LINE_END):
        raise WireError("message doesn't end in CR LF")
    body = line[: -len(LINE_END)]
    if b"\r" in body or b"\n" in body:
        raise WireError("CR or LF inside a message")
    return body.decode("latin-1")


def _read_request(line: bytes, from_proxy: bool) -> Request:
    verb, rest = _split_verb(_read_text(line))
    match verb, rest:
        case "START", str():
            words = _words(rest)
            if len(words) > 3:
                raise WireError(f"START with {len(words)} fields")
            return Start(words)
        case "TERMINATE", None:
            return Terminate()
        case "QUERY", str():
            statement_id, text = _word_and_rest(rest)
            return _read_query(statement_id, text, from_proxy)
    raise WireError(f"no request: {verb!r}")


def _read_query(statement_id: str, text: str, from_proxy: bool) -> Query:
    since = None
    if from_proxy and text.startswith("SINCE "):
        _, since, text = _split(text, 3)
        if not POSITION.fullmatch(since):
            raise WireError(f"SINCE {since!r}")
    call = _read_proxy_call(text) if from_proxy else None
    if call is None:
        call = _read_call(text)
    if since is not None and not isinstance(call, Read | Begin | Execute):
        raise WireError("SINCE before a statement that doesn't read")
    return Query(statement_id, text, call, since)


def _read_call(text: str) -> ClientText:
    verb, rest = _split_verb(text)
    match verb, rest:
        case "BEGIN", None | "READ":
            return Begin(rest is not None)
        case "COMMIT", None:
            return Commit()
        case "ROLLBACK", None:
            return Rollback()
        case "READ", str():
            return Read(_last_field(rest))
        case "WRITE", str():
            return Write(*_word_and_rest(rest))
        case "SET", str():
            return SetValue(*_word_and_rest(rest))
        case "PREPARE", str():
            return _read_prepare(rest)
        case "EXECUTE", str():
            return _read_execute(rest)
        case "DEALLOC", str():
            return Deallocate(_word(rest))
    raise WireError(f"no statement: {text[:80]!r}")


def _read_proxy_call(text: str) -> Reset | Control | None:
    verb, rest = _split_verb(text)
    match verb, rest:
        case "RESET", None:
            return Reset()
        case (("STATUS" | "RESUME"), None):
            return Control(verb)
        case (("PAUSE" | "STEPDOWN"), str()) if NUMBER.fullmatch(rest):
            return Control(verb, int(rest))
    return None


def _read_prepare(rest: str) -> Prepare:
    name, kind, shape = _split(rest, 3)
    if kind not in ("READ", "WRITE"):
        raise WireError(f"PREPARE of kind {kind!r}")
    return Prepare(name, Shape(kind == "WRITE", _last_field(shape)))


def _read_execute(rest: str) -> Execute:
    name, arguments = _word_and_rest(rest)
    item, *data = arguments.split(" ", 1)
    return Execute(name, _word(item), data[0] if data else None)


def _split_verb(text: str) -> tuple[str, str | None]:
    verb, blank, rest = text.partition(" ")
    return verb, rest if blank else None


def _split(text: str, count: int) -> list[str]:
    """Splits into `count` fields; all but the last one are words."""
    fields = text.split(" ", count - 1)
    if len(fields) != count:
        raise WireError(f"{len(fields)} fields of {count}: {text[:80]!r}")
    for field in fields[:-1]:
        _word(field)
    return fields


def _word_and_rest(text: str) -> tuple[str, str]:
    word, rest = _split(text, 2)
    return word, rest


def _words(text: str, count: int | None = None) -> tuple[str, ...]:
    words = tuple(text.split(" "))
    if count not in (None, len(words)):
        raise WireError(f"{len(words)} fields of {count}: {text[:80]!r}")
    return tuple(_word(word) for word in words)


def _word(text: str) -> str:
    if not text or " " in text:
        raise WireError(f"not one word: {text[:80]!r}")
    return text


def _last_field(text: str) -> str:
    if not text:
        raise WireError("empty field")
    return text
