"""One attempt to replace a primary: announce, fence, promote, follow.

The move is written into the store first. Every host that sees it stops using
the old primary and acknowledges; one that doesn't loses its lease. At the same
time the members are fenced: a commit stands on the primary and one replica at
least, so once all members but one are fenced no further commit can be
acknowledged in the old term, and the highest position among them covers every
one that was.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    leadership,
    position,
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.takeover import cause as causes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.takeover import items, participants

FENCE_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 0.5
REPEAT_S = 0.3
ANNOUNCE_TIMEOUT_S = 1.5
CLOCK_MARGIN_S = 0.05
# A host that has not acknowledged by then loses its lease.
PATIENCE_S = 0.5
ACKNOWLEDGE_TIMEOUT_S = 6.0
# The promotion must be sent this soon after the check of the duty was sent.
CHECK_VALID_S = 0.3
LEAD_TIMEOUT_S = 3.0
PROMOTE_TIMEOUT_S = 12.0
LOOK_EVERY_S = 0.1
MAX_FENCES = 4


class Step(enum.Enum):
    """How far an attempt has come."""

    ANNOUNCING = "announcing"
    FENCING = "fencing"
    WAITING = "waiting"
    CHECKING = "checking"
    PROMOTING = "promoting"
    FOLLOWING = "following"
    RECORDING = "recording"


class Attempt:
    """The state of one attempt.

    Attributes:
      outcome: how it ended, "" while it goes on.
      target: the upstream that is promoted, "" until it is chosen.
      old_primary: who led before, "" if unknown.
    """

    def __init__(
        self,
        me: str,
        view: replica_sets.ReplicaSetView,
        record: leadership.Record | None,
        cause: causes.Cause,
        now: float,
    ) -> None:
        self.outcome = ""
        self.target = ""
        self.begun_at = now
        self.cause = cause
        self.old_primary = record.upstream if record else view.primary
        self._me = me
        self._database = view.database
        self._members = {m.upstream: m.entry for m in view.members}
        self._old_term = view.term
        self._term = view.term + 1
        self._fences = 0
        self._record_revision = record.revision if record else 0
        self._ends: dict[str, position.Position] = {}
        self._stepped_down = False
        self._new_term = 0
        self._fenced_at = 0.0
        self._ended: str = ""
        self._evicted = False
        self._step = Step.ANNOUNCING
        self._entered_at = now
        self._repeat_at = now

    def begin(self, now: float) -> Iterator[filters.Item]:
        """Yields the first calls."""
        yield self._write(leadership.Phase.MOVING, self.old_primary, now)

    def handle(
        self,
        item: filters.Item,
        duty: items.DutyView,
        hosts: participants.Participants,
    ) -> Iterator[filters.Item]:
        """Takes the attempt on with a reply, a change or the time."""
        match item:
            case store_items.KeyWritten():
                yield from self._written(item)
            case session_items.UpstreamAnswered():
                yield from self._answered(item)
            case store_items.KeyRead():
                yield from self._checked(item, duty)
            case store_items.PromotionAnswered():
                yield from self._promotion_answered(item)
            case filters.Tick():
                yield from self._tick(item.at, hosts)

    # Announce.

    def _write(
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

    def _written(self, item: store_items.KeyWritten) -> Iterator[filters.Item]:
        if item.key != leadership.record_key(self._database):
            return
        if item.done is not True:
            lost = "record not written" if item.done is None else "overtaken"
            self.outcome = self._ended or lost
            return
        self._record_revision = item.revision
        match self._step:
            case Step.ANNOUNCING:
                self._enter(Step.FENCING, item.at)
                yield from self._fence(item.at)
            case Step.RECORDING:
                self.outcome = self._ended

    # Fence.

    def _fence(self, now: float) -> Iterator[filters.Item]:
        """Calls every member that is not fenced yet."""
        self._repeat_at = now + REPEAT_S
        for upstream in self._members:
            if upstream not in self._ends:
                call = self._call_for(upstream)
                yield session_items.AskUpstream(
                    now, upstream, call, now + CALL_TIMEOUT_S
                )

    def _call_for(self, upstream: str) -> sessions.UpstreamCall:
        if upstream == self.old_primary:
            return sessions.StepDown(self._term)
        return sessions.Pause(self._term)

    def _answered(
        self, item: session_items.UpstreamAnswered
    ) -> Iterator[filters.Item]:
        if item.upstream not in self._members or item.reply is None:
            return
        status = item.reply.status
        if status is None:
            return
        if self._step is Step.FOLLOWING:
            yield from self._look_for_leader(item.upstream, status, item.at)
        elif self._is_fence_reply(item):
            yield from self._take_fence(item.upstream, status, item.at)

    def _is_fence_reply(self, item: session_items.UpstreamAnswered) -> bool:
        is_fencing = self._step in (Step.FENCING, Step.WAITING)
        return is_fencing and item.call == self._call_for(item.upstream)

    def _take_fence(
        self, upstream: str, status: sessions.ReplicaStatus, now: float
    ) -> Iterator[filters.Item]:
        is_primary = status.role is sessions.ReplicaRole.PRIMARY
        if is_primary and upstream != self.old_primary:
            self.target = upstream
            yield from self._lead_seen(upstream, status.term, now)
            return
        highest = max(status.term, status.held_term)
        stepped_down = upstream == self.old_primary and not is_primary
        if not stepped_down and status.held_term != self._term:
            yield from self._raise_term(highest, now)
            return
        self._stepped_down = self._stepped_down or stepped_down
        self._ends[upstream] = status.received
        if self._step is Step.FENCING and self._has_fence():
            self._fenced_at = now
            self._enter(Step.WAITING, now)

    def _raise_term(self, highest: int, now: float) -> Iterator[filters.Item]:
        """Fences again above a term that this host did not know."""
        if highest < self._term:
            return
        self._fences += 1
        if self._fences > MAX_FENCES:
            yield from self._give_up("terms keep rising", now)
            return
        self._term = highest + 1
        self._ends.clear()
        self._enter(Step.FENCING, now)
        yield from self._fence(now)

    def _has_fence(self) -> bool:
        return len(self._ends) >= max(len(self._members) - 1, 1)

    # Choose, check, promote.

    def _choose(self) -> str:
        """Returns who leads next: the newest log, staying before leaving."""
        newest = max(self._ends.values())
        able = [name for name, end in self._ends.items() if end == newest]
        return min(
            able,
            key=lambda name: (
                self._members[name].draining or not self._members[name].listed,
                name == self.old_primary,
                name,
            ),
        )

    def _tick(
        self, now: float, hosts: participants.Participants
    ) -> Iterator[filters.Item]:
        waited_s = now - self._entered_at
        match self._step:
            case Step.ANNOUNCING | Step.RECORDING:
                if waited_s > ANNOUNCE_TIMEOUT_S:
                    self.outcome = self._ended or "record not written"
            case Step.FENCING:
                yield from self._tick_fencing(now, waited_s)
            case Step.WAITING:
                yield from self._tick_waiting(now, waited_s, hosts)
            case Step.CHECKING | Step.PROMOTING:
                yield from self._tick_promoting(now)
            case Step.FOLLOWING:
                yield from self._tick_following(now, waited_s)

    def _tick_fencing(
        self, now: float, waited_s: float
    ) -> Iterator[filters.Item]:
        if waited_s <= FENCE_TIMEOUT_S:
            if now >= self._repeat_at:
                yield from self._fence(now)
        elif self._stepped_down:
            # The old primary alone has every commit, and takes no more.
            end = self._ends[self.old_primary]
            self._ends = {self.old_primary: end}
            self._fenced_at = now
            self._enter(Step.WAITING, now)
        else:
            yield from self._give_up("no fence", now)

    def _tick_waiting(
        self, now: float, waited_s: float, hosts: participants.Participants
    ) -> Iterator[filters.Item]:
        missing = hosts.missing(self._database, self._record_revision)
        if missing and waited_s > PATIENCE_S and not self._evicted:
            self._evicted = True
            for lease in missing.values():
                yield store_items.EndLease(now, lease)
        if waited_s > ACKNOWLEDGE_TIMEOUT_S:
            yield from self._give_up("hosts did not acknowledge", now)
            return
        fence_s = now - self._fenced_at
        confirmed_s = replica_sets.CONFIRM_S + CLOCK_MARGIN_S
        if not missing and hosts.is_over(now) and fence_s > confirmed_s:
            yield from self._check(now)

    def _check(self, now: float) -> Iterator[filters.Item]:
        """Makes sure, right before the call, that the duty is still ours."""
        chosen = self._choose()
        if self._is_pointless(chosen):
            yield from self._give_up("no staying replica is up to date", now)
            return
        self.target = chosen
        self._enter(Step.CHECKING, now)
        self._repeat_at = now + REPEAT_S
        yield store_items.ReadKey(now, store_items.DUTY_KEY)

    def _is_pointless(self, chosen: str) -> bool:
        """Tells whether one leaving primary would follow another."""
        return (
            self.cause is causes.Cause.LEAVING
            and self._members[chosen].draining
            and chosen != self.old_primary
        )

    def _checked(
        self, item: store_items.KeyRead, duty: items.DutyView
    ) -> Iterator[filters.Item]:
        if self._step is not Step.CHECKING or not item.answered:
            return
        if item.asked_at < self._entered_at:
            return
        if item.stored is None or item.stored.revision != duty.token:
            self.outcome = "duty lost"
            return
        if item.at - item.asked_at > CHECK_VALID_S:
            return
        self._enter(Step.PROMOTING, item.at)
        self._repeat_at = item.at + LEAD_TIMEOUT_S
        yield store_items.CallPromotion(
            item.at, self._database, self.target, self._me, duty.token
        )

    def _promotion_answered(
        self, item: store_items.PromotionAnswered
    ) -> Iterator[filters.Item]:
        if self._step is not Step.PROMOTING or item.upstream != self.target:
            return
        if item.done is False:
            self._ends.pop(self.target, None)
            yield from self._give_up(f"not promoted: {item.detail}", item.at)
            return
        if item.done is None:
            # A call that did arrive makes the repetition change nothing.
            self._repeat_at = item.at
            return
        self._enter(Step.FOLLOWING, item.at)
        self._repeat_at = item.at

    # Follow.

    def _tick_promoting(self, now: float) -> Iterator[filters.Item]:
        if now - self._fenced_at > PROMOTE_TIMEOUT_S:
            self.outcome = "promotion not answered"
        elif now >= self._repeat_at:
            yield from self._check(now)

    def _tick_following(
        self, now: float, waited_s: float
    ) -> Iterator[filters.Item]:
        if waited_s > LEAD_TIMEOUT_S:
            self.outcome = "no leader seen"
        elif now >= self._repeat_at:
            self._repeat_at = now + LOOK_EVERY_S
            yield session_items.AskUpstream(
                now, self.target, sessions.AskStatus(), now + CALL_TIMEOUT_S
            )

    def _look_for_leader(
        self, upstream: str, status: sessions.ReplicaStatus, now: float
    ) -> Iterator[filters.Item]:
        leads = status.role is sessions.ReplicaRole.PRIMARY
        if upstream == self.target and leads:
            yield from self._lead_seen(upstream, status.term, now)

    def _lead_seen(
        self, upstream: str, term: int, now: float
    ) -> Iterator[filters.Item]:
        self._new_term = term
        yield from self._finish("promoted", upstream, now)

    def _give_up(self, why: str, now: float) -> Iterator[filters.Item]:
        """Lets the replicas receive again, and the old primary lead on."""
        for upstream in self._members:
            if upstream != self.old_primary:
                yield session_items.AskUpstream(
                    now, upstream, sessions.Resume(), now + CALL_TIMEOUT_S
                )
        if self._stepped_down or not self.old_primary:
            self.outcome = why
        else:
            yield from self._finish(why, self.old_primary, now)

    def _finish(
        self, outcome: str, upstream: str, now: float
    ) -> Iterator[filters.Item]:
        self._ended = outcome
        self._enter(Step.RECORDING, now)
        yield self._write(leadership.Phase.STEADY, upstream, now)

    def _enter(self, step: Step, now: float) -> None:
        self._step = step
        self._entered_at = now
