"""Causes to replace a primary."""

from __future__ import annotations

import dataclasses

import pytest

from fescueshunt.core import position, replica_sets, sessions
from fescueshunt.takeover import cause, items
from lib import hosted_routes, replica_set_views

PRIMARY, REPLICA = "u0", "u1"
NOW = 10.0
FAILING = cause.Cause.FAILING


def _status(role: sessions.ReplicaRole) -> sessions.ReplicaStatus:
    end = position.Position(position.Term(1), 5)
    return sessions.ReplicaStatus(role, 1, end, 0, 0.0, 0, 1)


def _view(
    *,
    replica_fails: bool,
    primary_fails: bool = False,
    role: sessions.ReplicaRole = sessions.ReplicaRole.PRIMARY,
) -> replica_sets.ReplicaSetView:
    entries = [
        replica_set_views.make_entry(name) for name in (PRIMARY, REPLICA)
    ]
    view = replica_set_views.make_view(entries, PRIMARY)
    primary, replica = view.members
    primary = dataclasses.replace(
        primary,
        status=_status(role),
        failing_since=NOW if primary_fails else None,
    )
    replica = dataclasses.replace(
        replica, failing_since=NOW if replica_fails else None
    )
    return dataclasses.replace(view, members=(primary, replica))


def _votes(now: float) -> items.FailureVotesView:
    return items.FailureVotesView(now, hosted_routes.DATABASE, PRIMARY, 2, 3)


def _detect(
    detector: cause.CauseDetector,
    view: replica_sets.ReplicaSetView,
    now: float,
) -> cause.Cause | None:
    return detector.detect(view, _votes(now), now)


# Failure: a primary whose replicas were all lost was replaced by itself again
# and again, and once more just as a replica was back.
def test_primary_without_replicas_is_not_replaced_for_want_of_commits():
    detector = cause.CauseDetector()
    assert _detect(detector, _view(replica_fails=True), NOW) is None
    is_back = _view(replica_fails=False)
    assert _detect(detector, is_back, NOW + 0.1) is None
    later = NOW + cause.REPLICA_RETURN_DELAY_S + 0.1
    assert _detect(detector, is_back, later) is FAILING


# Guards against a primary that stays although a promotion would help.
@pytest.mark.parametrize(
    "view",
    [
        _view(replica_fails=False),
        _view(replica_fails=True, primary_fails=True),
        _view(replica_fails=True, role=sessions.ReplicaRole.REPLICA),
    ],
)
def test_failing_primary_is_replaced_if_that_may_help(
    view: replica_sets.ReplicaSetView,
):
    assert _detect(cause.CauseDetector(), view, NOW) is FAILING
