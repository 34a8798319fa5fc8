"""Guarantees of transactions in a simulation, one fault per test."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import items, peer, request
from lib import scenarios, simulated_settings, simulation

Kind = request.Kind


@pytest.mark.parametrize("entry", ["home", "other"])
def test_closed_caller_connection_rolls_back_at_once(cluster, entry, request):
    proxy = request.getfixturevalue(entry)
    begin_id = scenarios.begin_transaction(cluster, proxy)
    cluster.execute(proxy, scenarios.step_request(cluster, begin_id, "half"))
    cluster.close_caller(proxy, 1)
    next_write = scenarios.write_request(cluster, "next", timeout_s=0.5)
    assert cluster.execute(proxy, next_write, conn=2).error is None
    assert cluster.rows() == ["next"]


@pytest.mark.parametrize("entry", ["home", "other"])
def test_caller_connection_closed_during_a_step_rolls_back(
    cluster, entry, request
):
    proxy = request.getfixturevalue(entry)
    begin_id = scenarios.begin_transaction(cluster, proxy)
    cluster.send(proxy, 1, scenarios.step_request(cluster, begin_id, "half"))
    cluster.close_caller(proxy, 1)
    next_write = scenarios.write_request(cluster, "next", timeout_s=0.5)
    assert cluster.execute(proxy, next_write, conn=2).error is None


@pytest.mark.parametrize("entry", ["home", "other"])
def test_second_begin_with_the_same_id_is_refused(
    cluster, other, entry, request
):
    begin_id = scenarios.begin_transaction(cluster, other)
    second_begin = scenarios.transaction_request(cluster, Kind.BEGIN, begin_id)
    answer = cluster.execute(
        request.getfixturevalue(entry), second_begin, conn=2
    )
    assert answer.error == errors.RequestIdReusedError()
    cluster.execute(other, scenarios.step_request(cluster, begin_id, "one"))
    scenarios.commit_transaction(cluster, other, begin_id)
    assert cluster.rows() == ["one"]


@pytest.mark.parametrize("kind", [Kind.STEP, Kind.ROLLBACK])
def test_other_caller_connection_is_refused(cluster, other, kind):
    begin_id = scenarios.begin_transaction(cluster, other)
    foreign_request = scenarios.transaction_request(
        cluster, kind, begin_id, scenarios.insert_statement("x")
    )
    answer = cluster.execute(other, foreign_request, conn=2)
    assert answer.error == errors.TransactionLostError()
    cluster.execute(other, scenarios.step_request(cluster, begin_id, "one"))
    scenarios.commit_transaction(cluster, other, begin_id)
    assert cluster.rows() == ["one"]


def test_other_entry_proxy_is_refused(cluster, home, other):
    begin_id = scenarios.begin_transaction(cluster, other)
    foreign_request = scenarios.step_request(cluster, begin_id, "stranger")
    message = peer.ForwardedRequest(7, "", foreign_request, 1.0)
    cluster.feed(home, items.PeerReceived(cluster.now, "proxy-9", message))
    cluster.run(0.1)
    scenarios.commit_transaction(cluster, other, begin_id)
    assert cluster.rows() == []


def test_duplicated_step_runs_once(cluster, other):
    begin_id = scenarios.begin_transaction(cluster, other)

    def duplicate_forwarded(message):
        is_forward = isinstance(message, peer.ForwardedRequest)
        return [0.001, 0.05] if is_forward else None

    cluster.delivery_hook = duplicate_forwarded
    assert (
        cluster.execute(
            other, scenarios.step_request(cluster, begin_id, "one")
        ).error
        is None
    )
    cluster.run(0.2)
    scenarios.commit_transaction(cluster, other, begin_id)
    assert cluster.rows() == ["one"]


def test_step_lost_with_the_peer_connection_ends_the_transaction(
    cluster, home, other
):
    begin_id = scenarios.begin_transaction(cluster, other)
    seq = cluster.send(
        other, 1, scenarios.step_request(cluster, begin_id, "one")
    )
    cluster.feed(other, items.PeerLost(cluster.now, home))
    cluster.run(0.3)
    answer = cluster.answers[other, 1, seq]
    assert isinstance(answer.error, errors.TransactionLostError)
    answer = cluster.execute(other, scenarios.commit_request(cluster, begin_id))
    assert answer.outcome is errors.Outcome.NOT_RUN
    assert cluster.rows() == []


def test_killed_entry_proxy_leaves_no_open_transaction(cluster, home, other):
    begin_id = scenarios.begin_transaction(cluster, other)
    cluster.execute(other, scenarios.step_request(cluster, begin_id, "half"))
    cluster.kill(other)
    next_write = scenarios.write_request(cluster, "next", timeout_s=0.5)
    assert cluster.execute(home, next_write).error is None
    assert cluster.rows() == ["next"]


def test_killed_home_proxy_leaves_no_partial_transaction(cluster, home, other):
    begin_id = scenarios.begin_transaction(cluster, other)
    cluster.execute(other, scenarios.step_request(cluster, begin_id, "half"))
    cluster.kill(home)
    cluster.run(1.0)
    answer = cluster.execute(other, scenarios.commit_request(cluster, begin_id))
    assert answer.outcome is errors.Outcome.NOT_RUN
    assert cluster.rows() == []


def test_commit_resent_to_another_proxy_is_answered_from_the_ledger(
    cluster, home, other
):
    begin_id = scenarios.begin_transaction(cluster, other)
    cluster.execute(other, scenarios.step_request(cluster, begin_id, "one"))
    req = scenarios.commit_request(cluster, begin_id)
    assert cluster.execute(other, req).error is None
    repeated = cluster.execute(home, req)
    assert repeated.error is None
    assert repeated.repeated
    assert cluster.rows() == ["one"]


def test_commit_after_its_tombstone_is_lost(cluster, home, other):
    begin_id = scenarios.begin_transaction(cluster, other)
    req = scenarios.commit_request(cluster, begin_id)
    cluster.close_caller(other, 1)
    answer = cluster.execute(
        home, scenarios.outcome_request(cluster, req.request_id)
    )
    assert answer.error == errors.RequestCancelledError()
    answer = cluster.execute(home, req)
    assert answer.error == errors.TransactionLostError()


def test_commit_with_the_id_of_a_write_is_refused(cluster, home, other):
    write = scenarios.write_request(cluster, "write")
    cluster.execute(home, write)
    begin_id = scenarios.begin_transaction(cluster, other)
    cluster.execute(other, scenarios.step_request(cluster, begin_id, "half"))
    reused_id = dataclasses.replace(
        scenarios.commit_request(cluster, begin_id), request_id=write.request_id
    )
    answer = cluster.execute(other, reused_id)
    assert answer.error == errors.RequestIdReusedError()
    assert cluster.rows() == ["write"]


def test_commit_for_another_database_is_refused():
    first = simulated_settings.SETTINGS.databases[0]
    settings = dataclasses.replace(
        simulated_settings.SETTINGS,
        databases=(first, dataclasses.replace(first, name="db2")),
    )
    cluster = simulation.SimulatedCluster(settings=settings)
    begin_id = scenarios.begin_transaction(cluster, "proxy-0")
    other_database = dataclasses.replace(
        scenarios.commit_request(cluster, begin_id), database="db2"
    )
    answer = cluster.execute("proxy-0", other_database)
    assert answer.outcome is errors.Outcome.NOT_RUN
