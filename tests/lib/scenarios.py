"""Scenarios in the world, of which traces are recorded."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from fescueshunt.core import items, peer, process, request, upstream
from lib import world

ADD = "INSERT INTO hit VALUES (?)"
SHOW = request.Statement("SELECT tag FROM hit ORDER BY rowid")
Played = tuple[world.World, str]


def add(tag: str) -> request.Statement:
    """Returns the statement that adds a row."""
    return request.Statement(ADD, (tag,))


def write(
    played: world.World, tag: str, request_id: bytes = b"", **fields
) -> request.Request:
    """Returns a write of one row."""
    return request.Request(
        request_id or played.new_id(),
        "pay",
        "db",
        request.Kind.WRITE,
        (add(tag),),
        **fields,
    )


def read(played: world.World, service: str = "look", **fields):
    """Returns a read of all rows."""
    return request.Request(
        played.new_id(), service, "db", request.Kind.READ, (SHOW,), **fields
    )


def inside(
    played: world.World, kind: request.Kind, begin: bytes, *statements, **fields
) -> request.Request:
    """Returns a request within the transaction `begin`, or its BEGIN."""
    first = kind is request.Kind.BEGIN
    return request.Request(
        begin if first else played.new_id(),
        "pay",
        "db",
        kind,
        statements,
        transaction=b"" if first else begin,
        **fields,
    )


def home_of(played: world.World) -> tuple[str, str]:
    """Returns the home of the primary and another proxy."""
    played.counts.clear()
    for name in sorted(played.proxies):
        played.ask(name, read(played))
        if "SendPeer" not in played.counts:
            return name, next(n for n in sorted(played.proxies) if n != name)
        played.counts.clear()
    raise AssertionError("no proxy is home")


def whole_path() -> Played:
    """Write, roam, read, transact, read of a stated age, repeat an id."""
    played = world.World()
    home, other = home_of(played)
    req = write(played, "first")
    token = played.ask(home, req).token
    played.ask(other, read(played, after=token))
    played.ask(home, read(played, after=token))
    begin = played.new_id()
    played.ask(home, inside(played, request.Kind.BEGIN, begin))
    for tag in ("second", "third"):
        step = inside(played, request.Kind.STEP, begin, add(tag))
        played.ask(home, step)
    played.ask(home, inside(played, request.Kind.COMMIT, begin))
    played.ask(home, read(played, "old"))
    played.ask(home, req)
    return played, home


def read_your_writes() -> Played:
    """A session reads its write while one replica is far behind."""
    played = world.World()
    home, other = home_of(played)
    played.upstreams["db-2"].is_replicating = False
    token = played.ask(other, write(played, "mine")).token
    for _ in range(6):
        played.ask(other, read(played, after=token))
    return played, other


def replaced_primary() -> Played:
    """A primary commits, and is replaced before a replica has the entry."""
    played = world.World(proxies=3)
    home, _ = home_of(played)
    for name in ("db-1", "db-2"):
        played.upstreams[name].is_replicating = False
    req = write(played, "torn", timeout_s=3.0)
    played.send(home, 1, req)
    played.run(0.1)
    played.upstreams["db-0"].alive = False
    for name in ("db-1", "db-2"):
        played.upstreams[name].is_replicating = True
    played.run(5.0)
    played.ask(home, req)
    return played, home


def transactions() -> Played:
    """Two transactions, and a stranger who knows the id of one."""
    played = world.World()
    home, _ = home_of(played)
    first, second = played.new_id(), played.new_id()
    played.ask(home, inside(played, request.Kind.BEGIN, first), 1)
    played.send(home, 2, inside(played, request.Kind.BEGIN, second))
    played.ask(home, inside(played, request.Kind.STEP, first, add("a1")), 1)
    stranger = inside(played, request.Kind.STEP, first, add("x"))
    played.ask(home, stranger, 3)
    played.ask(home, inside(played, request.Kind.STEP, first, add("a2")), 1)
    played.ask(home, inside(played, request.Kind.COMMIT, first), 1)
    played.run(0.05)
    played.ask(home, inside(played, request.Kind.STEP, second, add("b1")), 2)
    played.ask(home, inside(played, request.Kind.COMMIT, second), 2)
    return played, home


def crossed_answers() -> Played:
    """Answers to an earlier start arrive at the numbers of new requests."""
    played = world.World()
    home, other = home_of(played)
    played.send(other, 1, read(played))
    for key in range(1, 20):
        stray = request.Answer(played.new_id(), upstream="stray")
        message = peer.ForwardedAnswer(key, stray)
        played.feed(other, items.PeerReceived(played.now, home, message))
    played.run(0.2)
    return played, other


def silent_statement() -> Played:
    """The first call of a write goes silent until its deadline."""
    played = world.World()
    home, _ = home_of(played)
    played.meddle = lambda message: (
        []
        if isinstance(message, upstream.Execute)
        and message.mode is upstream.Mode.BEGIN
        else None
    )
    played.ask(home, write(played, "never", timeout_s=1.0))
    played.run(1.0)
    return played, home


def lost_commit_answer() -> Played:
    """The answer to a COMMIT is lost; the same id is sent again."""
    played = world.World()
    home, _ = home_of(played)
    lost: list[object] = []

    def lose_one(message: object) -> list[float] | None:
        is_commit = isinstance(message, upstream.Executed) and (
            len(message.results) == 1 and not lost
        )
        if not is_commit:
            return None
        lost.append(message)
        return []

    played.meddle = lose_one
    req = write(played, "once")
    played.ask(home, req)
    played.ask(home, req)
    return played, home


def leaving_upstream() -> Played:
    """The operators drain a replica; reads go on."""
    played = world.World()
    home, _ = home_of(played)
    for number in range(6):
        played.ask(home, read(played, "old"), number)
    (declared,) = played.settings.databases
    members = tuple(
        dataclasses.replace(member, draining=member.name == "db-2")
        for member in declared.upstreams
    )
    drained = dataclasses.replace(
        played.settings,
        revision=2,
        databases=(dataclasses.replace(declared, upstreams=members),),
    )
    played.settings = drained
    played.feed(home, items.SettingsRead(played.now, drained, 2))
    played.feed(home, items.SettingsRead(played.now, world.SETTINGS, 1))
    played.run(2.0)
    for number in range(6):
        played.ask(home, read(played, "old"), number)
    return played, home


def planned_stop() -> Played:
    """A proxy is asked to stop with a transaction open and a write queued."""
    played = world.World()
    home, _ = home_of(played)
    begin = played.new_id()
    stopping = played.proxies[home]
    played.ask(home, inside(played, request.Kind.BEGIN, begin))
    played.send(home, 2, write(played, "queued"))
    played.feed(home, process.StopAsked(played.now))
    played.run(1.5)
    played.ask(home, read(played), 3)
    played.ask(home, inside(played, request.Kind.STEP, begin, add("kept")))
    played.ask(home, inside(played, request.Kind.COMMIT, begin))
    played.run(1.0)
    played.proxies[home] = stopping
    return played, home


ALL: dict[str, Callable[[], Played]] = {
    scenario.__name__: scenario
    for scenario in (
        whole_path,
        read_your_writes,
        replaced_primary,
        transactions,
        crossed_answers,
        silent_statement,
        lost_commit_answer,
        leaving_upstream,
        planned_stop,
    )
}


def begin(played, proxy, conn=1):
    begin_id = played.new_id()
    req = inside(played, request.Kind.BEGIN, begin_id)
    assert played.ask(proxy, req, conn).error is None
    return begin_id


def step(played, begin_id, tag):
    return inside(played, request.Kind.STEP, begin_id, add(tag))


def commit(played, begin_id, **fields):
    return inside(played, request.Kind.COMMIT, begin_id, **fields)


def outcome_of(played, request_id, **fields):
    return request.Request(
        played.new_id(),
        "pay",
        "db",
        request.Kind.OUTCOME,
        transaction=request_id,
        **fields,
    )
