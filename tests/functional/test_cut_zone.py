"""A zone cut off from the others and from the store, and its healing."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import upstream
from lib import scenarios, world

CUT_S = 5.0
HEAL_S = 12.0
CUT_ZONE, CUT_PROXY, CUT_UPSTREAM = world.ZONES[0], "proxy-0", "db-0"
OTHERS = ("proxy-1", "proxy-2")


@pytest.fixture(name="played")
def make_played():
    played = world.World(7, proxies=3)
    played.run(3.0)
    return played


def cut(played):
    """Cuts the primary's zone off after one write; returns its answer."""
    answer = played.ask("proxy-1", scenarios.write(played, "before"))
    assert answer.error is None
    played.run(0.5)
    played.cut_zones = {CUT_ZONE}
    played.run(CUT_S)
    return answer


def test_the_other_zones_go_on_with_a_new_primary(played):
    cut(played)
    for name in OTHERS:
        answer = played.ask(name, scenarios.write(played, name))
        assert answer.error is None
        assert answer.upstream != CUT_UPSTREAM
    assert played.rows() == ["before", *OTHERS]


def test_the_cut_zone_refuses_writes_as_not_run(played):
    cut(played)
    req = scenarios.write(played, "lost", timeout_s=2.0)
    answer = played.ask(CUT_PROXY, req)
    assert answer.outcome is errors.Outcome.NOT_RUN
    played.cut_zones = set()
    played.run(HEAL_S)
    assert played.rows() == ["before"]


def test_the_cut_zone_serves_sessions_that_wrote_before(played):
    token = cut(played).token
    req = scenarios.read(played, "look")
    req = dataclasses.replace(req, after=token)
    answer = played.ask(CUT_PROXY, req)
    assert answer.error is None
    assert answer.upstream == CUT_UPSTREAM
    assert answer.results[0].rows == (("before",),)


def test_the_cut_zone_serves_no_read_above_its_stated_age(played):
    cut(played)
    ages = []
    while played.now < 130.0:
        req = scenarios.read(played, "old")
        req = dataclasses.replace(req, max_age_s=8.0, timeout_s=0.5)
        answer = played.ask(CUT_PROXY, req)
        ages.append(None if answer.error else answer.age_s)
        played.run(0.5)
    assert ages[0] is not None
    assert max(age for age in ages if age is not None) <= 8.0
    assert ages[-1] is None


def test_no_answer_of_the_cut_zone_claims_a_write(played):
    """Writes race the cut; what was told must match the table."""
    seqs = {}
    for count in range(40):
        if count == 20:
            played.cut_zones = {CUT_ZONE}
        tag = f"t{count}"
        req = scenarios.write(played, tag, timeout_s=3.0)
        seqs[tag] = played.send(CUT_PROXY, 1, req)
        played.run(0.004)
    played.run(CUT_S)
    played.cut_zones = set()
    played.run(HEAL_S)
    rows = played.rows()
    outcomes = {
        tag: played.answers[CUT_PROXY, 1, seq].outcome
        for tag, seq in seqs.items()
    }
    assert errors.Outcome.DONE in outcomes.values()
    for tag, outcome in outcomes.items():
        if outcome is not errors.Outcome.UNKNOWN:
            assert (outcome is errors.Outcome.DONE) == (tag in rows), tag
    assert len(rows) == len(set(rows))


def test_it_heals_by_itself(played):
    cut(played)
    assert played.ask("proxy-2", scenarios.write(played, "cut")).error is None
    played.cut_zones = set()
    played.run(HEAL_S)
    assert played.ask(CUT_PROXY, scenarios.write(played, "after")).error is None
    played.run(1.0)
    assert played.rows() == ["before", "cut", "after"]
    roles = {u.engine.role for u in played.upstreams.values()}
    assert roles == {upstream.Role.PRIMARY, upstream.Role.REPLICA}
    assert len({u.engine.history for u in played.upstreams.values()}) == 1
