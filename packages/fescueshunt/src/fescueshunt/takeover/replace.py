"""Replaces primaries while this host holds the failover duty.

Every step is a small state of one `Attempt` for each database. What an earlier
holder left behind is found at the upstreams and in the record: a replica that
is still paused is resumed, a primary of an older term steps down, a move that
nobody drives is begun again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    leadership,
    replica_sets,
    session_items,
    store_items,
)
from fescueshunt.takeover import attempt, cause, items, participants, repair

if TYPE_CHECKING:
    from collections.abc import Iterator

RETRY_AFTER_S = 0.5
# Failing to move a primary that leaves, or that only stalls, is no hurry.
RETRY_LEAVING_S = 1.5
# An earlier holder may still have a call under way for so long.
SETTLE_S = 1.5


class Replace(filters.Filter):
    """Starts attempts where there is a cause, and drives them on."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._duty = items.DutyView(0.0, 0, 0.0, 0.0)
        self._participants = participants.Participants()
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._records: dict[str, leadership.Record] = {}
        self._findings: dict[str, items.FindingsView] = {}
        self._observers: dict[str, cause.Observer] = {}
        self._attempts: dict[str, attempt.Attempt] = {}
        self._after: dict[str, float] = {}
        self._repair = repair.Repair()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the calls of attempts under way."""
        match item:
            case (
                items.DutyView()
                | items.FindingsView()
                | store_items.LeaseView()
            ):
                self._note(item)
            case store_items.KeysListed():
                self._participants.list(item)
                for key, stored in item.keys.items():
                    self._note_record(key, stored)
            case store_items.KeyChanged():
                self._participants.change(item)
                if item.stored is not None:
                    self._note_record(item.key, item.stored)
                yield from self._drive_all(item)
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                yield from self._drive(item.database, item)
            case session_items.UpstreamCallCompleted():
                self._repair.hear(item)
                yield from self._drive_all(item)
            case store_items.PromotionCompleted():
                yield from self._drive(item.database, item)
            case store_items.KeyRead() | store_items.KeyWritten():
                yield from self._drive_all(item)
            case filters.Tick():
                yield from self._tick(item)
            case _:
                yield item

    def _note(self, item: filters.Item) -> None:
        match item:
            case items.DutyView():
                self._duty = item
            case items.FindingsView():
                self._findings[item.database] = item
            case store_items.LeaseView():
                self._participants.ttl_s = item.ttl_s

    def _note_record(self, key: str, stored: store_items.StoredKey) -> None:
        found = leadership.parse_database_record(key, stored)
        if found is not None:
            database, record = found
            self._records[database] = record

    def _tick(self, item: filters.Tick) -> Iterator[filters.Item]:
        if not self._duty.is_held(item.at):
            for database in list(self._attempts):
                yield from self._end(database, "duty lost", item.at)
            return
        for database, view in list(self._views.items()):
            if database in self._attempts:
                yield from self._drive(database, item)
            else:
                yield from self._consider(view, item.at)
        if item.at - self._duty.held_since > SETTLE_S:
            busy = self._attempts.keys()
            yield from self._repair.tick(self._views, busy, item.at)

    def _consider(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        database = view.database
        observer = self._observers.setdefault(database, cause.Observer())
        found = observer.find(view, self._findings.get(database), now)
        settled = now - self._duty.held_since > SETTLE_S
        if found is None or now < self._after.get(database, 0.0):
            return
        if view.is_moving and not settled:
            return
        record = self._records.get(database)
        begun = attempt.Attempt(self._me, view, record, found, now)
        self._attempts[database] = begun
        details = {
            "database": database,
            "cause": found.value,
            "primary": begun.old_primary,
            "term": view.term,
            "token": self._duty.token,
        }
        yield session_items.LogDecision(now, "replacing", "", details)
        yield from self._follow(database, begun.begin(now), now)

    def _drive_all(self, item: filters.Item) -> Iterator[filters.Item]:
        for database in list(self._attempts):
            yield from self._drive(database, item)

    def _drive(
        self, database: str, item: filters.Item
    ) -> Iterator[filters.Item]:
        current = self._attempts.get(database)
        if current is None:
            return
        if not self._duty.is_held(item.at):
            yield from self._end(database, "duty lost", item.at)
            return
        effects = current.handle(item, self._duty, self._participants)
        yield from self._follow(database, effects, item.at)

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
        retry_s = RETRY_AFTER_S
        if ended.cause is cause.Cause.LEAVING:
            retry_s = RETRY_LEAVING_S
        self._after[database] = now + retry_s
        details = {
            "database": database,
            "outcome": outcome,
            "upstream": ended.target,
            "took_s": round(now - ended.begun_at, 3),
        }
        yield session_items.LogDecision(now, "replacing_ended", "", details)
