"""The promises of transactions in the world, one failure at a time."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import items, peer, request
from lib import scenarios, world

Kind = request.Kind


@pytest.mark.parametrize("entry", ["home", "other"])
def test_closed_caller_rolls_back_at_once(played, entry, request):
    proxy = request.getfixturevalue(entry)
    begin_id = scenarios.begin(played, proxy)
    played.ask(proxy, scenarios.step(played, begin_id, "half"))
    played.close_caller(proxy, 1)
    late = scenarios.write(played, "next", timeout_s=0.5)
    assert played.ask(proxy, late, conn=2).error is None
    assert played.rows() == ["next"]


@pytest.mark.parametrize("entry", ["home", "other"])
def test_caller_closed_during_a_step_rolls_back(played, entry, request):
    proxy = request.getfixturevalue(entry)
    begin_id = scenarios.begin(played, proxy)
    played.send(proxy, 1, scenarios.step(played, begin_id, "half"))
    played.close_caller(proxy, 1)
    late = scenarios.write(played, "next", timeout_s=0.5)
    assert played.ask(proxy, late, conn=2).error is None


@pytest.mark.parametrize("entry", ["home", "other"])
def test_second_begin_under_one_id_is_refused(played, other, entry, request):
    begin_id = scenarios.begin(played, other)
    again = scenarios.inside(played, Kind.BEGIN, begin_id)
    answer = played.ask(request.getfixturevalue(entry), again, conn=2)
    assert answer.error == errors.RequestIdReusedError()
    played.ask(other, scenarios.step(played, begin_id, "one"))
    assert played.ask(other, scenarios.commit(played, begin_id)).error is None
    assert played.rows() == ["one"]


@pytest.mark.parametrize("kind", [Kind.STEP, Kind.ROLLBACK])
def test_another_connection_can_not_join(played, other, kind):
    begin_id = scenarios.begin(played, other)
    stranger = scenarios.inside(played, kind, begin_id, scenarios.add("x"))
    answer = played.ask(other, stranger, conn=2)
    assert answer.error == errors.TransactionLostError()
    played.ask(other, scenarios.step(played, begin_id, "one"))
    assert played.ask(other, scenarios.commit(played, begin_id)).error is None
    assert played.rows() == ["one"]


def test_another_proxy_can_not_join(played, home, other):
    begin_id = scenarios.begin(played, other)
    stranger = scenarios.step(played, begin_id, "stranger")
    message = peer.ForwardedRequest(7, "", stranger, 1.0)
    played.feed(home, items.PeerReceived(played.now, "proxy-9", message))
    played.run(0.1)
    assert played.ask(other, scenarios.commit(played, begin_id)).error is None
    assert played.rows() == []


def test_doubled_step_runs_once(played, other):
    begin_id = scenarios.begin(played, other)

    def double(message):
        is_forward = isinstance(message, peer.ForwardedRequest)
        return [0.001, 0.05] if is_forward else None

    played.meddle = double
    assert (
        played.ask(other, scenarios.step(played, begin_id, "one")).error is None
    )
    played.run(0.2)
    assert played.ask(other, scenarios.commit(played, begin_id)).error is None
    assert played.rows() == ["one"]


def test_step_lost_with_its_home_connection_ends_it(played, home, other):
    begin_id = scenarios.begin(played, other)
    seq = played.send(other, 1, scenarios.step(played, begin_id, "one"))
    played.feed(other, items.PeerLost(played.now, home))
    played.run(0.3)
    answer = played.answers[other, 1, seq]
    assert isinstance(answer.error, errors.TransactionLostError)
    answer = played.ask(other, scenarios.commit(played, begin_id))
    assert answer.outcome is errors.Outcome.NOT_RUN
    assert played.rows() == []


def test_entry_that_dies_leaves_nothing_open(played, home, other):
    begin_id = scenarios.begin(played, other)
    played.ask(other, scenarios.step(played, begin_id, "half"))
    played.kill(other)
    late = scenarios.write(played, "next", timeout_s=0.5)
    assert played.ask(home, late).error is None
    assert played.rows() == ["next"]


def test_home_that_dies_leaves_nothing_done(played, home, other):
    begin_id = scenarios.begin(played, other)
    played.ask(other, scenarios.step(played, begin_id, "half"))
    played.kill(home)
    played.run(1.0)
    answer = played.ask(other, scenarios.commit(played, begin_id))
    assert answer.outcome is errors.Outcome.NOT_RUN
    assert played.rows() == []


def test_commit_repeated_on_another_proxy_is_settled(played, home, other):
    begin_id = scenarios.begin(played, other)
    played.ask(other, scenarios.step(played, begin_id, "one"))
    req = scenarios.commit(played, begin_id)
    assert played.ask(other, req).error is None
    repeated = played.ask(home, req)
    assert repeated.error is None
    assert repeated.repeated
    assert played.rows() == ["one"]


def test_commit_after_its_tombstone_is_lost(played, home, other):
    begin_id = scenarios.begin(played, other)
    req = scenarios.commit(played, begin_id)
    played.close_caller(other, 1)
    answer = played.ask(home, scenarios.outcome_of(played, req.request_id))
    assert answer.error == errors.RequestCancelledError()
    answer = played.ask(home, req)
    assert answer.error == errors.TransactionLostError()


def test_commit_under_the_id_of_a_write_is_refused(played, home, other):
    done = scenarios.write(played, "write")
    played.ask(home, done)
    begin_id = scenarios.begin(played, other)
    played.ask(other, scenarios.step(played, begin_id, "half"))
    reused = dataclasses.replace(
        scenarios.commit(played, begin_id), request_id=done.request_id
    )
    answer = played.ask(other, reused)
    assert answer.error == errors.RequestIdReusedError()
    assert played.rows() == ["write"]


def test_commit_of_another_database_is_refused():
    first = world.SETTINGS.databases[0]
    settings = dataclasses.replace(
        world.SETTINGS,
        databases=(first, dataclasses.replace(first, name="db2")),
    )
    played = world.World(settings=settings)
    begin_id = scenarios.begin(played, "proxy-0")
    crossed = dataclasses.replace(
        scenarios.commit(played, begin_id), database="db2"
    )
    answer = played.ask("proxy-0", crossed)
    assert answer.outcome is errors.Outcome.NOT_RUN
