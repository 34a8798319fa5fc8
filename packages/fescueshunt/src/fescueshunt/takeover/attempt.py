"""One failover attempt: announce, fence, promote, and record the new primary.

The attempt first writes to the store that the primary is being replaced. Every
host that sees this stops using the old primary and acknowledges; a host that
does not loses its lease. The members are fenced, so that the old term has no
further commits. Then the newest one is promoted, after the call for it has been
written to the store: until a call is known to be in force, the members stay
fenced and no other one is promoted.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.takeover import (
    acknowledgements,
    attempt_context,
    fence,
    promotion,
    record_writer,
    reports,
)
from fescueshunt.takeover import cause as causes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import leadership
    from fescueshunt.takeover import participants, promotion_calls

FENCE_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.3
CLOCK_MARGIN_S = 0.05
ACKNOWLEDGE_TIMEOUT_S = 6.0


class Step(enum.Enum):
    """The steps of a failover attempt, in order."""

    ANNOUNCING = "announcing"
    FENCING = "fencing"
    WAITING = "waiting"
    PROMOTING = "promoting"
    RECORDING = "recording"


class Attempt:
    """A failover attempt for one database, as a state machine.

    Args:
      host_name: The name of this host.
      view: The replica set.
      record: The leadership record, or None if there is none.
      cause: Why the primary is replaced.
      calls: The promotion calls that may still take effect.
      token: The fencing token under which this host holds the duty.
      now: The time on this host's clock, in seconds.

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
        calls: promotion_calls.PromotionCalls,
        token: int,
        now: float,
    ) -> None:
        self.outcome = ""
        self.target = ""
        self.started_at = now
        self.cause = cause
        self.old_primary = record.upstream if record else view.primary
        self._fence = fence.fence_for(
            view,
            self.old_primary,
            now,
            is_old_primary_certain=not calls.has_calls(view.database),
            recorded_term=record.term if record else 0,
            is_leaving=cause is causes.Cause.LEAVING,
        )
        self._record = record_writer.RecordWriter(view.database, record, token)
        self._context = attempt_context.AttemptContext(
            host_name,
            view.database,
            token,
            self.old_primary,
            record.term if record else view.term,
            view.term,
            cause is causes.Cause.LEAVING,
            calls,
            self._record,
            self._fence,
        )
        self._fenced_at = 0.0
        self._pending_outcome: str = ""
        self._acknowledgements = acknowledgements.Acknowledgements(
            view.database
        )
        self._promotion: promotion.Promotion | None = None
        self._step = Step.ANNOUNCING
        self._step_started_at = now
        self._next_retry_at = now

    def begin(self, now: float) -> Iterator[filters.Item]:
        """Yields the store write that announces the primary change."""
        calls = self._context.calls.to_record(self._context.database, now)
        yield self._context.write_moving(calls, now)

    def handle(
        self,
        item: filters.Item,
        duty: store_items.DutyView,
        hosts: participants.Participants,
    ) -> Iterator[filters.Item]:
        """Advances the attempt on a reply or a tick; yields the next calls."""
        result = self._record.check(item)
        yield from self._handle_write_result(result, item.at)
        yield from self._record.pending_calls(item.at)
        if isinstance(item, replica_sets.ReplicaSetView):
            yield from self._follow_members(item)
        if self._fence.is_for_other_database(item):
            return
        if self._step is Step.PROMOTING:
            yield from self._advance_promotion(item, duty)
            return
        match item:
            case session_items.UpstreamCallCompleted():
                yield from self._handle_upstream_reply(item)
            case filters.Tick():
                yield from self._tick(item.at, hosts)

    def _follow_members(
        self, view: replica_sets.ReplicaSetView
    ) -> Iterator[filters.Item]:
        """Fences members that have come since, until the promotion is called.

        A host that relies on the old primary passes on what such a member has
        acknowledged. The store's changes come in order, so the entry of the
        member is here before the end of the host's lease is.
        """
        has_joined = self._fence.follow(view, view.at)
        if self._step is Step.FENCING and has_joined:
            yield from self._send_fence_calls(view.at)
        if not self._may_fence_again():
            return
        if not self._fence.is_complete():
            yield from self._refence(view.at)
        elif has_joined:
            self._fenced_at = view.at
            self._step = Step.WAITING
            yield from self._send_fence_calls(view.at)

    def _may_fence_again(self) -> bool:
        """Returns whether a fence was complete, and no call has been sent."""
        if self._step is Step.PROMOTING:
            return self._promotion.is_checking
        return self._step is Step.WAITING

    # The record.

    def _handle_write_result(
        self, result: record_writer.WriteResult | None, now: float
    ) -> Iterator[filters.Item]:
        match result:
            case record_writer.WriteResult.WRITTEN:
                yield from self._handle_record_written(now)
            case record_writer.WriteResult.OVERTAKEN:
                self.outcome = self._pending_outcome or "overtaken"

    def _handle_record_written(self, now: float) -> Iterator[filters.Item]:
        match self._step:
            case Step.ANNOUNCING:
                self._acknowledgements.announcement = self._record.announcement
                yield from self._refence(now)
            case Step.PROMOTING:
                yield from self._promotion.handle_call_recorded(now)
            case Step.RECORDING:
                self.outcome = self._pending_outcome

    def _tick(
        self, now: float, hosts: participants.Participants
    ) -> Iterator[filters.Item]:
        elapsed_s = now - self._step_started_at
        match self._step:
            case Step.ANNOUNCING | Step.RECORDING:
                if elapsed_s > promotion.RECORD_WRITE_TIMEOUT_S:
                    self.outcome = self._pending_outcome or "record not written"
            case Step.FENCING:
                yield from self._tick_fencing(now, elapsed_s)
            case Step.WAITING:
                yield from self._tick_waiting(now, elapsed_s, hosts)

    # Fencing.

    def _refence(self, now: float) -> Iterator[filters.Item]:
        """Fences the members that are not fenced, or not any more."""
        if self._fence.is_complete():
            yield from self._wait_for_hosts(now)
            return
        self._enter_step(Step.FENCING, now)
        yield from self._send_fence_calls(now)

    def _send_fence_calls(self, now: float) -> Iterator[filters.Item]:
        self._next_retry_at = now + RETRY_INTERVAL_S
        yield from self._fence.pending_calls(now)

    def _handle_upstream_reply(
        self, item: session_items.UpstreamCallCompleted
    ) -> Iterator[filters.Item]:
        status = item.reply.status if item.reply is not None else None
        if status is None:
            return
        if self._is_fence_reply(item):
            yield from self._handle_fence_reply(item.upstream, status, item.at)
        elif self._step is Step.WAITING and self._fence.leads(
            item.upstream, status
        ):
            # An earlier call has taken effect meanwhile.
            yield from self._record_new_primary(
                item.upstream, status.term, item.at
            )

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
        was_fenced = upstream in self._fence.final_positions
        match self._fence.record_reply(upstream, status):
            case fence.FenceResult.LEADS:
                yield from self._record_new_primary(upstream, status.term, now)
            case fence.FenceResult.HIGHER_TERM if self._fence.raise_term(
                status
            ):
                yield from self._refence(now)
            case fence.FenceResult.HIGHER_TERM:
                yield from self._abort("terms keep rising", now)
            case fence.FenceResult.FENCED if self._step is Step.FENCING:
                if self._fence.is_complete():
                    yield from self._wait_for_hosts(now)
            case fence.FenceResult.FENCED if not was_fenced:
                self._fenced_at = now

    def _tick_fencing(
        self, now: float, elapsed_s: float
    ) -> Iterator[filters.Item]:
        if elapsed_s <= FENCE_TIMEOUT_S:
            if now >= self._next_retry_at:
                yield from self._send_fence_calls(now)
        elif self._fence.has_old_primary:
            self._fence.rely_on_old_primary()
            yield from self._wait_for_hosts(now)
        else:
            yield from self._abort("no fence", now)

    # Waiting for hosts, and for calls that may still take effect.

    def _wait_for_hosts(self, now: float) -> Iterator[filters.Item]:
        """Begins to wait until no host relies on the old primary."""
        self._fenced_at = now
        self._enter_step(Step.WAITING, now)
        yield reports.fence_completed(
            self._context.database,
            self._fence.term,
            self._fence.final_positions,
            now,
        )

    def _tick_waiting(
        self, now: float, elapsed_s: float, hosts: participants.Participants
    ) -> Iterator[filters.Item]:
        yield from self._acknowledgements.revoke_late(elapsed_s, hosts, now)
        if not self._acknowledgements.are_complete(hosts, now):
            if elapsed_s > ACKNOWLEDGE_TIMEOUT_S:
                yield from self._abort("hosts did not acknowledge", now)
            return
        confirmation_wait_s = replica_sets.CONFIRMATION_TTL_S + CLOCK_MARGIN_S
        if now - self._fenced_at <= confirmation_wait_s:
            return
        candidate = self._context.choose_candidate(now)
        if self._context.may_promote(candidate, now):
            yield from self._start_promotion(now)
        elif now >= self._next_retry_at:
            self._next_retry_at = now + RETRY_INTERVAL_S
            yield from self._fence.status_calls(now)

    # Promotion.

    def _start_promotion(self, now: float) -> Iterator[filters.Item]:
        self._enter_step(Step.PROMOTING, now)
        self._promotion = promotion.Promotion(self._context, self.target, now)
        yield from self._promotion.begin(now)
        yield from self._apply_result(now)

    def _advance_promotion(
        self, item: filters.Item, duty: store_items.DutyView
    ) -> Iterator[filters.Item]:
        yield from self._promotion.handle(item, duty)
        self.target = self._promotion.target
        yield from self._apply_result(item.at)

    def _apply_result(self, now: float) -> Iterator[filters.Item]:
        result = self._promotion.result
        if result is None:
            return
        match result.kind:
            case promotion.ResultKind.LEADS:
                yield from self._record_new_primary(
                    result.upstream, result.term, now
                )
            case promotion.ResultKind.NOT_FENCED:
                yield from self._refence(now)
            case promotion.ResultKind.BLOCKED:
                self._enter_step(Step.WAITING, now)
            case promotion.ResultKind.REFUSED:
                yield from self._abort(result.reason, now)
            case promotion.ResultKind.ENDED:
                self.outcome = result.reason

    # Outcomes.

    def _record_new_primary(
        self, upstream: str, term: int, now: float
    ) -> Iterator[filters.Item]:
        """Records the new primary, once no other one can replace it.

        Until then the attempt goes on. Only a promotion, whose fence was
        complete, is over.
        """
        context = self._context
        if not context.calls.is_only_open_target(
            context.database, upstream, now
        ):
            if self._step is Step.PROMOTING:
                self._enter_step(Step.WAITING, now)
            return
        self.target = upstream
        calls = context.calls.record_for_primary(
            context.database, upstream, now
        )
        yield from self._record_outcome("promoted", upstream, term, calls, now)

    def _abort(self, reason: str, now: float) -> Iterator[filters.Item]:
        """Resumes the replicas and ends the attempt with `reason`.

        If the old primary has not stepped down, the record names it again. If
        another member may have been promoted, nothing is undone.
        """
        context = self._context
        calls = context.calls
        if calls.has_calls_for_others(context.database, self.old_primary):
            self.outcome = reason
            return
        yield from self._fence.resume_calls(now)
        if self._fence.old_primary_stepped_down or not self.old_primary:
            self.outcome = reason
        else:
            recorded = calls.to_record(context.database, now)
            yield from self._record_outcome(
                reason, self.old_primary, context.known_term, recorded, now
            )

    def _record_outcome(
        self,
        outcome: str,
        primary: str,
        term: int,
        calls: promotion_calls.Recorded,
        now: float,
    ) -> Iterator[filters.Item]:
        self._pending_outcome = outcome
        self._enter_step(Step.RECORDING, now)
        yield self._context.write_steady(primary, term, calls, now)

    def _enter_step(self, step: Step, now: float) -> None:
        self._step = step
        self._step_started_at = now
