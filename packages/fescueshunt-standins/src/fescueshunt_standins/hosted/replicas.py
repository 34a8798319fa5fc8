"""In-memory replica set of the platform stand-in: logs, terms and promotion."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import position, sessions

if TYPE_CHECKING:
    from collections.abc import Callable

STATEMENT_DURATION_S = 0.004
REPLICATION_DELAY_S = 0.003
STEP_DOWN_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of a member's log; `tag` is the value that it wrote."""

    term: int
    index: int
    tag: str


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """A member of a replica set.

    Attributes:
      name: the name of the member.
      role: the role that the member believes it has.
      term: the term of the latest primary that the member has followed or been.
      paused_term: the term for which replication to the member is paused; 0 if
        it is not paused.
      log: the log entries that the member has received.
      applied: the number of log entries that the member has applied.
      lag_s: the delay between receiving and applying entries, in seconds.
      up: whether the member is running.
    """

    name: str
    role: sessions.ReplicaRole
    term: int = 1
    paused_term: int = 0
    log: list[LogEntry] = dataclasses.field(default_factory=list)
    applied: int = 0
    lag_s: float = 0.0
    up: bool = True

    @property
    def is_primary(self) -> bool:
        """Whether the member believes that it is the primary."""
        return self.role is sessions.ReplicaRole.PRIMARY

    def received_position(self) -> position.Position:
        """Returns the position of the last entry of the log."""
        return _position(self.log)

    def applied_position(self) -> position.Position:
        """Returns the position of the last applied entry."""
        return _position(self.log[: self.applied])

    def has_applied(self, min_position: position.Position) -> bool:
        """Returns whether the log is applied up to `min_position`."""
        return self.applied_position() >= min_position

    def status(self) -> sessions.ReplicaStatus:
        """Returns the reply to a status call."""
        return sessions.ReplicaStatus(
            self.role,
            self.term,
            self.received_position(),
            self.paused_term,
            0.0,
            0,
            1,
        )


def _common_prefix_length(
    first_log: list[LogEntry], second_log: list[LogEntry]
) -> int:
    """Returns the length of the longest common prefix of two logs."""
    if second_log[: len(first_log)] == first_log:
        return len(first_log)
    pairs = zip(first_log, second_log, strict=False)
    return sum(
        1 for _ in itertools.takewhile(lambda pair: pair[0] == pair[1], pairs)
    )


def _contains(log: list[LogEntry], entry: LogEntry) -> bool:
    """Returns whether a log contains `entry`; log indexes start at 1."""
    return len(log) >= entry.index and log[entry.index - 1] == entry


def _position(log: list[LogEntry]) -> position.Position:
    if not log:
        return position.Position(position.Term(1), 0)
    return position.Position(position.Term(log[-1].term), log[-1].index)


@dataclasses.dataclass(slots=True, eq=False)
class ReplicaSet:
    """The members of a replica set and the commits that await replication.

    Attributes:
      members: the members by name.
      can_reach: returns whether the network connects two members, by name.
      schedule: `schedule(delay_s, call)` runs a call after a delay.
      promotions: the accepted promotions as (time, member, fencing token).
      pending_commits: the commits that no replica has received yet, as
        (primary, last log entry, callback).
    """

    members: dict[str, Member]
    can_reach: Callable[[str, str], bool]
    schedule: Callable[[float, Callable[[], None]], None]
    promotions: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )
    pending_commits: list[tuple[Member, LogEntry, Callable[[], None]]] = (
        dataclasses.field(default_factory=list)
    )

    def primary(self) -> Member | None:
        """Returns the running primary with the highest term, or None."""
        primaries = [m for m in self.members.values() if m.is_primary and m.up]
        return max(primaries, key=lambda m: m.term, default=None)

    def commit(
        self, member: Member, tags: list[str], on_replicated: Callable[[], None]
    ) -> None:
        """Appends one log entry for each tag at a primary.

        Calls `on_replicated` once a replica has received the entries.
        """
        for tag in tags:
            index = member.log[-1].index + 1 if member.log else 1
            member.log.append(LogEntry(member.term, index, tag))
        member.applied = len(member.log)
        self.pending_commits.append((member, member.log[-1], on_replicated))
        self.schedule(REPLICATION_DELAY_S, self.replicate)

    def replicate(self) -> None:
        """Copies each primary's log to the replicas that can receive it."""
        for primary in self.members.values():
            if not (primary.is_primary and primary.up):
                continue
            for replica in self.members.values():
                if self._can_receive(replica, primary):
                    self._receive_log(replica, primary)
        self._acknowledge()

    def _can_receive(self, replica: Member, primary: Member) -> bool:
        return (
            replica is not primary
            and replica.up
            and not replica.is_primary
            and not replica.paused_term
            and replica.term <= primary.term
            and self.can_reach(primary.name, replica.name)
        )

    def _receive_log(self, replica: Member, primary: Member) -> None:
        replica.term = primary.term
        if replica.log == primary.log:
            return
        common_length = _common_prefix_length(replica.log, primary.log)
        replica.log = list(primary.log)
        replica.applied = min(replica.applied, common_length)
        received_length = len(replica.log)

        def apply() -> None:
            replica.applied = max(
                replica.applied, min(received_length, len(replica.log))
            )

        self.schedule(replica.lag_s, apply)

    def _acknowledge(self) -> None:
        pending = []
        for primary, entry, on_replicated in self.pending_commits:
            is_replicated = any(
                _contains(other.log, entry)
                for other in self.members.values()
                if other is not primary
            )
            if is_replicated and primary.is_primary and primary.up:
                on_replicated()
            else:
                pending.append((primary, entry, on_replicated))
        self.pending_commits = pending

    def pause(self, member: Member, term: int) -> None:
        """Pauses replication to a replica for `term`.

        Has no effect on a primary, or if `term` is not above all known terms.
        """
        highest_term = max(m.term for m in self.members.values())
        if not member.is_primary and term > max(
            highest_term, member.paused_term
        ):
            member.paused_term = term

    def step_down(self, member: Member, term: int) -> None:
        """Makes the member a replica if it is the primary of a lower term."""
        if member.is_primary and member.term < term:
            member.role = sessions.ReplicaRole.REPLICA

    def promote(
        self, name: str, delay_s: float, now: float, token: int
    ) -> bool:
        """Makes a member the primary after a delay.

        Returns:
          False if the member does not exist or is not running.
        """
        member = self.members.get(name)
        if member is None or not member.up:
            return False
        self.promotions.append((now, name, token))
        self.schedule(delay_s, lambda: self._become_primary(member))
        return True

    def _become_primary(self, member: Member) -> None:
        if member.is_primary or not member.up:
            return
        member.term = max(m.term for m in self.members.values()) + 1
        member.role = sessions.ReplicaRole.PRIMARY
        member.paused_term = 0
        member.applied = len(member.log)
        for other in self.members.values():
            if other is member:
                continue
            if self.can_reach(member.name, other.name):
                other.paused_term = 0
            self.schedule(
                STEP_DOWN_DELAY_S,
                lambda o=other: self._step_down_if_superseded(o),
            )
        self.replicate()

    def _step_down_if_superseded(self, member: Member) -> None:
        """Makes a superseded primary a replica once it can reach the new one.

        Until then, checks again every 0.2 s.
        """
        primary = self.primary()
        if primary is None or primary is member or not member.is_primary:
            return
        if not member.up or member.term >= primary.term:
            return
        if self.can_reach(member.name, primary.name):
            member.role = sessions.ReplicaRole.REPLICA
            self.replicate()
        else:
            self.schedule(0.2, lambda: self._step_down_if_superseded(member))
