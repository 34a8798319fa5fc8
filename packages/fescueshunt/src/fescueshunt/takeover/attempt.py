"""One attempt to replace a primary: fence, wait, promote, follow.

A commit stands on the primary and one replica at least. Once all members but
one are fenced, no further commit can be acknowledged in the old term, and the
highest position among them covers every commit that was. The wait lets the
confirmation of every other host run out, so that none still reads at the old
primary when the new one takes commits.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    position,
    replica_sets,
    session_items,
    sessions,
)
from fescueshunt.takeover import cause as causes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.takeover import items

FENCE_TIMEOUT_S = 1.5
CALL_TIMEOUT_S = 0.6
REPEAT_S = 0.3
CLOCK_MARGIN_S = 0.05
# The promotion must be sent this soon after the check of the duty was sent.
CHECK_VALID_S = 0.3
LEAD_TIMEOUT_S = 3.0


class Step(enum.Enum):
    """How far an attempt has come."""

    FENCING = "fencing"
    WAITING = "waiting"
    CHECKING = "checking"
    PROMOTING = "promoting"
    FOLLOWING = "following"


class Attempt:
    """The state of one attempt.

    Attributes:
      outcome: how it ended, "" while it goes on.
      target: the upstream that is promoted, "" until it is chosen.
    """

    def __init__(
        self,
        me: str,
        view: replica_sets.ReplicaSetView,
        cause: causes.Cause,
        now: float,
    ) -> None:
        self.outcome = ""
        self.target = ""
        self.begun_at = now
        self._me = me
        self._cause = cause
        self._database = view.database
        self._members = {m.upstream: m for m in view.members}
        self._old_primary = view.primary
        self._old_term = view.term
        self._term = 1 + max(
            (
                max(m.standing.term, m.standing.held_term)
                for m in view.members
                if m.standing is not None
            ),
            default=view.term,
        )
        self._ends: dict[str, position.Position] = {}
        self._step = Step.FENCING
        self._entered_at = now
        self._repeat_at = now

    def begin(self, now: float) -> Iterator[filters.Item]:
        """Yields the first calls."""
        yield from self._fence(now)

    def handle(
        self,
        item: filters.Item,
        view: replica_sets.ReplicaSetView,
        duty: items.DutyView,
    ) -> Iterator[filters.Item]:
        """Takes the attempt on with a reply, a view or the time."""
        match item:
            case session_items.UpstreamAnswered():
                yield from self._answered(item)
            case session_items.KeyRead():
                yield from self._checked(item, duty)
            case session_items.PromotionAnswered():
                yield from self._promotion_answered(item)
            case replica_sets.ReplicaSetView():
                self._look_for_leader(view)
            case filters.Tick():
                yield from self._tick(item.at)

    # Fence.

    def _fence(self, now: float) -> Iterator[filters.Item]:
        """Calls every member that is not fenced yet."""
        self._repeat_at = now + REPEAT_S
        for upstream in self._members:
            if upstream not in self._ends:
                yield session_items.AskUpstream(
                    now,
                    upstream,
                    self._call_for(upstream),
                    now + CALL_TIMEOUT_S,
                )

    def _call_for(self, upstream: str) -> sessions.UpstreamCall:
        if upstream == self._old_primary:
            return sessions.StepDown(self._term)
        return sessions.Pause(self._term)

    def _answered(
        self, item: session_items.UpstreamAnswered
    ) -> Iterator[filters.Item]:
        if item.upstream not in self._members or item.reply is None:
            return
        if item.call != self._call_for(item.upstream):
            return
        standing = item.reply.standing
        if standing is None:
            return
        if not self._is_fenced(item.upstream, standing):
            highest = max(standing.term, standing.held_term)
            if highest >= self._term:
                self.outcome = "a higher term is known"
                yield from self._resume(item.at)
            return
        if self._step not in (Step.FENCING, Step.WAITING):
            return
        self._ends[item.upstream] = standing.received
        if self._step is Step.FENCING and self._has_fence():
            self._enter(Step.WAITING, item.at)

    def _is_fenced(self, upstream: str, standing: sessions.Standing) -> bool:
        if upstream == self._old_primary:
            return standing.role is sessions.ReplicaRole.REPLICA
        return standing.held_term == self._term

    def _has_fence(self) -> bool:
        return len(self._ends) >= max(len(self._members) - 1, 1)

    # Choose, check, promote.

    def _choose(self) -> str:
        """Returns who leads next: the newest log, staying before leaving."""
        newest = max(self._ends.values())
        able = [
            self._members[upstream]
            for upstream, end in self._ends.items()
            if end == newest
        ]
        able.sort(
            key=lambda member: (
                member.entry.draining or not member.entry.listed,
                member.upstream == self._old_primary,
                member.upstream,
            )
        )
        return able[0].upstream

    def _tick(self, now: float) -> Iterator[filters.Item]:
        waited_s = now - self._entered_at
        match self._step:
            case Step.FENCING if waited_s > FENCE_TIMEOUT_S:
                yield from self._resume(now)
                self.outcome = "no fence"
            case Step.FENCING if now >= self._repeat_at:
                yield from self._fence(now)
            case Step.WAITING:
                if waited_s > replica_sets.CONFIRM_S + CLOCK_MARGIN_S:
                    yield from self._check(now)
            case Step.CHECKING if now >= self._repeat_at:
                yield from self._check(now)
            case Step.PROMOTING if now >= self._repeat_at:
                yield from self._check(now)
            case Step.FOLLOWING if waited_s > LEAD_TIMEOUT_S:
                self.outcome = "no leader seen"

    def _check(self, now: float) -> Iterator[filters.Item]:
        """Makes sure, right before the call, that the duty is still ours."""
        chosen = self._choose()
        leaving = self._members[chosen].entry.draining
        if leaving and self._cause is causes.Cause.LEAVING:
            self.outcome = "no staying replica is up to date"
            yield from self._resume(now)
            return
        self.target = chosen
        self._enter(Step.CHECKING, now)
        self._repeat_at = now + REPEAT_S
        yield session_items.ReadKey(now, session_items.DUTY_KEY)

    def _checked(
        self, item: session_items.KeyRead, duty: items.DutyView
    ) -> Iterator[filters.Item]:
        if self._step is not Step.CHECKING:
            return
        if not item.answered or item.asked_at < self._entered_at:
            return
        if item.stored is None or item.stored.revision != duty.token:
            self.outcome = "duty lost"
            return
        if item.at - item.asked_at > CHECK_VALID_S:
            return
        self._enter(Step.PROMOTING, item.at)
        self._repeat_at = item.at + LEAD_TIMEOUT_S
        yield session_items.CallPromotion(
            item.at, self._database, self.target, self._me, duty.token
        )

    def _promotion_answered(
        self, item: session_items.PromotionAnswered
    ) -> Iterator[filters.Item]:
        if self._step is not Step.PROMOTING or item.upstream != self.target:
            return
        if item.done:
            self._enter(Step.FOLLOWING, item.at)
        elif item.done is None:
            self._repeat_at = item.at + REPEAT_S
        else:
            self.outcome = f"not promoted: {item.detail}"
            yield from self._resume(item.at)

    def _look_for_leader(self, view: replica_sets.ReplicaSetView) -> None:
        if self._step not in (Step.PROMOTING, Step.FOLLOWING):
            return
        if view.primary == self.target and view.term > self._old_term:
            self.outcome = "promoted"

    def _resume(self, now: float) -> Iterator[filters.Item]:
        """Lets the replicas that were paused receive again."""
        for upstream in self._members:
            if upstream != self._old_primary:
                yield session_items.AskUpstream(
                    now, upstream, sessions.Resume(), now + CALL_TIMEOUT_S
                )

    def _enter(self, step: Step, now: float) -> None:
        self._step = step
        self._entered_at = now
