"""Promotes one of the fenced members of a replica set.

First each fence and the failover duty are confirmed. Then the call is written
to the leadership record, so that the next holder of the duty knows of it, and
sent. At last the member is polled until it leads.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import filters, session_items, sessions, store_items
from fescueshunt.takeover import fence, promotion_check

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.takeover import attempt_context

CHECK_INTERVAL_S = 0.3
# From the record of a call, which confirms the duty, until it is sent.
CALL_VALID_S = 0.5
EFFECT_TIMEOUT_S = 3.0
# A write, a read if it is not answered, and a second write.
RECORD_WRITE_TIMEOUT_S = 4.0
PROMOTE_TIMEOUT_S = 12.0
STATUS_POLL_INTERVAL_S = 0.1
# A member that confirms nothing in this many check rounds counts as unfenced.
MAX_CHECK_ROUNDS = 3


class Step(enum.Enum):
    """The steps of a promotion, in order."""

    CHECKING = "checking"
    RECORDING_CALL = "recording call"
    CALLING = "calling"
    FOLLOWING = "following"


class ResultKind(enum.Enum):
    """How a promotion has ended.

    LEADS: A member leads, which need not be the one that was called for.
    NOT_FENCED: Not all members confirm their fence; they must be fenced again.
    BLOCKED: An earlier call may still take effect.
    REFUSED: No member can be promoted.
    ENDED: The attempt can't go on.
    """

    LEADS = "leads"
    NOT_FENCED = "not fenced"
    BLOCKED = "blocked"
    REFUSED = "refused"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a promotion.

    Attributes:
      upstream: The id of the member that leads, or "".
      term: The term of that member, or 0.
      reason: Why the promotion was refused or has ended, or "".
    """

    kind: ResultKind
    upstream: str = ""
    term: int = 0
    reason: str = ""


class Promotion:
    """A promotion as a state machine.

    Attributes:
      result: The result, or None while the promotion is in progress.
      target: The member that was called for last, "" if there is none.
    """

    def __init__(
        self, context: attempt_context.AttemptContext, target: str, now: float
    ) -> None:
        self.result: Result | None = None
        self.target = target
        self._context = context
        self._started_at = now
        self._step = Step.CHECKING
        self._step_started_at = now
        self._next_retry_at = now
        self._check: promotion_check.PromotionCheck | None = None
        self._check_rounds = 0

    @property
    def is_checking(self) -> bool:
        """Whether no call is about to be sent, or has been sent."""
        return self._step is Step.CHECKING

    def begin(self, now: float) -> Iterator[filters.Item]:
        """Yields the calls of the first round of checks."""
        yield from self._start_check(now)

    def handle(
        self, item: filters.Item, duty: store_items.DutyView
    ) -> Iterator[filters.Item]:
        """Advances the promotion on a reply or a tick; yields calls."""
        match item:
            case store_items.KeyRead(key=store_items.DUTY_KEY):
                yield from self._handle_duty_read(item, duty)
            case store_items.PromotionCompleted():
                self._handle_answer(item)
            case session_items.UpstreamCallCompleted():
                yield from self._handle_upstream_reply(item)
            case filters.Tick():
                yield from self._tick(item.at)

    def handle_call_recorded(self, now: float) -> Iterator[filters.Item]:
        """Yields the call once it stands in the record."""
        if self._step is Step.RECORDING_CALL:
            yield from self._send_call(now)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        match self._step:
            case Step.CHECKING | Step.CALLING:
                if now - self._started_at > PROMOTE_TIMEOUT_S:
                    self._end(ResultKind.ENDED, "promotion not answered")
                elif now >= self._next_retry_at:
                    yield from self._start_check(now)
            case Step.RECORDING_CALL:
                if now - self._step_started_at > RECORD_WRITE_TIMEOUT_S:
                    self._end(ResultKind.ENDED, "call not recorded")
            case Step.FOLLOWING:
                yield from self._tick_following(now)

    # Checks.

    def _start_check(self, now: float) -> Iterator[filters.Item]:
        """Checks that this host still holds the duty and each fence holds."""
        members = self._context.fence
        if self._check_rounds >= MAX_CHECK_ROUNDS:
            members.final_positions = dict(self._check.confirmed)
            self._end(ResultKind.NOT_FENCED)
            return
        if self._context.is_leaving and members.is_candidate_draining():
            # One leaving primary would replace another.
            self._end(ResultKind.REFUSED, "no staying replica is up to date")
            return
        self._check_rounds += 1
        self._enter_step(Step.CHECKING, now)
        self._next_retry_at = now + CHECK_INTERVAL_S
        self._check = promotion_check.PromotionCheck(
            members.term, members.members_not_paused, now
        )
        yield from self._check.begin(members.final_positions)

    def _handle_duty_read(
        self, item: store_items.KeyRead, duty: store_items.DutyView
    ) -> Iterator[filters.Item]:
        if self._step is not Step.CHECKING:
            return
        if self._check.record_duty(item, duty):
            yield from self._record_call_if_confirmed(item.at)
        else:
            self._end(ResultKind.ENDED, "duty lost")

    def _handle_upstream_reply(
        self, item: session_items.UpstreamCallCompleted
    ) -> Iterator[filters.Item]:
        status = item.reply.status if item.reply is not None else None
        if status is None:
            return
        if self._step is Step.FOLLOWING:
            is_primary = status.role is sessions.ReplicaRole.PRIMARY
            if item.upstream == self.target and is_primary:
                self._end_with_leader(item.upstream, status.term)
        elif self._step is Step.CHECKING:
            yield from self._handle_status_check(item, status)

    def _handle_status_check(
        self,
        item: session_items.UpstreamCallCompleted,
        status: sessions.ReplicaStatus,
    ) -> Iterator[filters.Item]:
        members = self._context.fence
        if members.leads(item.upstream, status):
            self._end_with_leader(item.upstream, status.term)
            return
        match self._check.record_status(item):
            case promotion_check.FenceStatus.HOLDS:
                members.final_positions[item.upstream] = status.received
                yield from self._record_call_if_confirmed(item.at)
            case promotion_check.FenceStatus.LOST:
                members.final_positions.pop(item.upstream, None)
                self._end(ResultKind.NOT_FENCED)
            case promotion_check.FenceStatus.OVERTAKEN if self.target:
                # An earlier call got no answer but did succeed.
                self._follow(item.at)
            case promotion_check.FenceStatus.OVERTAKEN:
                self._end(ResultKind.ENDED, "overtaken")

    # The call.

    def _record_call_if_confirmed(self, now: float) -> Iterator[filters.Item]:
        """Records the call to send once the fences and duty are confirmed."""
        context = self._context
        members = context.fence
        required = min(len(members.final_positions), members.required)
        has_enough = len(self._check.confirmed) >= required
        if not has_enough or not self._check.is_duty_confirmed(now):
            return
        candidate = context.choose_candidate(now)
        if not context.may_promote(candidate, now):
            self._end(ResultKind.BLOCKED)
            return
        self.target = candidate
        self._enter_step(Step.RECORDING_CALL, now)
        calls = context.calls.record_with_call(context.database, candidate, now)
        yield context.write_moving(calls, now)

    def _send_call(self, now: float) -> Iterator[filters.Item]:
        """Sends the call unless its record, which confirms the duty, is old."""
        recorded_since = self._step_started_at
        if now - recorded_since > promotion_check.DUTY_VALID_S:
            yield from self._start_check(now)
            return
        self._enter_step(Step.CALLING, now)
        self._next_retry_at = now + EFFECT_TIMEOUT_S
        context = self._context
        call = store_items.CallPromotion(
            now,
            context.database,
            self.target,
            context.host_name,
            context.token,
            send_before=recorded_since + CALL_VALID_S,
        )
        context.calls.add_sent(call)
        yield call

    def _handle_answer(self, item: store_items.PromotionCompleted) -> None:
        if self._step is not Step.CALLING or item.upstream != self.target:
            return
        if item.done is None:
            # Repeating a call that did arrive has no effect.
            self._next_retry_at = item.at
            self._context.fence.doubt_old_primary()
            if not self._context.fence.is_complete():
                self._end(ResultKind.NOT_FENCED)
        elif item.done:
            self._follow(item.at)
        else:
            self._end(ResultKind.REFUSED, f"not promoted: {item.detail}")

    # The new primary.

    def _follow(self, now: float) -> None:
        self._enter_step(Step.FOLLOWING, now)
        self._next_retry_at = now

    def _tick_following(self, now: float) -> Iterator[filters.Item]:
        if now - self._step_started_at > EFFECT_TIMEOUT_S:
            self._end(ResultKind.ENDED, "no leader seen")
        elif now >= self._next_retry_at:
            self._next_retry_at = now + STATUS_POLL_INTERVAL_S
            yield fence.get_status(self.target, now)

    def _end_with_leader(self, upstream: str, term: int) -> None:
        self.result = Result(ResultKind.LEADS, upstream, term)

    def _end(self, kind: ResultKind, reason: str = "") -> None:
        self.result = Result(kind, reason=reason)

    def _enter_step(self, step: Step, now: float) -> None:
        self._step = step
        self._step_started_at = now
