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
    replica_sets,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.takeover import cause as causes
from fescueshunt.takeover import check, fence

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.takeover import items, participants

FENCE_TIMEOUT_S = 2.0
REPEAT_S = 0.3
ANNOUNCE_TIMEOUT_S = 1.5
CLOCK_MARGIN_S = 0.05
# A host that has not acknowledged by then loses its lease.
PATIENCE_S = 0.5
ACKNOWLEDGE_TIMEOUT_S = 6.0
LEAD_TIMEOUT_S = 3.0
PROMOTE_TIMEOUT_S = 12.0
LOOK_EVERY_S = 0.1
# A member that confirms nothing in so many checks counts as not fenced.
MAX_CHECKS = 3


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
        self._fence = fence.Fence(
            self._members, self.old_primary, view.term + 1
        )
        self._record_revision = record.revision if record else 0
        self._new_term = 0
        self._fenced_at = 0.0
        self._ended: str = ""
        self._evicted = False
        self._check: check.Check | None = None
        self._checks = 0
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
            case session_items.UpstreamCallCompleted():
                yield from self._answered(item, duty)
            case store_items.KeyRead():
                yield from self._duty_read(item, duty)
            case store_items.PromotionCompleted():
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
                yield from self._fence_missing(item.at)
            case Step.RECORDING:
                self.outcome = self._ended

    # Fence.

    def _fence_missing(self, now: float) -> Iterator[filters.Item]:
        self._repeat_at = now + REPEAT_S
        yield from self._fence.calls(now)

    def _answered(
        self, item: session_items.UpstreamCallCompleted, duty: items.DutyView
    ) -> Iterator[filters.Item]:
        if item.upstream not in self._members or item.reply is None:
            return
        status = item.reply.status
        if status is None:
            return
        if self._step is Step.FOLLOWING:
            yield from self._look_for_leader(item.upstream, status, item.at)
        elif self._step is Step.CHECKING:
            yield from self._confirm(item, status, duty)
        elif self._is_fence_reply(item):
            yield from self._take_fence(item.upstream, status, item.at)

    def _is_fence_reply(
        self, item: session_items.UpstreamCallCompleted
    ) -> bool:
        is_fencing = self._step in (Step.FENCING, Step.WAITING)
        return is_fencing and item.call == self._fence.call_for(item.upstream)

    def _take_fence(
        self, upstream: str, status: sessions.ReplicaStatus, now: float
    ) -> Iterator[filters.Item]:
        match self._fence.take(upstream, status):
            case fence.Taken.LEADS:
                self.target = upstream
                yield from self._lead_seen(upstream, status.term, now)
            case fence.Taken.HIGHER if self._fence.rise(status):
                self._enter(Step.FENCING, now)
                yield from self._fence_missing(now)
            case fence.Taken.HIGHER:
                yield from self._give_up("terms keep rising", now)
            case fence.Taken.FENCED if self._step is Step.FENCING:
                if self._fence.is_whole():
                    self._fenced_at = now
                    self._enter(Step.WAITING, now)

    # Choose, check, promote.

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
                yield from self._fence_missing(now)
        elif self._fence.stepped_down:
            # The old primary alone has every commit, and takes no more.
            self._fence.narrow()
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
        confirmed_s = replica_sets.CONFIRMATION_TTL_S + CLOCK_MARGIN_S
        if not missing and hosts.is_over(now) and fence_s > confirmed_s:
            yield from self._begin_check(now)

    def _begin_check(self, now: float) -> Iterator[filters.Item]:
        """Makes sure that the duty is still ours and the fences hold."""
        if self._checks >= MAX_CHECKS:
            yield from self._fence_again(now)
            return
        if self._is_pointless(self._fence.choose()):
            yield from self._give_up("no staying replica is up to date", now)
            return
        self._checks += 1
        self._enter(Step.CHECKING, now)
        self._repeat_at = now + REPEAT_S
        self._check = check.Check(self._fence.term, self.old_primary, now)
        yield from self._check.begin(self._fence.ends)

    def _fence_again(self, now: float) -> Iterator[filters.Item]:
        """Fences what did not confirm that it is."""
        self._checks = 0
        self._fence.ends = dict(self._check.confirmed)
        self._enter(Step.FENCING, now)
        yield from self._fence_missing(now)

    def _is_pointless(self, chosen: str) -> bool:
        """Tells whether one leaving primary would follow another."""
        return (
            self.cause is causes.Cause.LEAVING
            and self._members[chosen].draining
            and chosen != self.old_primary
        )

    def _duty_read(
        self, item: store_items.KeyRead, duty: items.DutyView
    ) -> Iterator[filters.Item]:
        if self._step is not Step.CHECKING:
            return
        if not self._check.see_duty(item, duty):
            self.outcome = "duty lost"
            return
        yield from self._promote(duty, item.at)

    def _confirm(
        self,
        item: session_items.UpstreamCallCompleted,
        status: sessions.ReplicaStatus,
        duty: items.DutyView,
    ) -> Iterator[filters.Item]:
        leads = status.role is sessions.ReplicaRole.PRIMARY
        if leads and item.upstream != self.old_primary:
            self.target = item.upstream
            yield from self._lead_seen(item.upstream, status.term, item.at)
            return
        match self._check.see_status(item):
            case check.Finding.HOLDS:
                self._fence.ends[item.upstream] = status.received
                yield from self._promote(duty, item.at)
            case check.Finding.LOST:
                self._fence.ends.pop(item.upstream, None)
                self._enter(Step.FENCING, item.at)
                yield from self._fence_missing(item.at)
            case check.Finding.OVERTAKEN if self.target:
                # A call that had no answer was carried out.
                self._enter(Step.FOLLOWING, item.at)
                self._repeat_at = item.at
            case check.Finding.OVERTAKEN:
                self.outcome = "overtaken"

    def _promote(
        self, duty: items.DutyView, now: float
    ) -> Iterator[filters.Item]:
        """Promotes once everything is confirmed."""
        needed = min(len(self._fence.ends), self._fence.needed)
        enough = len(self._check.confirmed) >= needed
        if not enough or not self._check.is_duty_confirmed(now):
            return
        self.target = self._fence.choose()
        self._enter(Step.PROMOTING, now)
        self._repeat_at = now + LEAD_TIMEOUT_S
        yield store_items.CallPromotion(
            now, self._database, self.target, self._me, duty.token
        )

    def _promotion_answered(
        self, item: store_items.PromotionCompleted
    ) -> Iterator[filters.Item]:
        if self._step is not Step.PROMOTING or item.upstream != self.target:
            return
        if item.done is False:
            self._fence.ends.pop(self.target, None)
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
            yield from self._begin_check(now)

    def _tick_following(
        self, now: float, waited_s: float
    ) -> Iterator[filters.Item]:
        if waited_s > LEAD_TIMEOUT_S:
            self.outcome = "no leader seen"
        elif now >= self._repeat_at:
            self._repeat_at = now + LOOK_EVERY_S
            yield session_items.CallUpstream(
                now,
                self.target,
                sessions.GetStatus(),
                now + fence.CALL_TIMEOUT_S,
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
                yield session_items.CallUpstream(
                    now, upstream, sessions.Resume(), now + fence.CALL_TIMEOUT_S
                )
        if self._fence.stepped_down or not self.old_primary:
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
