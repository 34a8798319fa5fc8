"""Tests of the hints of busy homes."""

import pytest

from fescueshunt import errors
from fescueshunt.core import document, request
from fescueshunt.request import choose, hints
from lib import works

MEMBERS = tuple(
    document.Upstream(name, zone, "127.0.0.1:1")
    for name, zone in (("u1", "z1"), ("u2", "z2"), ("u3", "z3"))
)
DATABASE = document.Database("db", "g", MEMBERS)


def refusal(work, upstream, retry_after_s=9.0):
    error = errors.OverloadedError(retry_after_s=retry_after_s)
    return request.Answer(work.req.request_id, upstream=upstream, error=error)


def test_a_hint_holds_for_one_caller_and_rank_and_not_for_long():
    found = hints.OverloadHints()
    work = works.work()
    found.record(work, refusal(work, "u1"), 1.0)
    end = 1.0 + works.URGENT.target_s * hints.MAX_SHARE_OF_TARGET
    assert found.overloaded_upstreams(works.work(), end - 0.001) == {"u1"}
    assert (
        found.overloaded_upstreams(works.work(caller="other"), 1.0)
        == frozenset()
    )
    assert (
        found.overloaded_upstreams(works.work(rank=works.GATE), 1.0)
        == frozenset()
    )
    assert found.overloaded_upstreams(works.work(), end) == frozenset()
    found.remove_expired(end)
    assert found._expiries == {}


@pytest.mark.parametrize(
    "error", [None, errors.NoPrimaryError(), errors.TooStaleError()]
)
def test_only_refusals_for_load_are_hints(error):
    found = hints.OverloadHints()
    work = works.work()
    answer = request.Answer(work.req.request_id, upstream="u1", error=error)
    found.record(work, answer, 1.0)
    assert found.overloaded_upstreams(work, 1.0) == frozenset()


def test_a_read_goes_round_a_busy_replica():
    work = works.work(rank=works.HISTORY)
    read_preference = choose.NearestReplica()
    work_of_age = works.with_age(work, 60.0)
    named = choose.choose_upstream(
        work_of_age, DATABASE, None, "z1", read_preference, frozenset({"u1"})
    )
    assert named in ("u2", "u3")
