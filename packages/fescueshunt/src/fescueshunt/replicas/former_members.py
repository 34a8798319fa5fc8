"""Keeps the former members of replica sets that may have acknowledged commits.

A commit is acknowledged once the primary and one replica have it. A replica
that is lost may be that one, so it is kept until another is known to hold all
that it can have acknowledged. That its entry is removed, or that another
upstream has its address, shows at most that it does not run any more.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import replica_sets

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


@dataclasses.dataclass(slots=True)
class FormerState:
    """What is known of a former member.

    Attributes:
      entry: its last known entry.
      member: the former member as others see it.
    """

    entry: replica_sets.UpstreamEntry
    member: replica_sets.FormerMember

    def end(self, now: float) -> None:
        """Records that it does not run any more."""
        gone_at = self.member.gone_at
        self.member = dataclasses.replace(
            self.member,
            may_run=False,
            gone_at=now if gone_at is None else gone_at,
        )


class FormerMembers:
    """The former members of all replica sets."""

    def __init__(self) -> None:
        self._states: dict[replica_sets.Incarnation, FormerState] = {}
        self._recorded: dict[str, frozenset[replica_sets.Incarnation]] = {}
        self._covered: set[replica_sets.Incarnation] = set()

    def add(
        self,
        entry: replica_sets.UpstreamEntry,
        unlisted_at: float,
        gone_at: float | None,
    ) -> None:
        """Adds a member that does not answer, and may run still or again.

        Args:
          entry: its last known entry.
          unlisted_at: when the entry was removed, in seconds.
          gone_at: when it was found not to run, or None.
        """
        member = replica_sets.FormerMember(
            entry.upstream,
            entry.started_ms,
            entry.address,
            True,
            unlisted_at,
            gone_at,
        )
        self._states[entry.incarnation] = FormerState(entry, member)

    def end(self, incarnation: replica_sets.Incarnation, now: float) -> None:
        """Records that a former member does not run any more."""
        self._states[incarnation].end(now)

    def end_restarted(
        self, entry: replica_sets.UpstreamEntry, now: float
    ) -> None:
        """Ends the earlier processes of an upstream that has started again."""
        self._end_where(
            lambda s: (
                s.entry.upstream == entry.upstream
                and s.entry.started_ms != entry.started_ms
            ),
            now,
        )

    def restore(self, incarnation: replica_sets.Incarnation) -> None:
        """Removes a former member that is a member again."""
        self._states.pop(incarnation, None)
        self._covered.discard(incarnation)

    def knows(self, incarnation: replica_sets.Incarnation) -> bool:
        """Returns whether a process is a former member, or was covered."""
        return incarnation in self._states or incarnation in self._covered

    def end_replaced(self, address: str, now: float) -> list[str]:
        """Ends the members whose address another upstream now has.

        Returns:
          The databases of these members.
        """
        return self._end_where(lambda s: s.entry.address == address, now)

    def end_silent(self, now: float) -> list[str]:
        """Ends the members that have not answered for long.

        Returns:
          The databases of these members.
        """
        ttl_s = replica_sets.FORMER_MEMBER_TTL_S
        return self._end_where(
            lambda s: now - s.member.unlisted_at > ttl_s, now
        )

    def remove_covered(
        self, covered: Iterable[replica_sets.FormerMember]
    ) -> bool:
        """Removes members that are still as they were when they were covered.

        Returns:
          Whether any was removed.
        """
        current = [
            member.incarnation
            for member in covered
            if member.incarnation in self._states
            and self._states[member.incarnation].member == member
        ]
        for incarnation in current:
            del self._states[incarnation]
        self._covered.update(current)
        return bool(current)

    def apply_record(
        self, database: str, recorded: frozenset[replica_sets.Incarnation]
    ) -> frozenset[replica_sets.Incarnation]:
        """Removes the members that the holder of the duty found covered.

        Returns:
          The processes that were recorded before, and are not any more.
        """
        before = self._recorded.get(database, frozenset())
        self._recorded[database] = recorded
        removed = before - recorded
        for incarnation in removed:
            self._states.pop(incarnation, None)
        self._covered -= removed
        return removed

    def of(self, database: str) -> tuple[replica_sets.FormerMember, ...]:
        """Returns the former members of a replica set."""
        return tuple(
            state.member
            for state in self._states.values()
            if state.entry.database == database
        )

    def _end_where(
        self, is_ended: Callable[[FormerState], bool], now: float
    ) -> list[str]:
        ended = [
            state
            for state in self._states.values()
            if state.member.may_run and is_ended(state)
        ]
        for state in ended:
            state.end(now)
        return [state.entry.database for state in ended]
