"""Views: what one pipe publishes and the others read."""

from __future__ import annotations

import dataclasses
import enum
import functools

from fescueshunt.core import document, filters, position, upstream

MAJORITY_SUPPORT_TTL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsView(filters.Item):
    """The settings in force in this process."""

    document: document.Document


class MemberState(enum.StrEnum):
    """What the fleet knows of a proxy."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One proxy of the fleet.

    `incarnation` is higher for a newer start on the same name or address.
    """

    name: str
    zone: str
    address: str
    incarnation: int
    state: MemberState = MemberState.LIVE


@dataclasses.dataclass(frozen=True)
class FleetView(filters.Item):
    """The proxies that this process knows, itself among them.

    `partitioned_zones` are zones whose proxies all went silent at once.
    """

    members: tuple[Member, ...]
    partitioned_zones: frozenset[str] = frozenset()

    def find(self, name: str) -> Member | None:
        """Returns the member called `name`."""
        return self._by_name.get(name)

    @functools.cached_property
    def by_zone(self) -> dict[str, tuple[Member, ...]]:
        """The members of each zone."""
        found: dict[str, list[Member]] = {}
        for member in self.members:
            found.setdefault(member.zone, []).append(member)
        return {zone: tuple(members) for zone, members in found.items()}

    @functools.cached_property
    def _by_name(self) -> dict[str, Member]:
        return {member.name: member for member in self.members}


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamState:
    """What is known of one upstream of a database.

    Attributes:
      sent_at: when the newest answered status call was sent; seconds, local
        clock. The status held at some time after it.
      failed_at: since when calls fail, None while they succeed.
    """

    name: str
    status: upstream.Status | None = None
    sent_at: float = 0.0
    failed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView(filters.Item):
    """The newest view of one database's group.

    Attributes:
      term: the highest term known to serve.
      primary: the upstream that serves it, "" for none.
      confirmed_at: the time at which a majority still supported `term`; local
        clock, seconds.
      states: one for each upstream of the database.
      samples: (time, index) of the primary in `term`, oldest first: at `time`
        the primary's log ended at `index` or before it.
      leaving: upstreams that take no new work.
    """

    database: str
    term: position.Term = position.NO_TERM
    primary: str = ""
    confirmed_at: float = 0.0
    states: tuple[UpstreamState, ...] = ()
    samples: tuple[tuple[float, int], ...] = ()
    leaving: frozenset[str] = frozenset()

    def find(self, name: str) -> UpstreamState | None:
        """Returns the state of the upstream called `name`."""
        for state in self.states:
            if state.name == name:
                return state
        return None

    def has_majority_support(self, now: float) -> bool:
        """Tells whether a majority supported the term up to a moment ago."""
        return now - self.confirmed_at <= MAJORITY_SUPPORT_TTL_S

    def is_non_divergent(self, history: position.History, now: float) -> bool:
        """Tells whether `history` is known to have no abandoned tail.

        A log that ends in an older term counts only if the term in force has
        kept its last entry; an old primary may have entries of its own. Where
        the term in force is no longer known to be supported, a majority must
        hold the last entry.
        """
        last = history.last
        if last.term > self.term or last == position.ORIGIN:
            return True
        if last.term == self.term:
            majority = len(self.states) // 2 + 1
            held = self.count_holders(last) >= majority
            return held or self.has_majority_support(now)
        return any(
            state.status is not None
            and state.status.history.last.term == self.term
            and state.status.history.holds(last)
            for state in self.states
        )

    def count_holders(self, place: position.Position) -> int:
        """Returns how many upstreams are known to hold the entry at `place`.

        The primary of the entry's term wrote it. Another upstream counts only
        while it serves that term and has promised no higher one; what it took
        over in another term may still be cut off. Source: Ongaro and
        Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014,
        figure 8.
        """
        if place.term != self.term:
            return 0
        return sum(
            state.name == self.primary or _holds(state.status, place)
            for state in self.states
        )

    def max_data_age_s(self, history: position.History, now: float) -> float:
        """Returns an upper bound on the age of data at the end of `history`.

        The data is as new as the newest sample of the primary that it holds,
        and no newer than the last time a majority supported the term.
        Infinite where nothing is known.
        """
        newest = None
        for seen_at, index in self.samples:
            if history.holds(position.Position(self.term, index)):
                newest = seen_at
        if newest is None:
            return float("inf")
        return now - min(newest, self.confirmed_at)


def _holds(status: upstream.Status | None, place: position.Position) -> bool:
    return (
        status is not None
        and status.term == place.term == status.promised
        and status.history.holds(place)
    )


class Cause(enum.StrEnum):
    """Why a primary is replaced.

    FAILING: a majority of the watchers found it failing. HALTED: an upstream
    promised a higher term that nobody serves, and it stayed so. LEAVING: it is
    leaving, and a majority of the group stays and follows it.
    """

    FAILING = "failing"
    HALTED = "halted"
    LEAVING = "leaving"


class ChoiceReason(enum.StrEnum):
    """What decided between the upstreams that promised a ballot."""

    NEWEST_LOG = "newest_log"
    STAYING = "staying"
    CURRENT_PRIMARY = "current_primary"
    NEAREST_ZONE = "nearest_zone"
    NAME = "name"


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """An upstream that promised a ballot, and the end of its log then."""

    upstream: str
    last: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Promotion(filters.Item):
    """A promotion that this proxy carried out, with all that led to it.

    Attributes:
      term: the ballot, and the new term.
      primary: the upstream that was promoted.
      previous: the primary before, "" for none, and its term.
      witnesses: the watchers whose word counted.
      suspected_at: when a majority of them agreed; local clock, seconds.
      votes: who promised the ballot before the choice.
      refused: who refused it.
      silent: who gave no answer in time.
      reason: why `primary` was chosen among the votes.
      attempts: the ballots that it took, this one counted.
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
