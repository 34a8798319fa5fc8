"""Determines the primary of a replica set and how long it is confirmed.

While this host's lease is valid, the leadership record in the store decides: no
other upstream is promoted before this host has acknowledged the failover or its
lease has expired. Without a valid lease, two members that know of no higher
term confirm the primary for CONFIRMATION_TTL_S: a fence covers all members but
one and so includes at least one of the two, and a host that promotes an
upstream waits for the same time after its fence. A fence that may have ended
since is the subject of `status_chain`.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import leadership, position, replica_sets, sessions

if TYPE_CHECKING:
    from collections.abc import Iterable

CONFIRMING_MEMBERS = 2


@dataclasses.dataclass(slots=True)
class TrackedMember:
    """The mutable state behind a `replica_sets.MemberView`.

    Attributes:
      has_restarted: whether its process has started again, and has not been
        promoted or found to lead with a whole log since.
    """

    entry: replica_sets.UpstreamEntry
    status: sessions.ReplicaStatus | None = None
    requested_at: float = replica_sets.NEVER
    failing_since: float | None = None
    stalled_since: float | None = None
    has_restarted: bool = False

    def check_log(self, covering: position.Position | None) -> None:
        """Checks by its status whether it leads with a whole log.

        Args:
          covering: a position that covers all acknowledged commits, or None.
        """
        is_primary = self.status.role is sessions.ReplicaRole.PRIMARY
        is_whole = covering is None or self.status.received >= covering
        if is_primary and is_whole:
            self.has_restarted = False


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryState:
    """The primary, if it is known, and the expiry of its confirmation."""

    primary: str
    term: int
    confirmed_until: float


NO_PRIMARY = PrimaryState("", 0, replica_sets.NEVER)


def from_record(
    record: leadership.Record | None,
    members: Iterable[TrackedMember],
    lease_until: float,
) -> PrimaryState:
    """Returns the primary according to the store, confirmed to `lease_until`.

    A primary that has started again may have lost its log, and isn't confirmed.
    As long as there is no record, no upstream has been promoted, and the roles
    in the upstreams' entries identify the primary.
    """
    members = list(members)
    if record is not None:
        if record.is_failing_over:
            return dataclasses.replace(NO_PRIMARY, term=record.term)
        return _confirm(record.upstream, record.term, members, lease_until)
    primaries = [
        member.entry.upstream
        for member in members
        if member.entry.role is sessions.ReplicaRole.PRIMARY
        and member.entry.listed
    ]
    if len(primaries) != 1:
        return NO_PRIMARY
    return _confirm(primaries[0], 0, members, lease_until)


def _confirm(
    primary: str,
    term: int,
    members: Iterable[TrackedMember],
    lease_until: float,
) -> PrimaryState:
    has_restarted = any(
        member.has_restarted
        for member in members
        if member.entry.upstream == primary
    )
    confirmed_until = replica_sets.NEVER if has_restarted else lease_until
    return PrimaryState(primary, term, confirmed_until)


def from_status(members: Iterable[TrackedMember]) -> PrimaryState:
    """Returns the primary according to the status of the members."""
    reporting = [member for member in members if member.status is not None]
    primaries = [
        (member.status.term, member.entry.upstream)
        for member in reporting
        if member.status.role is sessions.ReplicaRole.PRIMARY
    ]
    if not primaries:
        return NO_PRIMARY
    term, primary = max(primaries)
    times = sorted(
        member.requested_at
        for member in reporting
        if member.status.term <= term and member.status.paused_term <= term
    )
    if len(times) < CONFIRMING_MEMBERS:
        return PrimaryState(primary, term, replica_sets.NEVER)
    confirmed_at = times[-CONFIRMING_MEMBERS]
    return PrimaryState(
        primary, term, confirmed_at + replica_sets.CONFIRMATION_TTL_S
    )
