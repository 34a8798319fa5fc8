"""Replaces primaries while this host holds the failover duty.

There is at most one `Attempt`, a state machine, for each database. The filter
also cleans up after an earlier holder of the duty, from the status of the
members and the records in the store: it resumes replicas that are still paused,
makes primaries of an older term step down, and restarts unfinished failovers.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    leadership,
    replica_sets,
    session_items,
    store_items,
)
from fescueshunt.takeover import (
    attempt,
    cause,
    items,
    participants,
    promotion_calls,
    record_writer,
    repair,
    reports,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

RETRY_AFTER_S = 0.5
# Retrying the replacement of a leaving primary is not urgent.
LEAVING_RETRY_AFTER_S = 1.5
# An earlier holder may still have a call in flight for this long.
HANDOVER_WAIT_S = 1.5


class PrimaryReplacer(filters.Filter):
    """Starts a failover attempt when there is a cause, and advances it."""

    def __init__(self, host_name: str) -> None:
        self._host_name = host_name
        self._duty = store_items.DutyView(0.0, 0, 0.0, 0.0)
        self._participants = participants.Participants()
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._records: dict[str, leadership.Record] = {}
        self._failure_votes: dict[str, items.FailureVotesView] = {}
        self._detectors: dict[str, cause.CauseDetector] = {}
        self._attempts: dict[str, attempt.Attempt] = {}
        self._calls = promotion_calls.PromotionCalls()
        self._prune_tried_at_revision: dict[str, int] = {}
        self._retry_at: dict[str, float] = {}
        self._called_at: dict[str, float] = {}
        self._repair = repair.ReplicaRepair()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the calls of the attempts in progress."""
        match item:
            case (
                store_items.DutyView()
                | items.FailureVotesView()
                | store_items.LeaseView()
            ):
                self._store_view(item)
                yield item
            case store_items.KeysListed():
                self._participants.load(item)
                for key, stored in item.keys.items():
                    self._store_record(key, stored, item.at)
            case store_items.KeyChanged():
                self._participants.apply_change(item)
                if item.stored is not None:
                    self._store_record(item.key, item.stored, item.at)
                yield from self._advance_all(item)
            case replica_sets.ReplicaSetView():
                self._views[item.database] = item
                yield from self._advance(item.database, item)
            case session_items.UpstreamCallCompleted():
                self._repair.record_status(item)
                yield from self._advance_all(item)
            case store_items.PromotionCompleted():
                called_at = self._called_at.pop(item.database, None)
                yield reports.promotion_answered(item, called_at)
                self._calls.handle_answer(item)
                yield from self._advance(item.database, item)
            case store_items.KeyRead() | store_items.KeyWritten():
                yield from self._advance_all(item)
            case filters.Tick():
                yield from self._tick(item)
            case _:
                yield item

    def _store_view(self, item: filters.Item) -> None:
        match item:
            case store_items.DutyView():
                self._update_duty(item)
            case items.FailureVotesView():
                self._failure_votes[item.database] = item
            case store_items.LeaseView():
                self._participants.ttl_s = item.ttl_s

    def _update_duty(self, item: store_items.DutyView) -> None:
        """Takes over the calls of former holders with the duty."""
        is_new = item.token != self._duty.token
        self._duty = item
        if is_new:
            self._calls.take_duty(item.token)
            for database, record in self._records.items():
                self._load_calls(database, record, item.at)

    def _store_record(
        self, key: str, stored: store_items.StoredKey, now: float
    ) -> None:
        parsed = leadership.parse_database_record(key, stored)
        if parsed is not None:
            database, record = parsed
            known = self._records.get(database)
            if known is None or record.revision > known.revision:
                self._records[database] = record
                self._load_calls(database, record, now)

    def _load_calls(
        self, database: str, record: leadership.Record, now: float
    ) -> None:
        """Adds calls of former holders, or forgets what this one has pruned.

        Records from before this holder took the duty are those of former ones.
        """
        if record.revision < self._duty.token:
            self._calls.load(database, record.calls, now)
        elif self._duty.token and not record.is_failing_over:
            self._calls.forget_unrecorded(database, record.calls)

    def _tick(self, item: filters.Tick) -> Iterator[filters.Item]:
        if not self._duty.is_held(item.at):
            for database in list(self._attempts):
                yield from self._end_attempt(database, "duty lost", item.at)
            return
        for database, view in list(self._views.items()):
            if database in self._attempts:
                yield from self._advance(database, item)
            else:
                yield from self._start_attempt_if_needed(view, item.at)
                yield from self._prune_record(database, item.at)
        if item.at - self._duty.held_since > HANDOVER_WAIT_S:
            active_databases = self._attempts.keys()
            yield from self._repair.tick(self._views, active_databases, item.at)

    def _start_attempt_if_needed(
        self, view: replica_sets.ReplicaSetView, now: float
    ) -> Iterator[filters.Item]:
        database = view.database
        detector = self._detectors.setdefault(database, cause.CauseDetector())
        detected_cause = detector.detect(
            view, self._failure_votes.get(database), now
        )
        has_handover_ended = now - self._duty.held_since > HANDOVER_WAIT_S
        if detected_cause is None or now < self._retry_at.get(database, 0.0):
            return
        if view.is_failing_over and not has_handover_ended:
            return
        record = self._records.get(database)
        new_attempt = attempt.Attempt(
            self._host_name,
            view,
            record,
            detected_cause,
            self._calls,
            self._duty.token,
            now,
        )
        self._attempts[database] = new_attempt
        details = {
            "database": database,
            "cause": detected_cause.value,
            "primary": new_attempt.old_primary,
            "term": view.term,
            "token": self._duty.token,
            "silent": sorted(view.silent),
            "left": sorted(former.upstream for former in view.left),
            "knows_all": view.knows_all_members,
        }
        yield session_items.LogDecision(now, "replacing", "", details)
        yield from self._relay_effects(database, new_attempt.begin(now), now)

    def _prune_record(
        self, database: str, now: float
    ) -> Iterator[filters.Item]:
        """Removes expired calls, so that no later holder waits for them.

        A write that fails is not repeated.
        """
        record = self._records.get(database)
        if record is None or record.is_failing_over or not record.calls:
            return
        is_open = self._calls.open_targets(database, now)
        is_pruned = (
            self._prune_tried_at_revision.get(database) == record.revision
        )
        if is_open or is_pruned or database in self._attempts:
            return
        self._prune_tried_at_revision[database] = record.revision
        writer = record_writer.RecordWriter(database, record, self._duty.token)
        yield writer.write(dataclasses.replace(record, calls=()), now)

    def _advance_all(self, item: filters.Item) -> Iterator[filters.Item]:
        for database in list(self._attempts):
            yield from self._advance(database, item)

    def _advance(
        self, database: str, item: filters.Item
    ) -> Iterator[filters.Item]:
        current = self._attempts.get(database)
        if current is None:
            return
        if not self._duty.is_held(item.at):
            yield from self._end_attempt(database, "duty lost", item.at)
            return
        effects = current.handle(item, self._duty, self._participants)
        yield from self._relay_effects(database, effects, item.at)

    def _relay_effects(
        self, database: str, effects: Iterator[filters.Item], now: float
    ) -> Iterator[filters.Item]:
        for effect in effects:
            yield effect
            if isinstance(effect, store_items.CallPromotion):
                self._called_at[database] = now
                yield reports.promotion_called(effect)
        current = self._attempts.get(database)
        if current is not None and current.outcome:
            yield from self._end_attempt(database, current.outcome, now)

    def _end_attempt(
        self, database: str, outcome: str, now: float
    ) -> Iterator[filters.Item]:
        ended = self._attempts.pop(database)
        retry_s = RETRY_AFTER_S
        if ended.cause is cause.Cause.LEAVING:
            retry_s = LEAVING_RETRY_AFTER_S
        self._retry_at[database] = now + retry_s
        details = {
            "database": database,
            "outcome": outcome,
            "upstream": ended.target,
            "took_s": round(now - ended.started_at, 3),
        }
        yield session_items.LogDecision(now, "replacing_ended", "", details)
