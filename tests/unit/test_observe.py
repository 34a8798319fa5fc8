"""Tests of what the fleet tells of itself: EXPLAIN, sessions, refusals."""

import random

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    identity,
    items,
    position,
    queries,
    request,
    statements,
    views,
)
from fescueshunt.members import pipe as members_pipe
from fescueshunt.observe import pipe
from fescueshunt.operators import gather
from fescueshunt_cli._internal.language import parse
from lib import scenarios, world


class OperatedWorld(world.World):
    """A world with an operator."""

    def __init__(self, proxies: int = 2):
        self.told = []
        super().__init__(proxies=proxies)
        self.run(3.0)

    def _act(self, source, effect):
        if isinstance(effect, items.AnswerOperator):
            self.told.append(effect.answer)
        super()._act(source, effect)

    def tell(self, name: str, text: str) -> statements.OperatorAnswer:
        statement = parse.parse_line(text).statement
        self.feed(
            name,
            items.OperatorAsked(
                self.now, world.WALL_S, 1, 1, "amina", False, statement
            ),
        )
        self.run(1.0)
        return self.told.pop()


def test_explain_tells_each_hop_of_a_request_on_any_proxy():
    played = OperatedWorld()
    home, other = scenarios.home_of(played)
    req = scenarios.write(played, "first")
    played.ask(other, req)
    explain = f"EXPLAIN REQUEST {req.request_id.hex()}"
    table = played.tell(home, explain).table
    steps = [(row[1], row[2]) for row in table.rows]
    assert steps[:4] == [
        (other, "request of a caller"),
        (other, "forward"),
        (other, "answer"),
        (other, "answer"),
    ]
    assert steps[4:6] == [(home, "request of a proxy"), (home, "run")]
    assert steps[-1] == (home, "answer")
    assert "primary in term 1" in table.rows[5][3]
    assert played.tell(other, explain).table == table


def test_explain_of_what_is_not_known_says_so():
    played = OperatedWorld()
    answer = played.tell("proxy-0", f"EXPLAIN REQUEST {bytes(16).hex()}")
    assert isinstance(answer.error, errors.RequestInvalidError)


def test_steps_are_bounded():
    core = filters.Core((pipe.build(identity.Identity("p", "z", "")),))
    for number in range(10_000):
        answer = request.Answer(number.to_bytes(16, "big"))
        list(core.feed(items.AnswerCaller(0.0, 1, number, answer)))

    def explain(number: int) -> statements.OperatorAnswer:
        name = number.to_bytes(16, "big").hex()
        asked = statements.Explain(statements.Event.REQUEST, name)
        (reply,) = core.feed(queries.LocalQuery(0.0, 1, asked))
        return reply.answer

    assert isinstance(explain(0).error, errors.RequestInvalidError)
    assert explain(9_999).error is None


def test_sessions_and_refusals_of_all_proxies_are_counted():
    played = OperatedWorld()
    played.ask("proxy-0", scenarios.read(played, caller="kiosk"))
    played.ask("proxy-0", scenarios.read(played, "gone"))
    played.ask("proxy-1", scenarios.read(played, caller="desk"))
    sessions = played.tell("proxy-1", "SHOW sessions ORDER BY caller")
    assert [(row[0], *row[2:5]) for row in sessions.table.rows] == [
        ("proxy-1", "desk", 1, "db"),
        ("proxy-0", "kiosk", 2, "db"),
    ]
    refusals = played.tell("proxy-1", "SHOW refusals WHERE proxy = 'proxy-0'")
    assert refusals.table.rows[0][:4] == (
        "proxy-0",
        "request_invalid",
        "not_run",
        1,
    )
    played.close_caller("proxy-0", 1)
    sessions = played.tell("proxy-1", "SHOW sessions WHERE caller = kiosk")
    assert sessions.table.rows == ()


def test_upstreams_have_term_and_lag_on_any_proxy():
    played = OperatedWorld()
    for name in ("proxy-0", "proxy-1"):
        answer = played.tell(name, "SHOW upstreams WHERE role = primary")
        assert [row[1] for row in answer.table.rows] == ["db-0"]
        answer = played.tell(name, "SHOW upstreams WHERE lag >= 0")
        assert len(answer.table.rows) == 3


def test_a_silent_proxy_is_named_and_does_not_hold_the_answer_up():
    played = OperatedWorld()
    played.proxies["proxy-1"].stopped = True
    answer = played.tell("proxy-0", "SHOW refusals")
    assert answer.error is None
    assert answer.silent == ("proxy-1",)


def test_few_proxies_of_a_large_fleet_are_asked():
    me = identity.Identity("p0", "z", "")
    members = tuple(views.Member(f"p{n}", "z", "", 1) for n in range(100))
    asking = gather.Gather(me)
    list(asking.process(views.FleetView(0.0, members)))
    asked = items.OperatorAsked(
        0.0,
        0.0,
        1,
        1,
        "amina",
        False,
        parse.parse_line("SHOW refusals").statement,
    )
    sent = [
        effect
        for effect in asking.process(asked)
        if isinstance(effect, items.SendPeer)
    ]
    assert len(sent) == gather.MAX_ASKED
    (answer,) = [
        effect.answer
        for effect in asking.process(filters.Tick(gather.WAIT_S, 0.0))
        if isinstance(effect, items.AnswerOperator)
    ]
    assert answer.error is not None


def test_a_promotion_is_explained_on_another_proxy():
    played = OperatedWorld()
    term = position.Term(2, "proxy-1")
    carried_out = views.Promotion(
        played.now,
        "db",
        term,
        "db-1",
        "db-0",
        position.Term(1),
        views.Cause.FAILING,
        ("proxy-0", "proxy-1"),
        played.now - 0.4,
        (views.Vote("db-1", position.Position(position.Term(1), 7)),),
        ("db-2",),
        (),
        views.ChoiceReason.NEWEST_LOG,
        1,
    )
    played.feed("proxy-1", carried_out)
    rows = played.tell("proxy-0", "EXPLAIN PROMOTION db").table.rows
    assert [row[1] for row in rows] == [
        "suspected",
        "ballot",
        "promise",
        "refusal",
        "choice",
        "promoted",
    ]
    assert "proxy-0, proxy-1" in rows[0][2]
    (row,) = played.tell("proxy-0", "SHOW promotions").table.rows
    assert row[:6] == ("proxy-1", "db", 2, "proxy-1", "db-1", "db-0")


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
