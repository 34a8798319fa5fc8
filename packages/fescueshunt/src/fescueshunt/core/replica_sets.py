"""Views of replica sets: registered upstreams, member status, the primary."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, position, sessions

if TYPE_CHECKING:
    from collections.abc import Iterable

# A host without a valid lease serves reads at a primary for this long after two
# members have reported no higher term. A host that promotes an upstream
# waits for the same time after it has fenced the members.
CONFIRMATION_TTL_S = 0.3
# A former member that does not answer may still run for this long after its
# entry was removed.
FORMER_MEMBER_TTL_S = 60.0
# The members that have a commit when it is acknowledged.
COMMIT_MEMBERS = 2
NEVER = float("-inf")


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Incarnation:
    """One process of an upstream; each start of it begins another one.

    Attributes:
      upstream: the id of the upstream.
      started_ms: the start time of the process in Unix milliseconds; 0 if
        unknown.
    """

    upstream: str
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """The entry that an upstream registered in the platform's store.

    Attributes:
      upstream: the id of the upstream; each new backend has a new one.
      database: the database whose replica set the upstream belongs to.
      address: the network address of the upstream.
      zone: the availability zone of the upstream.
      slots: the number of statements that the upstream runs concurrently.
      draining: whether the upstream is about to leave.
      role: the role that the upstream reports.
      started_ms: the start time of the upstream's process in Unix milliseconds;
        0 if unknown.
      listed: whether the store still has the entry.
      draining_since: when this host first saw that the upstream is draining, or
        None.
    """

    upstream: str
    database: str
    address: str
    zone: str
    slots: int
    draining: bool
    role: sessions.ReplicaRole
    started_ms: int = 0
    listed: bool = True
    draining_since: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The process that the entry is of."""
        return Incarnation(self.upstream, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class FormerMember:
    """A former member that may have had the only copy beside the primary's.

    It is kept until a replica is known to hold all that it can have
    acknowledged, whatever becomes of its entry and its address.

    Attributes:
      upstream: the id of the upstream; "" stands for all that this host may not
        know of, as it has not read all changes of entries.
      started_ms: the start time of its process in Unix milliseconds; 0 if
        unknown.
      address: its network address.
      may_run: whether it may still run and acknowledge commits.
      unlisted_at: when its entry was removed, in seconds on the local clock.
      gone_at: when it was found not to run, on the same clock; None if it was
        not.
    """

    upstream: str
    started_ms: int
    address: str
    may_run: bool
    unlisted_at: float
    gone_at: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The process of the former member."""
        return Incarnation(self.upstream, self.started_ms)

    @property
    def is_unknown(self) -> bool:
        """Whether it stands for members that this host may not know of."""
        return not self.upstream


def unknown_members(watched_since: float) -> FormerMember:
    """Returns what stands for members that were gone before `watched_since`."""
    return FormerMember("", 0, "", False, watched_since, watched_since)


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """A member of a replica set.

    Attributes:
      entry: the registered entry of the member.
      status: the last status that the member reported, or None.
      requested_at: when that status was requested, in seconds on the local
        clock.
      failing_since: when the first of the current consecutive failed calls was
        sent, or None.
      stalled_since: when a write was sent that is still unanswered, or None.
    """

    entry: UpstreamEntry
    status: sessions.ReplicaStatus | None
    requested_at: float
    failing_since: float | None
    stalled_since: float | None = None

    @property
    def upstream(self) -> str:
        """The id of the upstream."""
        return self.entry.upstream


@dataclasses.dataclass(frozen=True, slots=True)
class PositionSample:
    """A log position that covers all commits acknowledged up to a time.

    Attributes:
      at: the time, in seconds on the local clock.
      end: a position at or after every commit acknowledged by `at`.
    """

    at: float
    end: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSetView(filters.Item):
    """The state of a replica set as this host knows it.

    Attributes:
      members: the members that serve or may serve.
      primary: the id of the primary; "" if it is unknown or being replaced.
      term: the highest known term.
      confirmed_until: the time until which `primary` is certain to be the only
        primary.
      is_failing_over: whether the primary is being replaced.
      samples: position samples, oldest first.
      former: the former members that may have acknowledged commits which no
        member but the primary is known to hold.
      watched_since: since when this host has read all changes of entries, in
        seconds on the local clock. It may not know of a former member from
        before that time.
    """

    database: str
    members: tuple[MemberView, ...]
    primary: str
    term: int
    confirmed_until: float
    is_failing_over: bool
    samples: tuple[PositionSample, ...]
    former: tuple[FormerMember, ...]
    watched_since: float

    @property
    def silent(self) -> frozenset[str]:
        """The ids of former members that may still run."""
        return frozenset(f.upstream for f in self.former if f.may_run)

    @property
    def left(self) -> frozenset[Incarnation]:
        """The processes of former members that don't run any more."""
        return frozenset(
            former.incarnation
            for former in self.former
            if not former.may_run and not former.is_unknown
        )

    @property
    def knows_all_members(self) -> bool:
        """Whether each member that may have acknowledged commits is known."""
        return not any(former.is_unknown for former in self.former)

    def member(self, upstream: str) -> MemberView | None:
        """Returns the member with the id `upstream`, or None."""
        for member in self.members:
            if member.upstream == upstream:
                return member
        return None

    def is_confirmed(self, now: float) -> bool:
        """Returns whether the primary is certain to be the only one now."""
        return bool(self.primary) and now < self.confirmed_until

    def relies_on(self, upstream: str, now: float) -> bool:
        """Returns whether `upstream` is certain to be the only primary now."""
        return upstream == self.primary and self.is_confirmed(now)

    def has_replaced(self, upstream: str) -> bool:
        """Returns whether `upstream` is known not to be the primary any more.

        It is not while it is being replaced, either.
        """
        if not self.primary:
            return self.is_failing_over
        return upstream != self.primary

    def position_as_of(self, moment: float) -> position.Position | None:
        """Returns a position that covers all commits acknowledged by `moment`.

        Returns None if no such position is known.
        """
        return position_as_of(self.samples, moment)


def position_as_of(
    samples: Iterable[PositionSample], moment: float
) -> position.Position | None:
    """Returns a position that covers all commits acknowledged by `moment`.

    The oldest such position is returned, since most replicas already hold it.

    Args:
      samples: position samples, oldest first.
      moment: a time on the local clock, in seconds.

    Returns:
      The position, or None if no such position is known.
    """
    ends = (sample.end for sample in samples if sample.at >= moment)
    return next(ends, None)
