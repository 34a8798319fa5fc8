"""Builders of replica set entries, members and views for tests."""

from __future__ import annotations

from collections.abc import Iterable

from fescueshunt.core import position, replica_sets, sessions
from lib import hosted_routes

START = position.Position(position.Term(1), 0)
# Covers all commits at all times, so that every member is fresh enough.
COVERING_SAMPLE = replica_sets.PositionSample(float("inf"), START)


def make_entry(
    name: str,
    role: sessions.ReplicaRole = sessions.ReplicaRole.REPLICA,
    *,
    address: str = "127.0.0.1:1",
    slots: int = 2,
    started_ms: int = 0,
) -> replica_sets.UpstreamEntry:
    """Returns the listed entry of an upstream that is not draining."""
    return replica_sets.UpstreamEntry(
        name,
        hosted_routes.DATABASE,
        address,
        "z",
        slots,
        False,
        role,
        started_ms,
    )


def make_member(
    entry: replica_sets.UpstreamEntry,
) -> replica_sets.MemberView:
    """Returns a member that has answered no call, and failed none."""
    return replica_sets.MemberView(entry, None, replica_sets.NEVER, None)


def make_view(
    entries: Iterable[replica_sets.UpstreamEntry],
    primary: str,
    *,
    now: float = 0.0,
    term: int = 1,
    confirmed_until: float = 0.0,
    is_failing_over: bool = False,
    samples: tuple[replica_sets.PositionSample, ...] = (),
    silent: frozenset[str] = frozenset(),
) -> replica_sets.ReplicaSetView:
    """Returns the view of a host that knows of all former members."""
    return replica_sets.ReplicaSetView(
        now,
        hosted_routes.DATABASE,
        tuple(make_member(entry) for entry in entries),
        primary,
        term,
        confirmed_until,
        is_failing_over,
        samples,
        tuple(
            replica_sets.FormerMember(name, 0, "", True, now)
            for name in sorted(silent)
        ),
        replica_sets.NEVER,
    )
