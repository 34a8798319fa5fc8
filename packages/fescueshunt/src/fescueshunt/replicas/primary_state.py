"""Who leads a replica set, and for how long that is certain.

With a lease that holds, the record in the store says so: nobody promotes before
this host has acknowledged the move or its lease is over. Without one, the
members' own words do. Two members that know of no higher term can't both be
missing from a fence of all members but one, and after a fence a promoter waits
CONFIRM_S.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import leadership, replica_sets, sessions

if TYPE_CHECKING:
    from collections.abc import Iterable

CONFIRMING_MEMBERS = 2


@dataclasses.dataclass(slots=True)
class TrackedMember:
    """A member: its entry and its last word."""

    entry: replica_sets.UpstreamEntry
    status: sessions.ReplicaStatus | None = None
    requested_at: float = replica_sets.NEVER
    failing_since: float | None = None
    stalled_since: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryState:
    """The primary, and until when it is certain to be the only one."""

    primary: str
    term: int
    confirmed_until: float


NO_PRIMARY = PrimaryState("", 0, replica_sets.NEVER)


def from_record(
    record: leadership.Record | None,
    members: Iterable[TrackedMember],
    lease_until: float,
) -> PrimaryState:
    """Returns who leads by the store; `lease_until` ends the certainty.

    Before the first record nobody was ever promoted, and the upstreams' own
    entries say who leads.
    """
    if record is not None:
        if record.is_moving:
            return dataclasses.replace(NO_PRIMARY, term=record.term)
        return PrimaryState(record.upstream, record.term, lease_until)
    leading = [
        member.entry.upstream
        for member in members
        if member.entry.role is sessions.ReplicaRole.PRIMARY
        and member.entry.listed
    ]
    if len(leading) != 1:
        return NO_PRIMARY
    return PrimaryState(leading[0], 0, lease_until)


def from_status(members: Iterable[TrackedMember]) -> PrimaryState:
    """Returns who leads by what the members say themselves."""
    heard = [member for member in members if member.status is not None]
    leading = [
        (member.status.term, member.entry.upstream)
        for member in heard
        if member.status.role is sessions.ReplicaRole.PRIMARY
    ]
    if not leading:
        return NO_PRIMARY
    term, primary = max(leading)
    times = sorted(
        member.requested_at
        for member in heard
        if member.status.term <= term and member.status.paused_term <= term
    )
    if len(times) < CONFIRMING_MEMBERS:
        return PrimaryState(primary, term, replica_sets.NEVER)
    confirmed_at = times[-CONFIRMING_MEMBERS]
    return PrimaryState(
        primary, term, confirmed_at + replica_sets.CONFIRMATION_TTL_S
    )
