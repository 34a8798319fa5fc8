"""Tests of overload hints."""

import pytest

from fescueshunt import errors
from fescueshunt.core import document, request
from fescueshunt.request import choose, hints
from lib import work_factory

UPSTREAMS = tuple(
    document.Upstream(name, zone, "127.0.0.1:1")
    for name, zone in (("u1", "z1"), ("u2", "z2"), ("u3", "z3"))
)
DATABASE = document.Database("db", "g", UPSTREAMS)


def refusal(work, upstream, retry_after_s=9.0):
    error = errors.OverloadedError(retry_after_s=retry_after_s)
    return request.Answer(work.req.request_id, upstream=upstream, error=error)


def test_hint_applies_to_one_caller_and_rank_until_it_expires():
    overload_hints = hints.OverloadHints()
    work = work_factory.make_work()
    overload_hints.record(work, refusal(work, "u1"), 1.0)
    expires_at = 1.0 + work_factory.URGENT.target_s * hints.MAX_SHARE_OF_TARGET
    assert overload_hints.overloaded_upstreams(
        work_factory.make_work(), expires_at - 0.001
    ) == {"u1"}
    assert (
        overload_hints.overloaded_upstreams(
            work_factory.make_work(caller="other"), 1.0
        )
        == frozenset()
    )
    assert (
        overload_hints.overloaded_upstreams(
            work_factory.make_work(rank=work_factory.GATE), 1.0
        )
        == frozenset()
    )
    assert (
        overload_hints.overloaded_upstreams(
            work_factory.make_work(), expires_at
        )
        == frozenset()
    )
    overload_hints.remove_expired(expires_at)
    assert overload_hints._expiries == {}


@pytest.mark.parametrize(
    "error", [None, errors.NoPrimaryError(), errors.TooStaleError()]
)
def test_only_overload_errors_are_recorded(error):
    overload_hints = hints.OverloadHints()
    work = work_factory.make_work()
    answer = request.Answer(work.req.request_id, upstream="u1", error=error)
    overload_hints.record(work, answer, 1.0)
    assert overload_hints.overloaded_upstreams(work, 1.0) == frozenset()


def test_read_avoids_overloaded_replica():
    work = work_factory.make_work(rank=work_factory.HISTORY)
    read_preference = choose.NearestReplica()
    read = work_factory.with_max_age(work, 60.0)
    chosen = choose.choose_upstream(
        read, DATABASE, None, "z1", read_preference, frozenset({"u1"})
    )
    assert chosen in ("u2", "u3")
