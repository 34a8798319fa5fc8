"""Replaces primaries while this host holds the failover duty.

Every step is a small state of one `Attempt` for each database. What an earlier
holder left behind is found at the upstreams: a replica that is still paused is
resumed, a primary of an older term steps down.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, replica_sets, session_items, sessions
from fescueshunt.takeover import attempt, cause, items

if TYPE_CHECKING:
    from collections.abc import Iterator

RETRY_AFTER_S = 0.5
# An earlier holder may still have a call under way for so long.
SETTLE_S = 3.0
TIDY_EVERY_S = 0.5
CALL_TIMEOUT_S = 0.6


class Replace(filters.Filter):
    """Starts attempts where there is a cause, and drives them on."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._duty = items.DutyView(0.0, 0, 0.0, 0.0)
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._findings: dict[str, items.FindingsView] = {}
        self._observers: dict[str, cause.Observer] = {}
        self._attempts: dict[str, attempt.Attempt] = {}
        self._after: dict[str, float] = {}
        self._tidy_at = 0.0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the calls of attempts under way."""
        match item:
            case items.DutyView():
                self._duty = item
            case items.FindingsView():
                self._findings[item.database] = item
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                yield from self._drive(item.database, item, item.at)
            case session_items.UpstreamAnswered():
                for database in list(self._attempts):
                    yield from self._drive(database, item, item.at)
            case session_items.PromotionAnswered():
                yield from self._drive(item.database, item, item.at)
            case session_items.KeyRead():
                for database in list(self._attempts):
                    yield from self._drive(database, item, item.at)
            case filters.Tick():
                yield from self._tick(item)
            case _:
                yield item

    def _tick(self, item: filters.Tick) -> Iterator[filters.Item]:
        if not self._duty.is_held(item.at):
            for database in list(self._attempts):
                yield from self._end(database, "duty lost", item.at)
            return
        for database, view in self._views.items():
            if database in self._attempts:
                yield from self._drive(database, item, item.at)
            else:
                yield from self._consider(view, item.at)
        if item.at >= self._tidy_at:
            self._tidy_at = item.at + TIDY_EVERY_S
            yield from self._tidy(item.at)

    def _consider(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        database = view.database
        observer = self._observers.setdefault(database, cause.Observer())
        found = observer.find(view, self._findings.get(database), now)
        if found is None or now < self._after.get(database, 0.0):
            return
        begun = attempt.Attempt(self._me, view, found, now)
        self._attempts[database] = begun
        details = {
            "database": database,
            "cause": found.value,
            "primary": view.primary,
            "term": view.term,
            "token": self._duty.token,
        }
        yield session_items.Decided(now, "replacing", "", details)
        yield from self._follow(database, begun.begin(now), now)

    def _drive(
        self, database: str, item: filters.Item, now: float
    ) -> Iterator[filters.Item]:
        current = self._attempts.get(database)
        if current is None:
            return
        if not self._duty.is_held(now):
            yield from self._end(database, "duty lost", now)
            return
        view = self._views[database]
        effects = current.handle(item, view, self._duty)
        yield from self._follow(database, effects, now)

    def _follow(
        self, database: str, effects: Iterator[filters.Item], now: float
    ) -> Iterator[filters.Item]:
        yield from effects
        current = self._attempts.get(database)
        if current is not None and current.outcome:
            yield from self._end(database, current.outcome, now)

    def _end(
        self, database: str, outcome: str, now: float
    ) -> Iterator[filters.Item]:
        ended = self._attempts.pop(database)
        self._after[database] = now + RETRY_AFTER_S
        details = {
            "database": database,
            "outcome": outcome,
            "upstream": ended.target,
            "took_s": round(now - ended.begun_at, 3),
        }
        yield session_items.Decided(now, "replacing_ended", "", details)

    def _tidy(self, now: float) -> Iterator[filters.Item]:
        """Undoes what an attempt left behind, ours or an earlier holder's."""
        if now - self._duty.held_since < SETTLE_S:
            return
        for database, view in self._views.items():
            if database in self._attempts or not view.primary:
                continue
            for member in view.members:
                call = _tidying(member, view)
                if call is not None:
                    yield session_items.AskUpstream(
                        now, member.upstream, call, now + CALL_TIMEOUT_S
                    )


def _tidying(
    member: replica_sets.MemberView, view: replica_sets.ReplicaSetView
) -> sessions.UpstreamCall | None:
    standing = member.standing
    if standing is None or member.upstream == view.primary:
        return None
    if (
        standing.role is sessions.ReplicaRole.PRIMARY
        and standing.term < view.term
    ):
        return sessions.StepDown(view.term)
    if standing.held_term:
        return sessions.Resume()
    return None
