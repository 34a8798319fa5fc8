"""One failover attempt: announce, fence, promote, and record the new primary.

The attempt first writes to the store that the primary is being replaced. Every
host that sees this stops using the old primary and acknowledges; a host that
does not loses its lease. The members are fenced, so that the old term has no
further commits. Then the newest one is promoted.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    leadership,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.takeover import (
    acknowledgements,
    fence,
    promotion_check,
    reports,
)
from fescueshunt.takeover import cause as causes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.takeover import items, participants

FENCE_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.3
RECORD_WRITE_TIMEOUT_S = 1.5
CLOCK_MARGIN_S = 0.05
ACKNOWLEDGE_TIMEOUT_S = 6.0
NEW_PRIMARY_TIMEOUT_S = 3.0
PROMOTE_TIMEOUT_S = 12.0
STATUS_POLL_INTERVAL_S = 0.1
# A member that confirms nothing in this many check rounds counts as unfenced.
MAX_CHECK_ROUNDS = 3


class Step(enum.Enum):
    """The steps of a failover attempt, in order."""

    ANNOUNCING = "announcing"
    FENCING = "fencing"
    WAITING = "waiting"
    CHECKING = "checking"
    PROMOTING = "promoting"
    FOLLOWING = "following"
    RECORDING = "recording"


class Attempt:
    """A failover attempt for one database, as a state machine.

    Attributes:
      outcome: The result, "" while the attempt is in progress.
      target: The upstream to promote, "" until it is chosen.
      started_at: When the attempt started, in seconds on this host's clock.
      cause: Why the primary is replaced.
      old_primary: The primary before the attempt, "" if unknown.
    """

    def __init__(
        self,
        host_name: str,
        view: replica_sets.ReplicaSetView,
        record: leadership.Record | None,
        cause: causes.Cause,
        now: float,
    ) -> None:
        self.outcome = ""
        self.target = ""
        self.started_at = now
        self.cause = cause
        self.old_primary = record.upstream if record else view.primary
        self._host_name = host_name
        self._database = view.database
        self._members = {m.upstream: m.entry for m in view.members}
        self._old_term = view.term
        self._fence = fence.fence_for(view, self.old_primary, now)
        self._record_revision = record.revision if record else 0
        self._new_term = 0
        self._fenced_at = 0.0
        self._pending_outcome: str = ""
        self._acknowledgements = acknowledgements.Acknowledgements(
            view.database
        )
        self._check: promotion_check.PromotionCheck | None = None
        self._check_rounds = 0
        self._step = Step.ANNOUNCING
        self._step_started_at = now
        self._next_retry_at = now

    def begin(self, now: float) -> Iterator[filters.Item]:
        """Yields the store write that announces the primary change."""
        yield self._write_record(leadership.Phase.MOVING, self.old_primary, now)

    def handle(
        self,
        item: filters.Item,
        duty: items.DutyView,
        hosts: participants.Participants,
    ) -> Iterator[filters.Item]:
        """Advances the attempt on a reply or a tick; yields the next calls."""
        match item:
            case store_items.KeyWritten():
                yield from self._handle_record_write(item)
            case session_items.UpstreamCallCompleted():
                yield from self._handle_upstream_reply(item, duty)
            case store_items.KeyRead():
                yield from self._handle_duty_read(item, duty)
            case store_items.PromotionCompleted():
                yield from self._handle_promotion_result(item)
            case filters.Tick():
                yield from self._tick(item.at, hosts)

    def _write_record(
        self, phase: leadership.Phase, upstream: str, now: float
    ) -> filters.Item:
        term = max(self._new_term, self._old_term)
        record = leadership.Record(phase, upstream, term)
        return store_items.WriteKey(
            now,
            leadership.record_key(self._database),
            leadership.format_record(record),
            0,
            self._record_revision,
        )

    def _handle_record_write(
        self, item: store_items.KeyWritten
    ) -> Iterator[filters.Item]:
        if item.key != leadership.record_key(self._database):
            return
        if item.done is not True:
            error = "record not written" if item.done is None else "overtaken"
            self.outcome = self._pending_outcome or error
            return
        self._record_revision = item.revision
        match self._step:
            case Step.ANNOUNCING:
                self._acknowledgements.announced_revision = item.revision
                self._enter_step(Step.FENCING, item.at)
                yield from self._send_fence_calls(item.at)
            case Step.RECORDING:
                self.outcome = self._pending_outcome

    # Fencing.

    def _send_fence_calls(self, now: float) -> Iterator[filters.Item]:
        self._next_retry_at = now + RETRY_INTERVAL_S
        yield from self._fence.pending_calls(now)

    def _handle_upstream_reply(
        self, item: session_items.UpstreamCallCompleted, duty: items.DutyView
    ) -> Iterator[filters.Item]:
        if item.upstream not in self._members or item.reply is None:
            return
        status = item.reply.status
        if status is None:
            return
        if self._step is Step.FOLLOWING:
            yield from self._check_for_new_primary(
                item.upstream, status, item.at
            )
        elif self._step is Step.CHECKING:
            yield from self._handle_status_check(item, status, duty)
        elif self._is_fence_reply(item):
            yield from self._handle_fence_reply(item.upstream, status, item.at)

    def _is_fence_reply(
        self, item: session_items.UpstreamCallCompleted
    ) -> bool:
        is_fencing = self._step in (Step.FENCING, Step.WAITING)
        return is_fencing and item.call == self._fence.call_to_fence(
            item.upstream
        )

    def _handle_fence_reply(
        self, upstream: str, status: sessions.ReplicaStatus, now: float
    ) -> Iterator[filters.Item]:
        match self._fence.record_reply(upstream, status):
            case fence.FenceResult.LEADS:
                self.target = upstream
                yield from self._record_new_primary(upstream, status.term, now)
            case fence.FenceResult.HIGHER_TERM if self._fence.raise_term(
                status
            ):
                self._enter_step(Step.FENCING, now)
                yield from self._send_fence_calls(now)
            case fence.FenceResult.HIGHER_TERM:
                yield from self._abort("terms keep rising", now)
            case fence.FenceResult.FENCED if self._step is Step.FENCING:
                if self._fence.is_complete():
                    yield from self._wait_for_hosts(now)

    def _wait_for_hosts(self, now: float) -> Iterator[filters.Item]:
        """Begins to wait until no host relies on the old primary."""
        self._fenced_at = now
        self._enter_step(Step.WAITING, now)
        yield reports.fence_completed(
            self._database,
            self._fence.term,
            self._fence.final_positions,
            now,
        )

    # Waiting, checks and promotion.

    def _tick(
        self, now: float, hosts: participants.Participants
    ) -> Iterator[filters.Item]:
        elapsed_s = now - self._step_started_at
        match self._step:
            case Step.ANNOUNCING | Step.RECORDING:
                if elapsed_s > RECORD_WRITE_TIMEOUT_S:
                    self.outcome = self._pending_outcome or "record not written"
            case Step.FENCING:
                yield from self._tick_fencing(now, elapsed_s)
            case Step.WAITING:
                yield from self._tick_waiting(now, elapsed_s, hosts)
            case Step.CHECKING | Step.PROMOTING:
                yield from self._tick_promoting(now)
            case Step.FOLLOWING:
                yield from self._tick_following(now, elapsed_s)

    def _tick_fencing(
        self, now: float, elapsed_s: float
    ) -> Iterator[filters.Item]:
        if elapsed_s <= FENCE_TIMEOUT_S:
            if now >= self._next_retry_at:
                yield from self._send_fence_calls(now)
        elif self._fence.old_primary_stepped_down:
            # The old primary by itself has every commit and accepts no more.
            self._fence.keep_old_primary_only()
            yield from self._wait_for_hosts(now)
        else:
            yield from self._abort("no fence", now)

    def _tick_waiting(
        self, now: float, elapsed_s: float, hosts: participants.Participants
    ) -> Iterator[filters.Item]:
        yield from self._acknowledgements.revoke_late(elapsed_s, hosts, now)
        if elapsed_s > ACKNOWLEDGE_TIMEOUT_S:
            yield from self._abort("hosts did not acknowledge", now)
            return
        fenced_for_s = now - self._fenced_at
        confirmation_wait_s = replica_sets.CONFIRMATION_TTL_S + CLOCK_MARGIN_S
        if (
            self._acknowledgements.are_complete(hosts, now)
            and fenced_for_s > confirmation_wait_s
        ):
            yield from self._start_check(now)

    def _start_check(self, now: float) -> Iterator[filters.Item]:
        """Checks that this host still holds the duty and each fence holds."""
        if self._check_rounds >= MAX_CHECK_ROUNDS:
            yield from self._refence_unconfirmed(now)
            return
        is_leaving = self.cause is causes.Cause.LEAVING
        if is_leaving and self._fence.is_candidate_draining():
            # One leaving primary would replace another.
            yield from self._abort("no staying replica is up to date", now)
            return
        self._check_rounds += 1
        self._enter_step(Step.CHECKING, now)
        self._next_retry_at = now + RETRY_INTERVAL_S
        self._check = promotion_check.PromotionCheck(
            self._fence.term, self.old_primary, now
        )
        yield from self._check.begin(self._fence.final_positions)

    def _refence_unconfirmed(self, now: float) -> Iterator[filters.Item]:
        """Fences the members again that did not confirm their fence."""
        self._check_rounds = 0
        self._fence.final_positions = dict(self._check.confirmed)
        self._enter_step(Step.FENCING, now)
        yield from self._send_fence_calls(now)

    def _handle_duty_read(
        self, item: store_items.KeyRead, duty: items.DutyView
    ) -> Iterator[filters.Item]:
        if self._step is not Step.CHECKING:
            return
        if not self._check.record_duty(item, duty):
            self.outcome = "duty lost"
            return
        yield from self._promote_if_confirmed(duty, item.at)

    def _handle_status_check(
        self,
        item: session_items.UpstreamCallCompleted,
        status: sessions.ReplicaStatus,
        duty: items.DutyView,
    ) -> Iterator[filters.Item]:
        if self._fence.leads(item.upstream, status):
            self.target = item.upstream
            yield from self._record_new_primary(
                item.upstream, status.term, item.at
            )
            return
        match self._check.record_status(item):
            case promotion_check.FenceStatus.HOLDS:
                self._fence.final_positions[item.upstream] = status.received
                yield from self._promote_if_confirmed(duty, item.at)
            case promotion_check.FenceStatus.LOST:
                self._fence.final_positions.pop(item.upstream, None)
                self._enter_step(Step.FENCING, item.at)
                yield from self._send_fence_calls(item.at)
            case promotion_check.FenceStatus.OVERTAKEN if self.target:
                # An earlier promotion call got no answer but did succeed.
                self._enter_step(Step.FOLLOWING, item.at)
                self._next_retry_at = item.at
            case promotion_check.FenceStatus.OVERTAKEN:
                self.outcome = "overtaken"

    def _promote_if_confirmed(
        self, duty: items.DutyView, now: float
    ) -> Iterator[filters.Item]:
        """Calls for the promotion once the fences and duty are confirmed."""
        required = min(len(self._fence.final_positions), self._fence.required)
        has_enough = len(self._check.confirmed) >= required
        if not has_enough or not self._check.is_duty_confirmed(now):
            return
        self.target = self._fence.choose_candidate()
        self._enter_step(Step.PROMOTING, now)
        self._next_retry_at = now + NEW_PRIMARY_TIMEOUT_S
        yield store_items.CallPromotion(
            now, self._database, self.target, self._host_name, duty.token
        )

    def _handle_promotion_result(
        self, item: store_items.PromotionCompleted
    ) -> Iterator[filters.Item]:
        if self._step is not Step.PROMOTING or item.upstream != self.target:
            return
        if item.done is False:
            self._fence.final_positions.pop(self.target, None)
            yield from self._abort(f"not promoted: {item.detail}", item.at)
            return
        if item.done is None:
            # Repeating a call that did arrive has no effect.
            self._next_retry_at = item.at
            return
        self._enter_step(Step.FOLLOWING, item.at)
        self._next_retry_at = item.at

    def _tick_promoting(self, now: float) -> Iterator[filters.Item]:
        if now - self._fenced_at > PROMOTE_TIMEOUT_S:
            self.outcome = "promotion not answered"
        elif now >= self._next_retry_at:
            yield from self._start_check(now)

    def _tick_following(
        self, now: float, elapsed_s: float
    ) -> Iterator[filters.Item]:
        if elapsed_s > NEW_PRIMARY_TIMEOUT_S:
            self.outcome = "no leader seen"
        elif now >= self._next_retry_at:
            self._next_retry_at = now + STATUS_POLL_INTERVAL_S
            yield session_items.CallUpstream(
                now,
                self.target,
                sessions.GetStatus(),
                now + fence.CALL_TIMEOUT_S,
            )

    def _check_for_new_primary(
        self, upstream: str, status: sessions.ReplicaStatus, now: float
    ) -> Iterator[filters.Item]:
        is_primary = status.role is sessions.ReplicaRole.PRIMARY
        if upstream == self.target and is_primary:
            yield from self._record_new_primary(upstream, status.term, now)

    def _record_new_primary(
        self, upstream: str, term: int, now: float
    ) -> Iterator[filters.Item]:
        self._new_term = term
        yield from self._record_outcome("promoted", upstream, now)

    def _abort(self, reason: str, now: float) -> Iterator[filters.Item]:
        """Resumes the replicas and ends the attempt with `reason`.

        If the old primary has not stepped down, the record names it again.
        """
        for upstream in self._members:
            if upstream != self.old_primary:
                yield session_items.CallUpstream(
                    now, upstream, sessions.Resume(), now + fence.CALL_TIMEOUT_S
                )
        if self._fence.old_primary_stepped_down or not self.old_primary:
            self.outcome = reason
        else:
            yield from self._record_outcome(reason, self.old_primary, now)

    def _record_outcome(
        self, outcome: str, upstream: str, now: float
    ) -> Iterator[filters.Item]:
        self._pending_outcome = outcome
        self._enter_step(Step.RECORDING, now)
        yield self._write_record(leadership.Phase.STEADY, upstream, now)

    def _enter_step(self, step: Step, now: float) -> None:
        self._step = step
        self._step_started_at = now
