"""Guarantees while proxies stop, home proxies move and upstreams drain."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import items, process
from lib import scenarios, simulated_settings, simulation

# Shutdown, and moves of the home proxy.


def test_shutdown_waits_for_an_open_transaction(cluster, other):
    begin_id = scenarios.begin_transaction(cluster, other)
    cluster.feed(other, process.StopAsked(cluster.now))
    cluster.run(3.0)
    assert other in cluster.proxies
    refused = cluster.execute(other, scenarios.read_request(cluster), conn=2)
    assert refused.error == errors.StoppingError()
    cluster.execute(other, scenarios.step_request(cluster, begin_id, "one"))
    scenarios.commit_transaction(cluster, other, begin_id)
    cluster.feed(other, process.StopAsked(cluster.now))
    cluster.run(0.2)
    assert other not in cluster.proxies
    assert cluster.rows() == ["one"]


def test_shutdown_wait_for_a_transaction_is_bounded(cluster, other):
    scenarios.begin_transaction(cluster, other)
    cluster.feed(other, process.StopAsked(cluster.now))
    cluster.run(20.0)
    assert other not in cluster.proxies


def test_write_survives_the_move_of_the_home_proxy():
    (database,) = simulated_settings.SETTINGS.databases
    in_one_zone = tuple(
        dataclasses.replace(u, zone=simulated_settings.ZONES[0])
        for u in database.upstreams
    )
    moved_database = dataclasses.replace(database, upstreams=in_one_zone)
    cluster = simulation.SimulatedCluster(
        settings=dataclasses.replace(
            simulated_settings.SETTINGS, databases=(moved_database,)
        )
    )
    cluster.kill("proxy-0")
    cluster.run(2.0)
    for name in ("db-1", "db-2"):
        cluster.upstreams[name].is_replicating = False
    seq = cluster.send("proxy-1", 1, scenarios.write_request(cluster, "once"))
    cluster.run(0.2)
    cluster.start("proxy-0")
    cluster.run(1.5)
    for name in ("db-1", "db-2"):
        cluster.upstreams[name].is_replicating = True
    cluster.run(2.0)
    assert cluster.answers["proxy-1", 1, seq].error is None
    assert cluster.rows() == ["once"]


# Draining upstreams.


@pytest.mark.parametrize("leaving", ["db-1", "db-2"])
def test_draining_replica_gets_no_new_work(cluster, leaving):
    for number in range(20):
        cluster.execute(
            "proxy-0", scenarios.read_request(cluster, "old"), conn=number
        )
    assert cluster.count_connections(leaving) > 0
    cluster.settings = simulated_settings.drain_upstream(
        cluster.settings, leaving
    )
    cluster.feed(
        "proxy-0", items.SettingsRead(cluster.now, cluster.settings, 2)
    )
    cluster.run(2.0)
    for number in range(20):
        answer = cluster.execute(
            "proxy-1", scenarios.read_request(cluster, "old")
        )
        assert answer.error is None, number
        assert answer.upstream != leaving


def test_draining_primary_hands_over_and_gets_no_new_work(cluster, home, other):
    drained = simulated_settings.drain_upstream(cluster.settings, "db-0")
    assert (
        cluster.execute(home, scenarios.write_request(cluster, "before")).error
        is None
    )
    cluster.settings = drained
    for name in (home, other):
        cluster.feed(name, items.SettingsRead(cluster.now, drained, 2))
    cluster.run(2.0)
    for tag in ("one", "two"):
        answer = cluster.execute(other, scenarios.write_request(cluster, tag))
        assert answer.error is None
        assert answer.upstream != "db-0"
    cluster.run(5.0)
    terms = {u.engine.term.number for u in cluster.upstreams.values()}
    assert terms == {2}
    assert cluster.rows() == ["before", "one", "two"]
