"""Tests of reads that the primary's last status does not admit."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import filters, position, upstream, views
from fescueshunt.request import choose, eligibility, items
from lib import work_factory

TERM = position.FIRST_TERM
LOG = position.History((position.Branch(TERM, 1),), end=8)
NOW = 10.0
STATUS = upstream.Status("u0", upstream.Role.PRIMARY, TERM, TERM, LOG)
CURRENT = views.GroupView(
    NOW,
    "db",
    TERM,
    "u0",
    confirmed_at=NOW,
    states=(
        views.UpstreamState("u0", STATUS, NOW),
        views.UpstreamState("u1"),
        views.UpstreamState("u2"),
    ),
)


def without_support() -> views.GroupView:
    confirmed_at = NOW - views.MAJORITY_SUPPORT_TTL_S - 0.1
    return dataclasses.replace(CURRENT, confirmed_at=confirmed_at)


def with_primary(**changes: object) -> views.GroupView:
    primary, *replicas = CURRENT.states
    changed = dataclasses.replace(primary, **changes)
    return dataclasses.replace(CURRENT, states=(changed, *replicas))


def decide(view: views.GroupView, index: int, **fields: object) -> filters.Item:
    """Returns what becomes of a read at the primary that names a position."""
    stage = eligibility.EligibilityCheck(choose.NearestReplica())
    list(stage.process(view))
    work = work_factory.make_work(NOW)
    after = position.Position(TERM, index)
    req = dataclasses.replace(work.req, after=after, **fields)
    work = dataclasses.replace(work, req=req)
    tick = filters.Tick(NOW + eligibility.CATCH_UP_TIMEOUT_S, 0.0)
    arrived = items.ArrivedAtHome(NOW, work, "u0")
    return [*stage.process(arrived), *stage.process(tick)][0]


# Guards against reads that are refused for good, with time left, because a busy
# home has had no news of the primary for a moment.
@pytest.mark.parametrize(
    ("view", "index"),
    [
        (without_support(), 8),
        (with_primary(failed_at=NOW), 8),
        (with_primary(status=None), 8),
        (CURRENT, 9),
    ],
)
def test_read_is_tried_again_if_a_newer_status_may_admit_it(view, index):
    assert isinstance(decide(view, index), items.RetryNeeded)


def test_read_is_refused_if_the_primary_is_too_old_for_it():
    answered = decide(CURRENT, 8, max_age_s=1.0)
    assert isinstance(answered.answer.error, errors.TooStaleError)


def test_read_runs_at_a_primary_that_has_its_position():
    assert isinstance(decide(CURRENT, 8), items.Assigned)
