"""A replica set in memory: logs, terms, pauses, promotion by a call."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from fescueshunt.core import position, sessions

if TYPE_CHECKING:
    from collections.abc import Callable

WORK_S = 0.004
SHIP_S = 0.003
SELF_DEMOTE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """One entry of a log."""

    term: int
    index: int
    tag: str


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """A member of a replica set.

    Attributes:
      lag_s: how late it applies what it received.
      applied: how many entries of its log it has applied.
    """

    name: str
    role: sessions.ReplicaRole
    term: int = 1
    held_term: int = 0
    log: list[Commit] = dataclasses.field(default_factory=list)
    applied: int = 0
    lag_s: float = 0.0
    up: bool = True

    @property
    def is_primary(self) -> bool:
        """Whether it takes itself for the primary."""
        return self.role is sessions.ReplicaRole.PRIMARY

    def received(self) -> position.Position:
        """Returns the end of its log."""
        return _position(self.log)

    def applied_position(self) -> position.Position:
        """Returns the last position that it applied."""
        return _position(self.log[: self.applied])

    def holds(self, wanted: position.Position) -> bool:
        """Tells whether it has applied the entry at `wanted`."""
        return self.applied_position() >= wanted

    def status(self) -> sessions.ReplicaStatus:
        """Returns what a status call tells."""
        return sessions.ReplicaStatus(
            self.role, self.term, self.received(), self.held_term, 0.0, 0, 1
        )


def _common(one: list[Commit], other: list[Commit]) -> int:
    """Returns how many entries two logs share from their beginning."""
    if other[: len(one)] == one:
        return len(one)
    pairs = zip(one, other, strict=False)
    return sum(1 for _ in itertools.takewhile(lambda p: p[0] == p[1], pairs))


def _has(log: list[Commit], entry: Commit) -> bool:
    """Tells whether a log holds `entry`; the index of the first one is 1."""
    return len(log) >= entry.index and log[entry.index - 1] == entry


def _position(log: list[Commit]) -> position.Position:
    if not log:
        return position.Position(position.Term(1), 0)
    return position.Position(position.Term(log[-1].term), log[-1].index)


@dataclasses.dataclass(slots=True, eq=False)
class ReplicaSet:
    """The members, and commits that wait for a replica.

    `reaches(a, b)` tells whether two members have a path; `later(delay_s,
    call)` runs a call at a later time.
    """

    members: dict[str, Member]
    reaches: Callable[[str, str], bool]
    later: Callable[[float, Callable[[], None]], None]
    promotions: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )
    waiting: list[tuple[Member, Commit, Callable[[], None]]] = (
        dataclasses.field(default_factory=list)
    )

    def primary(self) -> Member | None:
        """Returns the running primary of the highest term, or None."""
        leading = [m for m in self.members.values() if m.is_primary and m.up]
        return max(leading, key=lambda m: m.term, default=None)

    def commit(
        self, member: Member, tags: list[str], done: Callable[[], None]
    ) -> None:
        """Adds entries at a primary; `done` once a replica has them."""
        for tag in tags:
            index = member.log[-1].index + 1 if member.log else 1
            member.log.append(Commit(member.term, index, tag))
        member.applied = len(member.log)
        self.waiting.append((member, member.log[-1], done))
        self.later(SHIP_S, self.ship)

    def ship(self) -> None:
        """Sends every primary's log to the replicas that receive from it."""
        for leader in self.members.values():
            if not (leader.is_primary and leader.up):
                continue
            for other in self.members.values():
                if self._receives(other, leader):
                    self._receive(other, leader)
        self._acknowledge()

    def _receives(self, other: Member, leader: Member) -> bool:
        return (
            other is not leader
            and other.up
            and not other.is_primary
            and not other.held_term
            and other.term <= leader.term
            and self.reaches(leader.name, other.name)
        )

    def _receive(self, other: Member, leader: Member) -> None:
        other.term = leader.term
        if other.log == leader.log:
            return
        same = _common(other.log, leader.log)
        other.log = list(leader.log)
        other.applied = min(other.applied, same)
        size = len(other.log)

        def apply() -> None:
            other.applied = max(other.applied, min(size, len(other.log)))

        self.later(other.lag_s, apply)

    def _acknowledge(self) -> None:
        still = []
        for leader, entry, done in self.waiting:
            held = any(
                _has(other.log, entry)
                for other in self.members.values()
                if other is not leader
            )
            if held and leader.is_primary and leader.up:
                done()
            else:
                still.append((leader, entry, done))
        self.waiting = still

    def pause(self, member: Member, term: int) -> None:
        """Stops a replica from receiving, for a term above every known one."""
        newest = max(m.term for m in self.members.values())
        if not member.is_primary and term > max(newest, member.held_term):
            member.held_term = term

    def step_down(self, member: Member, term: int) -> None:
        """Makes a primary of a lower term a replica."""
        if member.is_primary and member.term < term:
            member.role = sessions.ReplicaRole.REPLICA

    def promote(
        self, name: str, after_s: float, now: float, token: int
    ) -> bool:
        """Lets a member lead after a while; False if it is not running."""
        member = self.members.get(name)
        if member is None or not member.up:
            return False
        self.promotions.append((now, name, token))
        self.later(after_s, lambda: self._lead(member))
        return True

    def _lead(self, member: Member) -> None:
        if member.is_primary or not member.up:
            return
        member.term = max(m.term for m in self.members.values()) + 1
        member.role = sessions.ReplicaRole.PRIMARY
        member.held_term = 0
        member.applied = len(member.log)
        for other in self.members.values():
            if other is member:
                continue
            if self.reaches(member.name, other.name):
                other.held_term = 0
            self.later(SELF_DEMOTE_S, lambda o=other: self._notice(o))
        self.ship()

    def _notice(self, member: Member) -> None:
        """An old primary steps down a while after it reaches the new one."""
        leader = self.primary()
        if leader is None or leader is member or not member.is_primary:
            return
        if not member.up or member.term >= leader.term:
            return
        if self.reaches(member.name, leader.name):
            member.role = sessions.ReplicaRole.REPLICA
            self.ship()
        else:
            self.later(0.2, lambda: self._notice(member))
