"""Outcomes of writes and reads in a simulation, one fault per test."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import document, items, peer, request, upstream
from fescueshunt.request import ledger
from lib import scenarios, simulated_settings, simulation

Kind = request.Kind


@pytest.mark.parametrize("phase", ["open", "opened", "commit", "committed"])
def test_home_killed_in_each_phase_of_a_write(cluster, home, other, phase):
    """The home proxy is killed at a call of a write, or at the reply to one."""
    req = scenarios.write_request(cluster, "once")

    def kill_home(message):
        if _write_phase(message) == phase:
            cluster.delivery_hook = lambda _: None
            cluster.call_later(0.0, lambda: cluster.kill(home))

    cluster.delivery_hook = kill_home
    answer = cluster.execute(other, req)
    assert answer.error is None
    assert cluster.rows() == ["once"]
    assert cluster.execute(other, req).repeated


def _write_phase(message):
    match message:
        case upstream.Execute(mode=upstream.Mode.BEGIN):
            return "open"
        case upstream.Execute(mode=upstream.Mode.COMMIT):
            return "commit"
        case upstream.Executed(results=results) if len(results) == 2:
            return "opened"
        case upstream.Executed(results=results) if len(results) == 1:
            return "committed"
        case _:
            return ""


def test_write_whose_first_call_is_lost_is_not_run(cluster, home):
    def lose_begin(message):
        is_begin = _write_phase(message) == "open"
        return [] if is_begin else None

    cluster.delivery_hook = lose_begin
    req = scenarios.write_request(cluster, "never", timeout_s=1.0)
    answer = cluster.execute(home, req)
    assert answer.outcome is errors.Outcome.NOT_RUN
    cluster.delivery_hook = lambda _: None
    cluster.run(5.0)
    assert cluster.rows() == []


def test_lost_commit_reply_is_unknown_until_the_outcome_is_requested(
    cluster, home, other
):
    def lose_open_and_commit_reply(message):
        return [] if _write_phase(message) in ("committed", "open") else None

    req = scenarios.write_request(cluster, "once", timeout_s=1.0)
    opened = []

    def lose_after_first_open(message):
        if _write_phase(message) == "open" and not opened:
            opened.append(message)
            return None
        return lose_open_and_commit_reply(message)

    cluster.delivery_hook = lose_after_first_open
    answer = cluster.execute(home, req)
    assert answer.outcome is errors.Outcome.UNKNOWN
    cluster.delivery_hook = lambda _: None
    for proxy in (home, other):
        outcome_answer = cluster.execute(
            proxy, scenarios.outcome_request(cluster, req.request_id)
        )
        assert outcome_answer.error is None
        assert outcome_answer.repeated
    assert cluster.rows() == ["once"]


def test_outcome_request_during_the_first_attempt(cluster, home, other):
    req = scenarios.write_request(cluster, "once")
    seq = cluster.send(home, 1, req)
    outcome_answer = cluster.execute(
        other, scenarios.outcome_request(cluster, req.request_id)
    )
    cluster.run(1.0)
    first = cluster.answers[home, 1, seq]
    assert (outcome_answer.error is None) == (first.error is None)
    assert cluster.rows() == (["once"] if outcome_answer.error is None else [])


def test_first_attempt_after_the_tombstone_is_refused(cluster, home, other):
    req = scenarios.write_request(cluster, "never")
    outcome_answer = cluster.execute(
        other, scenarios.outcome_request(cluster, req.request_id)
    )
    assert outcome_answer.error == errors.RequestCancelledError()
    answer = cluster.execute(home, req)
    assert answer.error == errors.RequestCancelledError()
    assert cluster.rows() == []


def test_outcome_without_a_primary_is_unknown(cluster, home):
    cluster.upstreams["db-1"].alive = False
    cluster.upstreams["db-2"].alive = False
    cluster.run(1.5)
    outcome_req = scenarios.outcome_request(
        cluster, cluster.new_request_id(), timeout_s=1.0
    )
    answer = cluster.execute(home, outcome_req)
    assert answer.outcome is errors.Outcome.UNKNOWN


def test_outcome_of_an_expired_id_is_unknown(cluster, home):
    old_s = (
        simulation.WALL_CLOCK_OFFSET_S + cluster.now - ledger.RETENTION_S - 10
    )
    old = request.make_request_id(old_s, bytes(10))
    answer = cluster.execute(home, scenarios.outcome_request(cluster, old))
    assert answer.outcome is errors.Outcome.UNKNOWN
    answer = cluster.execute(
        home, scenarios.write_request(cluster, "late", old)
    )
    assert answer.error == errors.RequestExpiredError()
    assert cluster.rows() == []


def test_failed_statement_in_doubt_inserts_a_tombstone_first(
    cluster, home, other
):
    """A tombstone is committed before the error is reported.

    Otherwise an earlier attempt, whose outcome is in doubt, could still run.
    """
    req = request.Request(
        cluster.new_request_id(),
        "pay",
        "db",
        Kind.WRITE,
        (request.Statement("INSERT INTO nothing VALUES (1)"),),
    )
    message = peer.ForwardedRequest(9, "db-0", req, 2.0, in_doubt=True)
    sent = []
    cluster.delivery_hook = sent.append
    cluster.feed(home, items.PeerReceived(cluster.now, other, message))
    cluster.run(1.0)
    (answer,) = [m.answer for m in sent if isinstance(m, peer.ForwardedAnswer)]
    assert isinstance(answer.error, errors.StatementError)
    outcome_answer = cluster.execute(
        other, scenarios.outcome_request(cluster, req.request_id)
    )
    assert outcome_answer.error == errors.RequestCancelledError()


def test_other_request_with_a_used_id_is_refused(cluster, home, other):
    req = scenarios.write_request(cluster, "one")
    cluster.execute(home, req)
    changed = dataclasses.replace(
        req, statements=(scenarios.insert_statement("two"),)
    )
    answer = cluster.execute(other, changed)
    assert answer.error == errors.RequestIdReusedError()
    assert cluster.rows() == ["one"]


def test_duplicated_forwarded_request_gets_one_answer(cluster, other):
    cluster.delivery_hook = lambda message: (
        [0.001, 0.0012, 0.05]
        if isinstance(message, peer.ForwardedRequest)
        else None
    )
    answer = cluster.execute(other, scenarios.write_request(cluster, "once"))
    assert answer.error is None
    cluster.run(1.0)
    assert cluster.rows() == ["once"]
    assert cluster.duplicate_answers == 0


def test_tombstone_needs_a_majority():
    services = tuple(
        dataclasses.replace(s, durability=document.Durability.PRIMARY)
        for s in simulated_settings.SETTINGS.services
    )
    settings = dataclasses.replace(
        simulated_settings.SETTINGS, services=services
    )
    cluster = simulation.SimulatedCluster(settings=settings)
    for name in ("db-1", "db-2"):
        cluster.upstreams[name].is_replicating = False
    home = scenarios.find_home(cluster)[0]
    assert (
        cluster.execute(home, scenarios.write_request(cluster, "weak")).error
        is None
    )
    outcome_req = scenarios.outcome_request(
        cluster, cluster.new_request_id(), timeout_s=1.0
    )
    assert cluster.execute(home, outcome_req).outcome is errors.Outcome.UNKNOWN


def test_answers_to_an_earlier_incarnation_are_ignored(cluster, home, other):
    req = scenarios.read_request(cluster)
    seq = cluster.send(other, 1, req)
    stale_answer = request.Answer(cluster.new_request_id(), upstream="stray")
    error = errors.NoPrimaryError("stray")
    for key in range(1, 50):
        for message in (
            peer.ForwardedAnswer(key, stale_answer),
            peer.Redirected(key, cluster.new_request_id(), error=error),
        ):
            cluster.feed(other, items.PeerReceived(cluster.now, home, message))
    cluster.run(0.2)
    answer = cluster.answers[other, 1, seq]
    assert answer.request_id == req.request_id
    assert answer.upstream == "db-0"


@pytest.mark.parametrize("lagging", ["db-1", "db-2"])
def test_session_reads_its_write_while_a_replica_lags(cluster, lagging):
    cluster.upstreams[lagging].is_replicating = False
    token = cluster.execute(
        "proxy-0", scenarios.write_request(cluster, "mine")
    ).token
    for number in range(12):
        req = scenarios.read_request(cluster, after=token)
        answer = cluster.execute(f"proxy-{number % 2}", req)
        assert answer.error is None
        assert answer.results[0].rows == (("mine",),)
