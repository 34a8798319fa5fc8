"""Scenarios in the world, of which traces are recorded."""

from __future__ import annotations

from collections.abc import Callable

from fescueshunt.core import request
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


ALL: dict[str, Callable[[], Played]] = {"whole_path": whole_path}
