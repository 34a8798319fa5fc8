"""Views: immutable snapshots that one pipe publishes for the others."""

from __future__ import annotations

import dataclasses
import enum
import functools

from fescueshunt.core import (
    document,
    filters,
    identity,
    position,
    upstream,
)

MAJORITY_SUPPORT_TTL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsView(filters.Item):
    """The settings in force in this process."""

    document: document.Document


class MemberState(enum.StrEnum):
    """The state of a proxy in the fleet's membership table."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A proxy of the fleet.

    Attributes:
      name: the name of the proxy.
      zone: its availability zone.
      address: the address on which it listens.
      incarnation: a number that is higher for a later start under the same
        name or address.
      state: its state, as the fleet knows it.
    """

    name: str
    zone: str
    address: str
    incarnation: int
    state: MemberState = MemberState.LIVE

    @classmethod
    def from_identity(cls, proxy: identity.Identity) -> Member:
        """Returns a proxy as a live member of the fleet."""
        return cls(proxy.name, proxy.zone, proxy.address, proxy.incarnation)


@dataclasses.dataclass(frozen=True)
class FleetView(filters.Item):
    """The proxies that this process knows, including itself.

    Attributes:
      members: the known proxies.
      partitioned_zones: the zones whose proxies all became silent at once
        while the platform still lists them, which indicates a network
        partition.
    """

    members: tuple[Member, ...]
    partitioned_zones: frozenset[str] = frozenset()

    def find(self, name: str) -> Member | None:
        """Returns the member called `name`, or None if there is none."""
        return self._by_name.get(name)

    @functools.cached_property
    def by_zone(self) -> dict[str, tuple[Member, ...]]:
        """The members, grouped by zone."""
        grouped: dict[str, list[Member]] = {}
        for member in self.members:
            grouped.setdefault(member.zone, []).append(member)
        return {zone: tuple(members) for zone, members in grouped.items()}

    @functools.cached_property
    def _by_name(self) -> dict[str, Member]:
        return {member.name: member for member in self.members}


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamState:
    """The known state of one upstream of a database.

    Attributes:
      name: the name of the upstream.
      status: the newest status, None if none has been received.
      sent_at: when the call that returned `status` was sent; seconds, local
        clock. The status was valid at some time after that.
      failed_at: since when calls to the upstream have failed; seconds, local
        clock. None while calls succeed.
    """

    name: str
    status: upstream.Status | None = None
    sent_at: float = 0.0
    failed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView(filters.Item):
    """The newest view of one database's group.

    Attributes:
      database: the name of the database.
      term: the highest term known to be served.
      primary: the name of the primary of `term`, "" if unknown.
      confirmed_at: the last time at which a majority is known to have
        supported `term`; seconds, local clock.
      states: one state for each upstream of the database.
      samples: pairs (time, index) from the primary of `term`, oldest first. At
        that time, the primary's log ended at or before that index.
      leaving: the names of the upstreams that take no new work.
    """

    database: str
    term: position.Term = position.NO_TERM
    primary: str = ""
    confirmed_at: float = 0.0
    states: tuple[UpstreamState, ...] = ()
    samples: tuple[tuple[float, int], ...] = ()
    leaving: frozenset[str] = frozenset()

    def find(self, name: str) -> UpstreamState | None:
        """Returns the state of the upstream `name`, or None if not found."""
        for state in self.states:
            if state.name == name:
                return state
        return None

    def has_majority_support(self, now: float) -> bool:
        """Returns whether a majority has recently confirmed the term.

        The confirmation is valid for MAJORITY_SUPPORT_TTL_S.
        """
        return now - self.confirmed_at <= MAJORITY_SUPPORT_TTL_S

    def is_non_divergent(self, history: position.History, now: float) -> bool:
        """Returns whether `history` is known to have no divergent tail.

        A log that ends in the view's term has none if a majority holds its last
        entry or has recently confirmed the term. A log that ends in an older
        term has none only if an upstream with a log of the view's term holds
        its last entry; the primary of an older term may have entries that no
        other upstream has.
        """
        last = history.last
        if last.term > self.term or last == position.ORIGIN:
            return True
        if last.term == self.term:
            majority = len(self.states) // 2 + 1
            is_committed = self.count_holders(last) >= majority
            return is_committed or self.has_majority_support(now)
        return any(
            state.status is not None
            and state.status.history.last.term == self.term
            and state.status.history.holds(last)
            for state in self.states
        )

    def count_holders(self, entry: position.Position) -> int:
        """Returns how many upstreams are known to hold the entry at `entry`.

        The primary of the entry's term counts because it wrote the entry.
        Another upstream counts only while it serves that term and has promised
        no higher one; an entry that it replicated in another term may still be
        truncated. Source: Ongaro and Ousterhout, "In Search of an
        Understandable Consensus Algorithm", 2014, figure 8.
        """
        if entry.term != self.term:
            return 0
        return sum(
            state.name == self.primary or _holds_entry(state.status, entry)
            for state in self.states
        )

    def max_data_age_s(self, history: position.History, now: float) -> float:
        """Returns an upper bound on the age of data at the end of `history`.

        The data is at least as recent as the newest sample of the primary that
        `history` contains, but a sample after the last time at which a majority
        supported the term counts only as that time.

        Args:
          history: the history of the log that the data comes from.
          now: the current time; seconds, local clock.

        Returns:
          The bound in seconds; infinity if `history` contains no sample.
        """
        newest = None
        for sampled_at, index in self.samples:
            if history.holds(position.Position(self.term, index)):
                newest = sampled_at
        if newest is None:
            return float("inf")
        return now - min(newest, self.confirmed_at)


def _holds_entry(
    status: upstream.Status | None, entry: position.Position
) -> bool:
    return (
        status is not None
        and status.term == entry.term == status.promised
        and status.history.holds(entry)
    )


class Cause(enum.StrEnum):
    """The reason for replacing a primary.

    FAILING: a majority of the watchers reported the primary as failing. HALTED:
    an upstream has promised a higher term and, for some time, no upstream has
    served that term. LEAVING: the primary is leaving, and a majority of the
    group stays and follows it.
    """

    FAILING = "failing"
    HALTED = "halted"
    LEAVING = "leaving"


class ChoiceReason(enum.StrEnum):
    """The criterion that selected the new primary from the votes."""

    NEWEST_LOG = "newest_log"
    STAYING = "staying"
    CURRENT_PRIMARY = "current_primary"
    NEAREST_ZONE = "nearest_zone"
    NAME = "name"


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """An upstream's promise of a ballot.

    Attributes:
      upstream: the name of the upstream.
      last: the position of its last log entry when it gave the promise.
    """

    upstream: str
    last: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion(filters.Item):
    """A promotion that this proxy carried out, with the steps leading to it.

    Attributes:
      database: the name of the database.
      term: the ballot, which became the new term.
      primary: the name of the upstream that was promoted.
      previous: the name of the previous primary, "" if none was known.
      previous_term: the term of the previous primary.
      cause: the reason for replacing the previous primary.
      witnesses: the names of the watchers that agreed on `cause`.
      suspected_at: when a majority of the watchers agreed; seconds, local
        clock.
      votes: the promises received before the new primary was chosen.
      refused: the names of the upstreams that refused the ballot.
      silent: the names of the upstreams that did not answer in time.
      reason: the criterion that selected `primary` from `votes`.
      attempts: the number of ballots needed, including this one.
    """

    database: str
    term: position.Term
    primary: str
    previous: str
    previous_term: position.Term
    cause: Cause
    witnesses: tuple[str, ...]
    suspected_at: float
    votes: tuple[Vote, ...]
    refused: tuple[str, ...]
    silent: tuple[str, ...]
    reason: ChoiceReason
    attempts: int
