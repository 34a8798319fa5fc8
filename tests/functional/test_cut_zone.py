"""Isolation of a zone from other zones and the store, and its recovery."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import upstream
from lib import scenarios, simulated_settings, simulation

ISOLATION_S = 5.0
RECOVERY_S = 12.0
ISOLATED_ZONE, ISOLATED_PROXY, ISOLATED_UPSTREAM = (
    simulated_settings.ZONES[0],
    "proxy-0",
    "db-0",
)
OTHER_PROXIES = ("proxy-1", "proxy-2")


@pytest.fixture(name="cluster")
def make_cluster():
    cluster = simulation.SimulatedCluster(7, proxies=3)
    cluster.run(3.0)
    return cluster


def isolate_zone(cluster):
    """Isolates the primary's zone after a write, whose answer it returns."""
    answer = cluster.execute(
        "proxy-1", scenarios.write_request(cluster, "before")
    )
    assert answer.error is None
    cluster.run(0.5)
    cluster.isolated_zones = {ISOLATED_ZONE}
    cluster.run(ISOLATION_S)
    return answer


def test_other_zones_write_through_a_new_primary(cluster):
    isolate_zone(cluster)
    for name in OTHER_PROXIES:
        answer = cluster.execute(name, scenarios.write_request(cluster, name))
        assert answer.error is None
        assert answer.upstream != ISOLATED_UPSTREAM
    assert cluster.rows() == ["before", *OTHER_PROXIES]


def test_isolated_zone_refuses_writes_as_not_run(cluster):
    isolate_zone(cluster)
    req = scenarios.write_request(cluster, "lost", timeout_s=2.0)
    answer = cluster.execute(ISOLATED_PROXY, req)
    assert answer.outcome is errors.Outcome.NOT_RUN
    cluster.isolated_zones = set()
    cluster.run(RECOVERY_S)
    assert cluster.rows() == ["before"]


def test_isolated_zone_serves_reads_of_earlier_writes(cluster):
    token = isolate_zone(cluster).token
    req = scenarios.read_request(cluster, "look")
    req = dataclasses.replace(req, after=token)
    answer = cluster.execute(ISOLATED_PROXY, req)
    assert answer.error is None
    assert answer.upstream == ISOLATED_UPSTREAM
    assert answer.results[0].rows == (("before",),)


def test_isolated_zone_serves_no_read_above_its_age_limit(cluster):
    isolate_zone(cluster)
    ages = []
    while cluster.now < 130.0:
        req = scenarios.read_request(cluster, "old")
        req = dataclasses.replace(req, max_age_s=8.0, timeout_s=0.5)
        answer = cluster.execute(ISOLATED_PROXY, req)
        ages.append(None if answer.error else answer.age_s)
        cluster.run(0.5)
    assert ages[0] is not None
    assert max(age for age in ages if age is not None) <= 8.0
    assert ages[-1] is None


def test_outcomes_match_the_table_if_writes_race_the_isolation(cluster):
    """The zone is isolated halfway through a series of writes."""
    seqs = {}
    for count in range(40):
        if count == 20:
            cluster.isolated_zones = {ISOLATED_ZONE}
        tag = f"t{count}"
        req = scenarios.write_request(cluster, tag, timeout_s=3.0)
        seqs[tag] = cluster.send(ISOLATED_PROXY, 1, req)
        cluster.run(0.004)
    cluster.run(ISOLATION_S)
    cluster.isolated_zones = set()
    cluster.run(RECOVERY_S)
    rows = cluster.rows()
    outcomes = {
        tag: cluster.answers[ISOLATED_PROXY, 1, seq].outcome
        for tag, seq in seqs.items()
    }
    assert errors.Outcome.DONE in outcomes.values()
    for tag, outcome in outcomes.items():
        if outcome is not errors.Outcome.UNKNOWN:
            assert (outcome is errors.Outcome.DONE) == (tag in rows), tag
    assert len(rows) == len(set(rows))


def test_isolated_zone_recovers_without_intervention(cluster):
    isolate_zone(cluster)
    assert (
        cluster.execute(
            "proxy-2", scenarios.write_request(cluster, "cut")
        ).error
        is None
    )
    cluster.isolated_zones = set()
    cluster.run(RECOVERY_S)
    assert (
        cluster.execute(
            ISOLATED_PROXY, scenarios.write_request(cluster, "after")
        ).error
        is None
    )
    cluster.run(1.0)
    assert cluster.rows() == ["before", "cut", "after"]
    roles = {u.engine.role for u in cluster.upstreams.values()}
    assert roles == {upstream.Role.PRIMARY, upstream.Role.REPLICA}
    assert len({u.engine.history for u in cluster.upstreams.values()}) == 1
