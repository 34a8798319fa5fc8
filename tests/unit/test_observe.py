"""Tests of EXPLAIN, and of SHOW for the subjects that span all proxies."""

import random

from fescueshunt import errors
from fescueshunt.core import (
    document,
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
from lib import scenarios, simulation


class WorldWithOperator(simulation.SimulatedCluster):
    """A simulated fleet with an operator who sends statements."""

    def __init__(self, proxies: int = 2):
        self.operator_answers = []
        super().__init__(proxies=proxies)
        self.run(3.0)

    def _apply_effect(self, source, effect):
        if isinstance(effect, items.AnswerOperator):
            self.operator_answers.append(effect.answer)
        super()._apply_effect(source, effect)

    def run_statement(self, name: str, text: str) -> statements.OperatorAnswer:
        statement = parse.parse_line(text).statement
        self.feed(
            name,
            items.OperatorAsked(
                self.now,
                simulation.WALL_CLOCK_OFFSET_S,
                1,
                1,
                "amina",
                False,
                statement,
            ),
        )
        self.run(1.0)
        return self.operator_answers.pop()


def test_explain_lists_each_hop_of_a_request_on_any_proxy():
    fleet = WorldWithOperator()
    home, other = scenarios.find_home(fleet)
    req = scenarios.write_request(fleet, "first")
    fleet.execute(other, req)
    explain = f"EXPLAIN REQUEST {req.request_id.hex()}"
    table = fleet.run_statement(home, explain).table
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
    assert fleet.run_statement(other, explain).table == table


def test_explain_of_an_unknown_request_is_an_error():
    fleet = WorldWithOperator()
    answer = fleet.run_statement(
        "proxy-0", f"EXPLAIN REQUEST {bytes(16).hex()}"
    )
    assert isinstance(answer.error, errors.RequestInvalidError)


def test_recorded_steps_are_bounded():
    core = filters.Core((pipe.build(identity.Identity("p", "z", "")),))
    for number in range(10_000):
        answer = request.Answer(number.to_bytes(16, "big"))
        list(core.feed(items.AnswerCaller(0.0, 1, number, answer)))

    def explain(number: int) -> statements.OperatorAnswer:
        name = number.to_bytes(16, "big").hex()
        statement = statements.Explain(statements.Event.REQUEST, name)
        (reply,) = core.feed(queries.LocalQuery(0.0, 1, statement))
        return reply.answer

    assert isinstance(explain(0).error, errors.RequestInvalidError)
    assert explain(9_999).error is None


def test_sessions_and_refusals_of_all_proxies_are_counted():
    fleet = WorldWithOperator()
    fleet.execute("proxy-0", scenarios.read_request(fleet, caller="kiosk"))
    fleet.execute("proxy-0", scenarios.read_request(fleet, "gone"))
    fleet.execute("proxy-1", scenarios.read_request(fleet, caller="desk"))
    sessions = fleet.run_statement("proxy-1", "SHOW sessions ORDER BY caller")
    assert [(row[0], *row[2:5]) for row in sessions.table.rows] == [
        ("proxy-1", "desk", 1, "db"),
        ("proxy-0", "kiosk", 2, "db"),
    ]
    refusals = fleet.run_statement(
        "proxy-1", "SHOW refusals WHERE proxy = 'proxy-0'"
    )
    assert refusals.table.rows[0][:4] == (
        "proxy-0",
        "request_invalid",
        "not_run",
        1,
    )
    fleet.close_caller("proxy-0", 1)
    sessions = fleet.run_statement(
        "proxy-1", "SHOW sessions WHERE caller = kiosk"
    )
    assert sessions.table.rows == ()


def test_upstreams_have_term_and_lag_on_any_proxy():
    fleet = WorldWithOperator()
    for name in ("proxy-0", "proxy-1"):
        answer = fleet.run_statement(
            name, "SHOW upstreams WHERE role = primary"
        )
        assert [row[1] for row in answer.table.rows] == ["db-0"]
        answer = fleet.run_statement(name, "SHOW upstreams WHERE lag >= 0")
        assert len(answer.table.rows) == 3


def test_a_silent_proxy_is_named_and_does_not_block_the_answer():
    fleet = WorldWithOperator()
    fleet.proxies["proxy-1"].stopped = True
    answer = fleet.run_statement("proxy-0", "SHOW refusals")
    assert answer.error is None
    assert answer.silent == ("proxy-1",)


def test_only_some_proxies_of_a_large_fleet_are_queried():
    local_proxy = identity.Identity("p0", "z", "")
    members = tuple(views.Member(f"p{n}", "z", "", 1) for n in range(100))
    gather_filter = gather.Gather(local_proxy)
    list(gather_filter.process(views.FleetView(0.0, members)))
    request = items.OperatorAsked(
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
        for effect in gather_filter.process(request)
        if isinstance(effect, items.SendPeer)
    ]
    assert len(sent) == gather.MAX_QUERIED_PEERS
    (answer,) = [
        effect.answer
        for effect in gather_filter.process(
            filters.Tick(gather.REPLY_TIMEOUT_S, 0.0)
        )
        if isinstance(effect, items.AnswerOperator)
    ]
    assert answer.error is not None


def test_a_promotion_is_explained_on_another_proxy():
    fleet = WorldWithOperator()
    term = position.Term(2, "proxy-1")
    promotion = views.Promotion(
        fleet.now,
        "db",
        term,
        "db-1",
        "db-0",
        position.Term(1),
        views.Cause.FAILING,
        ("proxy-0", "proxy-1"),
        fleet.now - 0.4,
        (views.Vote("db-1", position.Position(position.Term(1), 7)),),
        ("db-2",),
        (),
        views.ChoiceReason.NEWEST_LOG,
        1,
    )
    fleet.feed("proxy-1", promotion)
    rows = fleet.run_statement("proxy-0", "EXPLAIN PROMOTION db").table.rows
    assert [row[1] for row in rows] == [
        "suspected",
        "ballot",
        "promise",
        "refusal",
        "choice",
        "promoted",
    ]
    assert "proxy-0, proxy-1" in rows[0][2]
    (row,) = fleet.run_statement("proxy-0", "SHOW promotions").table.rows
    assert row[:6] == ("proxy-1", "db", 2, "proxy-1", "db-1", "db-0")


def test_a_drained_host_is_leaving_in_the_fleet_view():
    local_proxy = identity.Identity("p0", "z0", "127.0.0.1:1")
    core = filters.Core((members_pipe.build(local_proxy, random.Random(1)),))
    settings = document.Document(revision=1, draining_hosts=("p0",))
    inputs = [
        filters.Tick(0.0, 0.0),
        filters.Tick(3.0, 3.0),
        views.SettingsView(3.1, settings),
        filters.Tick(3.2, 3.2),
    ]
    states = [
        effect.find("p0").state
        for item in inputs
        for effect in core.feed(item)
        if isinstance(effect, views.FleetView)
    ]
    assert states == [views.MemberState.LIVE, views.MemberState.LEAVING]
