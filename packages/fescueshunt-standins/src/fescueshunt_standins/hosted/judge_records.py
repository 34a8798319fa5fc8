"""What the judge knows of clients, statements and upstream connections."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import TYPE_CHECKING

from fescueshunt_standins.hosted import wire_reader

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

MAX_FINISHED_STATEMENTS = 20_000
MAX_PLAIN_KEY_CHARS = 200


@dataclasses.dataclass(slots=True, eq=False)
class Transaction:
    """A transaction that a client asked for.

    Attributes:
      client: the client.
      connection: the upstream connection that ran its first statement.
      begun: whether a statement other than `BEGIN` has run in it.
      refused: whether its `BEGIN` failed, so that none is open at the client.
      no_effect_code: the code that says that nothing of it is kept, "" if none.
      committed_writes: whether writes of it have been committed.
      outer: the client's transaction before this one, if the client had not
        asked for its end; this one's `BEGIN` is then refused.
    """

    client: str
    connection: str | None = None
    begun: bool = False
    refused: bool = False
    no_effect_code: str = ""
    committed_writes: bool = False
    outer: Transaction | None = None

    def outers(self) -> Iterator[Transaction]:
        """Yields the transactions that may still be open instead."""
        outer = self.outer
        while outer is not None:
            yield outer
            outer = outer.outer


@dataclasses.dataclass(frozen=True, slots=True)
class KeptCounts:
    """How many clients, connections and statements a judge remembers."""

    clients: int
    connections: int
    statements: int


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run of a statement that the upstream reported as a success."""

    receipt: str
    rows: bytes


@dataclasses.dataclass(slots=True, eq=False)
class SentStatement:
    """A statement that a client sent.

    Attributes:
      client: the client.
      query: the statement.
      transaction: the client's transaction that it belongs to, None if none.
      values: what may be set when it runs: by name, the permitted values;
        None means unset.
      shapes: what its prepared name may stand for; None means unknown.
      runs: the runs that upstreams reported.
      effects: how often its write took effect.
      no_effect_code: the code that the client received for it and that says
        that nothing of it is kept, "" if none.
      answered: whether the client got an answer or has left.
    """

    client: str
    query: wire_reader.Query
    transaction: Transaction | None
    values: Mapping[str, frozenset[str | None]]
    shapes: frozenset[wire_reader.Shape | None]
    runs: list[Run] = dataclasses.field(default_factory=list)
    effects: int = 0
    no_effect_code: str = ""
    answered: bool = False

    def describe(self) -> str:
        """Returns a text that names the statement and its client."""
        query = self.query
        return f"client {self.client}: {query.id} {query.text[:100]!r}"


@dataclasses.dataclass(slots=True, eq=False)
class RowsDigest:
    """A digest of the rows of an answer, whose memory doesn't grow."""

    _hash: hashlib._Hash = dataclasses.field(default_factory=hashlib.blake2b)

    def add(self, row: wire_reader.Row) -> None:
        """Adds the next row."""
        text = row.text.encode("latin-1")
        self._hash.update(len(text).to_bytes(8) + text)

    def digest(self) -> bytes:
        """Returns the digest of the rows so far."""
        return self._hash.digest()


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A complete answer to a request.

    Attributes:
      reply: its end before the `READY` message; None if it has none.
      rows: the digest of its rows.
      state: the state of the transaction after it.
    """

    reply: wire_reader.Complete | wire_reader.Error | None
    rows: bytes
    state: str


class AnswerAssembler:
    """Assembles answers from the messages of a session or connection.

    Attributes:
      reply: the end of the incomplete answer, or None if it hasn't come.
    """

    def __init__(self) -> None:
        self.reply: wire_reader.Complete | wire_reader.Error | None = None
        self._rows = RowsDigest()
        self._has_started = False

    def add(self, message: wire_reader.Answer) -> CompleteAnswer | None:
        """Adds a message; returns the answer to a request that it completes."""
        match message:
            case wire_reader.Row():
                self._rows.add(message)
            case wire_reader.Ready():
                return self._end(message)
            case _:
                self.reply = message
        return None

    def _end(self, ready: wire_reader.Ready) -> CompleteAnswer | None:
        answer = CompleteAnswer(self.reply, self._rows.digest(), ready.state)
        self.reply, self._rows = None, RowsDigest()
        # The first one answers the start, which is no request.
        was_started, self._has_started = self._has_started, True
        return answer if was_started else None


@dataclasses.dataclass(slots=True, eq=False)
class ClientSession:
    """The session of a client as its answers tell it.

    Attributes:
      name: the client.
      values: the acknowledged values by name.
      shapes: the acknowledged prepared statements by name.
      pending: the statements without an answer, in order.
      transaction: the transaction to which the next statement belongs.
      answers: assembles the answers that it receives.
    """

    name: str
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    shapes: dict[str, wire_reader.Shape] = dataclasses.field(
        default_factory=dict
    )
    pending: collections.deque[SentStatement] = dataclasses.field(
        default_factory=collections.deque
    )
    transaction: Transaction | None = None
    answers: AnswerAssembler = dataclasses.field(
        default_factory=AnswerAssembler
    )

    def send(self, query: wire_reader.Query) -> SentStatement:
        """Records a statement that the client sends now."""
        if isinstance(query.call, wire_reader.Begin):
            self.transaction = Transaction(self.name, outer=self.transaction)
        statement = SentStatement(
            self.name,
            query,
            self.transaction,
            self._permitted_values(),
            self._permitted_shapes(query.call),
        )
        if isinstance(query.call, wire_reader.Commit | wire_reader.Rollback):
            self.transaction = None
        self.pending.append(statement)
        return statement

    def acknowledge(
        self, call: wire_reader.UpstreamText | wire_reader.Unreadable
    ) -> None:
        """Applies a statement that was answered with success."""
        _apply(call, self.values, self.shapes)

    def _permitted_values(self) -> dict[str, frozenset[str | None]]:
        permitted = {
            name: frozenset([value]) for name, value in self.values.items()
        }
        for statement in self.pending:
            call = statement.query.call
            if isinstance(call, wire_reader.SetValue):
                old = permitted.get(call.name, frozenset([None]))
                permitted[call.name] = old | {call.value}
        return permitted

    def _permitted_shapes(
        self, call: wire_reader.UpstreamText | wire_reader.Unreadable
    ) -> frozenset[wire_reader.Shape | None]:
        if not isinstance(call, wire_reader.Execute):
            return frozenset()
        permitted = {self.shapes.get(call.name)}
        for statement in self.pending:
            earlier = statement.query.call
            match earlier:
                case wire_reader.Prepare() if earlier.name == call.name:
                    permitted.add(earlier.shape)
                case wire_reader.Deallocate() if earlier.name == call.name:
                    permitted.add(None)
        return frozenset(permitted)


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamRequest:
    """A request at an upstream that has no complete answer yet.

    Attributes:
      query: the request.
      statement: the client's statement; None for one of the proxy or if the
        request belongs to none.
    """

    query: wire_reader.Query
    statement: SentStatement | None


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamConnection:
    """The state of a connection at an upstream as its answers tell it.

    Attributes:
      name: the connection.
      values: the values by name.
      shapes: the prepared statements by name.
      pending: the requests without an answer, in order.
      in_transaction: whether a transaction is open.
      transaction: the client's transaction that runs in it, None if no
        statement of a client has run in it yet.
      owner: the client that the open transaction belongs to, if only ids tell.
      writes: the writes that have run in the open transaction.
      answers: assembles the answers that it sends.
    """

    name: str
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    shapes: dict[str, wire_reader.Shape] = dataclasses.field(
        default_factory=dict
    )
    pending: collections.deque[UpstreamRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    in_transaction: bool = False
    transaction: Transaction | None = None
    owner: str | None = None
    writes: list[SentStatement] = dataclasses.field(default_factory=list)
    answers: AnswerAssembler = dataclasses.field(
        default_factory=AnswerAssembler
    )

    def end_transaction(self) -> None:
        """Forgets the transaction that was open."""
        self.in_transaction = False
        self.transaction = None
        self.owner = None
        self.writes = []

    def apply(
        self, call: wire_reader.UpstreamText | wire_reader.Unreadable
    ) -> None:
        """Applies a request of the proxy that was answered with success."""
        _apply(call, self.values, self.shapes)


class StatementIndex:
    """Finds the statements that clients sent by id and text.

    Keeps all statements without an answer and a limited number of later ones.
    """

    def __init__(self, max_finished: int = MAX_FINISHED_STATEMENTS) -> None:
        self._statements: dict[tuple[str, str], list[SentStatement]] = {}
        self._ids: collections.Counter[str] = collections.Counter()
        self._finished: collections.deque[SentStatement] = collections.deque()
        self._max_finished = max_finished

    def __len__(self) -> int:
        """Returns the number of statements that are kept."""
        return self._ids.total()

    def add(self, statement: SentStatement) -> None:
        """Adds a statement."""
        key = _key(statement.query)
        self._statements.setdefault(key, []).append(statement)
        self._ids[statement.query.id] += 1

    def finish(self, statements: Iterable[SentStatement]) -> None:
        """Marks statements as answered; drops those that are long over."""
        for statement in statements:
            statement.answered = True
            if statement.query is not wire_reader.UNREADABLE_QUERY:
                self._finished.append(statement)
        while len(self._finished) > self._max_finished:
            self._drop(self._finished.popleft())

    def knows_id(self, statement_id: str) -> bool:
        """Returns whether a client sent a statement with this id."""
        return statement_id in self._ids

    def find(self, query: wire_reader.Query) -> SentStatement | None:
        """Returns the statement that the upstream's request stands for.

        Of several alike it is the first that waits for its answer, otherwise
        the latest.
        """
        alike = self._statements.get(_key(query))
        if not alike:
            return None
        waiting = (found for found in alike if not found.answered)
        return next(waiting, alike[-1])

    def _drop(self, statement: SentStatement) -> None:
        query = statement.query
        alike = self._statements[_key(query)]
        alike.remove(statement)
        if not alike:
            del self._statements[_key(query)]
        self._ids[query.id] -= 1
        if not self._ids[query.id]:
            del self._ids[query.id]


def _apply(
    call: wire_reader.UpstreamText | wire_reader.Unreadable,
    values: dict[str, str],
    shapes: dict[str, wire_reader.Shape],
) -> None:
    """Applies a successful call to the settings of a session or connection."""
    match call:
        case wire_reader.SetValue():
            values[call.name] = call.value
        case wire_reader.Prepare():
            shapes[call.name] = call.shape
        case wire_reader.Deallocate():
            shapes.pop(call.name, None)
        case wire_reader.Reset():
            values.clear()
            shapes.clear()


def _key(query: wire_reader.Query) -> tuple[str, str]:
    """Returns id and text; without the name of a prepared statement."""
    call = query.call
    text = query.text
    match call:
        case wire_reader.Execute():
            data = "" if call.data is None else f" {call.data}"
            text = f"EXECUTE {call.item}{data}"
        case wire_reader.Prepare():
            kind = "WRITE" if call.shape.writes else "READ"
            text = f"PREPARE {kind} {call.shape.text}"
        case wire_reader.Deallocate():
            text = "DEALLOC"
    if len(text) > MAX_PLAIN_KEY_CHARS:
        text = hashlib.blake2b(text.encode("latin-1")).hexdigest()
    return query.id, text
