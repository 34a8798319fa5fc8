"""Tests of the hints of busy homes."""

from fescueshunt import errors
from fescueshunt.core import document
from fescueshunt.request import choose, hints
from lib import works

MEMBERS = tuple(
    document.Upstream(name, zone, "127.0.0.1:1")
    for name, zone in (("u1", "z1"), ("u2", "z2"), ("u3", "z3"))
)
DATABASE = document.Database("db", "g", MEMBERS)


BUSY = errors.OverloadedError(retry_after_s=9.0)


def test_a_hint_holds_for_one_caller_and_rank_and_not_for_long():
    found = hints.Hints()
    found.note(works.work(), "u1", BUSY, 1.0)
    end = 1.0 + works.URGENT.target_s * hints.TARGET_SHARE
    assert found.busy(works.work(), end - 0.001) == {"u1"}
    assert found.busy(works.work(caller="other"), 1.0) == frozenset()
    assert found.busy(works.work(rank=works.GATE), 1.0) == frozenset()
    assert found.busy(works.work(), end) == frozenset()
    found.forget(end)
    assert found._until == {}


def test_a_read_goes_round_a_busy_replica():
    work = works.work(rank=works.HISTORY)
    placement = choose.NearestReplica()
    work_of_age = works.with_age(work, 60.0)
    named = choose.for_entry(
        work_of_age, DATABASE, None, "z1", placement, frozenset({"u1"})
    )
    assert named in ("u2", "u3")
