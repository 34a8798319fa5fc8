"""Tests of the observe pipe: EXPLAIN, sessions and refusals."""

import random

from fescueshunt import errors
from fescueshunt.core import filters, identity, items, request, views
from fescueshunt.members import pipe as members_pipe
from fescueshunt.observe import pipe
from fescueshunt_cli._internal.language import parse
from lib import scenarios, world


def asked(text: str, at: float) -> items.OperatorAsked:
    statement = parse.parse_line(text).statement
    return items.OperatorAsked(at, 0.0, 1, 1, "amina", False, statement)


def ask(core: filters.Core, text: str, at: float = 500.0):
    return next(
        effect.answer
        for effect in core.feed(asked(text, at))
        if isinstance(effect, items.AnswerOperator)
    )


def test_explain_tells_each_hop_of_a_request():
    played = world.World()
    home, other = scenarios.home_of(played)
    req = scenarios.write(played, "first")
    played.ask(other, req)
    explain = f"EXPLAIN REQUEST {req.request_id.hex()}"
    at_entry = ask(played.proxies[other].core, explain)
    assert [row[2] for row in at_entry.table.rows] == [
        "request of a caller",
        "forward",
        "answer",
        "answer",
    ]
    at_home = ask(played.proxies[home].core, explain)
    steps = [row[2] for row in at_home.table.rows]
    assert steps[:2] == ["request of a proxy", "run"]
    assert steps[-1] == "answer"
    assert "primary in term 1" in at_home.table.rows[1][3]


def test_explain_of_what_is_not_known_says_where_to_ask():
    core = filters.Core((pipe.build(identity.Identity("p", "z", "")),))
    answer = ask(core, f"EXPLAIN REQUEST {bytes(16).hex()}")
    assert isinstance(answer.error, errors.RequestInvalidError)


def test_steps_are_bounded():
    core = filters.Core((pipe.build(identity.Identity("p", "z", "")),))
    for number in range(10_000):
        answer = request.Answer(number.to_bytes(16, "big"))
        list(core.feed(items.AnswerCaller(0.0, 1, number, answer)))
    oldest = ask(core, f"EXPLAIN REQUEST {bytes(16).hex()}")
    assert isinstance(oldest.error, errors.RequestInvalidError)
    newest = ask(core, f"EXPLAIN REQUEST {(9_999).to_bytes(16, 'big').hex()}")
    assert newest.error is None


def test_sessions_and_refusals_are_counted():
    played = world.World()
    name = sorted(played.proxies)[0]
    played.ask(name, scenarios.read(played, caller="kiosk"))
    played.ask(name, scenarios.read(played, "gone"))
    core = played.proxies[name].core
    sessions = ask(core, "SHOW sessions")
    assert [row[1:4] for row in sessions.table.rows] == [("kiosk", 2, "db")]
    for conn, *_ in sessions.table.rows:
        list(core.feed(items.CallerClosed(501.0, conn)))
    assert ask(core, "SHOW sessions").table.rows == ()
    refusals = ask(core, "SHOW refusals")
    assert ("request_invalid", "not_run", 1) in [
        row[:3] for row in refusals.table.rows
    ]


def test_a_drained_host_is_leaving_in_the_fleet_view():
    me = identity.Identity("p0", "z0", "127.0.0.1:1")
    core = filters.Core((members_pipe.build(me, random.Random(1)),))
    drained = world.document.Document(revision=1, draining_hosts=("p0",))
    feed = [
        filters.Tick(0.0, 0.0),
        filters.Tick(3.0, 3.0),
        views.SettingsView(3.1, drained),
        filters.Tick(3.2, 3.2),
    ]
    states = [
        effect.find("p0").state
        for item in feed
        for effect in core.feed(item)
        if isinstance(effect, views.FleetView)
    ]
    assert states == [views.MemberState.LIVE, views.MemberState.LEAVING]
