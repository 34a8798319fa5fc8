"""Strategies that draw what the clients of a `WireWorld` do."""

from __future__ import annotations

import asyncio
import dataclasses

from hypothesis import strategies

from lib import wire_upstreams, wire_world

CLIENTS = 4
BYSTANDER_SHAPE = b"q5"
ROUTES = (b"strict", b"own", b"aged")
BYSTANDER_STEPS = 4

# Several clients use these, and the protocol some of them as keywords.
_COMMON_TOKENS = (b"q5", b"cq", b"READ", b"WRITE")
_LEGAL_TOKENS = (
    *_COMMON_TOKENS * 4,
    b"SINCE",
    b"EXECUTE",
    b"QUERY",
    b"it0",
    b"r.q5",
    b"w.cq",
    b".",
    b"-",
    b"\t",
    b"\0",
    b"\xe9",
    b"\xff",
    b"\xc3\xa9",
)
_LINE_TOKENS = (b"\r", b"\n", b"\r\n", b"\n\r")
_BLANKS = (b"", b" ", b" ", b" ", b"  ")
_PLAIN_WORDS = strategies.sampled_from((b"q5", b"cq", b"it0"))
_NAMES = strategies.sampled_from((b"s1", b"s2"))
_KINDS = strategies.sampled_from((b"READ", b"WRITE"))
_ENDS = strategies.sampled_from(
    (b"BEGIN", b"BEGIN READ", b"COMMIT", b"ROLLBACK", b"COMMIT")
)


def _join(parts: list[tuple[bytes, bytes]]) -> bytes:
    return b"".join(token + blank for token, blank in parts)


def _texts(
    tokens: tuple[bytes, ...], max_size: int = 5
) -> strategies.SearchStrategy[bytes]:
    """Texts that like blanks, keywords and bytes that are no ASCII."""
    part = strategies.tuples(
        strategies.sampled_from(tokens), strategies.sampled_from(_BLANKS)
    )
    return strategies.lists(part, max_size=max_size).map(_join)


def _queries(
    *fields: strategies.SearchStrategy[bytes] | bytes,
) -> strategies.SearchStrategy[bytes]:
    """Draws the fields of a statement, with a blank between them."""
    drawn = [
        strategies.just(field) if isinstance(field, bytes) else field
        for field in (b"QUERY", b"@", *fields)
    ]
    return strategies.tuples(*drawn).map(b" ".join)


def _statements(
    words: strategies.SearchStrategy[bytes],
    rests: strategies.SearchStrategy[bytes],
) -> strategies.SearchStrategy[tuple[bytes, ...]]:
    """Statements that a client sends at once.

    Args:
      words: the fields that stand in the middle of a message.
      rests: the fields that extend to the end of a message.
    """
    prepare = _queries(b"PREPARE", words, _KINDS, rests)
    execute = _queries(b"EXECUTE", words, rests)
    change = strategies.one_of(
        _queries(b"DEALLOC", words),
        _queries(_ENDS),
    )
    access = strategies.one_of(
        _queries(b"READ", rests), _queries(b"WRITE", words, rests)
    )
    single = strategies.one_of(prepare, execute, change, access)
    assign = _queries(b"SET", words, rests)
    begin = _queries(strategies.sampled_from((b"BEGIN", b"BEGIN READ")))
    return strategies.one_of(
        strategies.tuples(prepare, execute),
        strategies.tuples(prepare, execute, prepare, execute),
        strategies.tuples(assign, access),
        strategies.tuples(assign, prepare, execute),
        strategies.tuples(begin, access),
        strategies.tuples(begin, access, access, _queries(b"COMMIT")),
        strategies.lists(single, min_size=1, max_size=4).map(tuple),
    )


def _plain_or(
    plain: strategies.SearchStrategy[bytes],
    odd: strategies.SearchStrategy[bytes],
) -> strategies.SearchStrategy[bytes]:
    return strategies.one_of(plain, plain, odd)


_LEGAL_RESTS = _texts(_LEGAL_TOKENS).filter(bool)
_ANY_TEXTS = _texts(_LEGAL_TOKENS + _LINE_TOKENS)
_LEGAL_LINES = _statements(_NAMES, _plain_or(_PLAIN_WORDS, _LEGAL_RESTS))
_ANY_LINES = strategies.one_of(
    _LEGAL_LINES,
    _statements(
        _plain_or(_NAMES, _ANY_TEXTS), _plain_or(_PLAIN_WORDS, _ANY_TEXTS)
    ),
    strategies.sampled_from(((b"TERMINATE",), (b"START strict again",))),
    strategies.tuples(_queries(_ANY_TEXTS)),
    strategies.tuples(_ANY_TEXTS),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What one client does at once.

    Attributes:
      client: the number of the client; it connects and starts a session if it
        isn't connected.
      lines: the lines that it sends; "@" in front stands for a new id.
      split_at: where what it sends is cut into two reads; 0 for not at all.
      leaves: whether it resets its connection then.
      wait_ms: how long nothing more happens then.
      route: the route of a new session.
    """

    client: int = 0
    lines: tuple[bytes, ...] = ()
    split_at: int = 0
    leaves: bool = False
    wait_ms: int = 0
    route: bytes = b"strict"


def _plays(
    lines: strategies.SearchStrategy[tuple[bytes, ...]],
    routes: strategies.SearchStrategy[bytes],
) -> strategies.SearchStrategy[list[Step]]:
    steps = strategies.builds(
        Step,
        client=strategies.integers(0, CLIENTS - 1),
        lines=lines,
        split_at=strategies.sampled_from((0, 0, 0, 1, 5, 20, 40)),
        leaves=strategies.sampled_from((False,) * 7 + (True,)),
        wait_ms=strategies.sampled_from((0, 1, 3, 10, 50)),
        route=routes,
    )
    return strategies.lists(steps, max_size=12)


_ROUTES = strategies.sampled_from(ROUTES)
# Only messages that the protocol permits, with odd texts where a field extends
# to the end of its message.
LEGAL_PLAYS = _plays(_LEGAL_LINES, _ROUTES)
ANY_PLAYS = _plays(_ANY_LINES, _plain_or(_ROUTES, _ANY_TEXTS))
FAULTS = strategies.lists(
    strategies.one_of(
        strategies.none(),
        strategies.none(),
        strategies.sampled_from(wire_upstreams.Fault),
    ),
    max_size=20,
)


class Play:
    """Lets clients take their steps beside a bystander."""

    def __init__(self, steps: list[Step]) -> None:
        self.bystander: wire_world.Client | None = None
        self._steps = steps
        self._connected: dict[int, wire_world.Client] = {}
        self._statements = 0

    async def run(self, world: wire_world.WireWorld) -> None:
        """Runs the steps; the bystander runs its statement in between."""
        self.bystander = world.connect()
        prepare = b"QUERY @ PREPARE s1 READ " + BYSTANDER_SHAPE
        self._send(self.bystander, (b"START strict bystander", prepare))
        interval = max(len(self._steps) // BYSTANDER_STEPS, 1)
        for number, step in enumerate(self._steps):
            self._take(world, step)
            if number % interval == 0:
                self._send(self.bystander, (b"QUERY @ EXECUTE s1 it0",))
            if step.wait_ms:
                await asyncio.sleep(step.wait_ms / 1000)
        await asyncio.sleep(0.05)
        self._send(self.bystander, (b"QUERY @ EXECUTE s1 it0",))

    def _take(self, world: wire_world.WireWorld, step: Step) -> None:
        client = self._connected.get(step.client)
        lines = step.lines
        if client is None or not client.is_open:
            client = self._connected[step.client] = world.connect()
            start = b"START " + step.route + b" account"
            lines = (start, *lines)
        self._send(client, lines, step.split_at)
        if step.leaves:
            client.leave()

    def _send(
        self,
        client: wire_world.Client,
        lines: tuple[bytes, ...],
        split_at: int = 0,
    ) -> None:
        data = b"".join(self._with_id(line) + b"\r\n" for line in lines)
        client.send(data[:split_at])
        client.send(data[split_at:])

    def _with_id(self, line: bytes) -> bytes:
        self._statements += 1
        statement_id = b"id%d" % self._statements
        return line.replace(b"QUERY @ ", b"QUERY " + statement_id + b" ", 1)
