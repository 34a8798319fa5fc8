"""Simulated delivery of promotion calls from the hosts to the platform.

A call may arrive late, and its answer may be lost. Its sender treats it as
unanswered after a timeout; the call still arrives, even if the sender has
stopped.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from fescueshunt.core import store_items

if TYPE_CHECKING:
    from fescueshunt_standins.hosted import replicas
    from lib import hosted_world

CALL_TIMEOUT_S = 0.8
ANSWER_DELAY_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """How one promotion call travels.

    Attributes:
      delay_s: the time until the call arrives at the platform, in seconds, if
        it isn't released earlier.
      is_answer_lost: whether the sender receives no answer.
    """

    delay_s: float = 0.0
    is_answer_lost: bool = False

    @property
    def is_answered_in_time(self) -> bool:
        """Whether the sender receives the answer before its timeout."""
        return not self.is_answer_lost and self.delay_s < CALL_TIMEOUT_S


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionEvent:
    """A promotion call that is sent or arrives, or a promotion in force."""

    at: float
    upstream: str
    token: int


class PromotionNetwork:
    """Carries promotion calls to the replica set and records what they do.

    Attributes:
      deliveries: how the next calls travel, in the order in which they are
        sent; the calls after them arrive at once and are answered.
      acknowledged_at: when clients received the acknowledgement of each commit.
      on_call: called with each call as it is sent.
      sent: the calls that were sent.
      arrived: the calls that arrived, also those that were refused.
      effects: the promotions that took effect.
      violations: the promotions that lost acknowledged commits.
    """

    def __init__(self, world: hosted_world.World) -> None:
        self.deliveries: collections.deque[Delivery] = collections.deque()
        self.acknowledged_at: Mapping[str, float] = {}
        self.on_call: Callable[[store_items.CallPromotion], None] | None = None
        self.sent: list[PromotionEvent] = []
        self.arrived: list[PromotionEvent] = []
        self.effects: list[PromotionEvent] = []
        self.violations: list[str] = []
        self._world = world
        self._in_flight: list[Callable[[], None]] = []

    @property
    def has_late_calls(self) -> bool:
        """Whether a call has been sent and has not arrived yet."""
        return bool(self._in_flight)

    def release_oldest(self) -> None:
        """Lets the oldest of the late calls arrive now, if there is one."""
        if self._in_flight:
            self._in_flight.pop(0)()

    def send(
        self,
        call: store_items.CallPromotion,
        on_answer: Callable[[store_items.PromotionCompleted], None],
    ) -> None:
        """Sends a call; `on_answer` receives its answer or its timeout."""
        self.sent.append(self._event(call))
        if self.on_call is not None:
            self.on_call(call)
        if self._world.promotion_answers_to_lose:
            self._world.promotion_answers_to_lose -= 1
            self._time_out(call, on_answer)
            return
        delivery = Delivery()
        if self.deliveries:
            delivery = self.deliveries.popleft()
        if not delivery.is_answered_in_time:
            self._time_out(call, on_answer)
        self._deliver(call, delivery, on_answer)

    def _event(self, call: store_items.CallPromotion) -> PromotionEvent:
        return PromotionEvent(self._world.now, call.upstream, call.token)

    def _time_out(
        self,
        call: store_items.CallPromotion,
        on_answer: Callable[[store_items.PromotionCompleted], None],
    ) -> None:
        answer = store_items.PromotionCompleted(
            self._world.now, call.database, call.upstream, None, "lost"
        )
        self._world.call_later(CALL_TIMEOUT_S, lambda: on_answer(answer))

    def _deliver(
        self,
        call: store_items.CallPromotion,
        delivery: Delivery,
        on_answer: Callable[[store_items.PromotionCompleted], None],
    ) -> None:
        def arrive() -> None:
            is_accepted = self._arrive(call)
            answer = store_items.PromotionCompleted(
                self._world.now, call.database, call.upstream, is_accepted, ""
            )
            if delivery.is_answered_in_time:
                self._world.call_later(
                    ANSWER_DELAY_S, lambda: on_answer(answer)
                )

        def arrive_unless_released() -> None:
            if arrive in self._in_flight:
                self._in_flight.remove(arrive)
                arrive()

        if delivery.delay_s:
            self._in_flight.append(arrive)
            self._world.call_later(delivery.delay_s, arrive_unless_released)
        else:
            arrive()

    def _arrive(self, call: store_items.CallPromotion) -> bool:
        """Carries out a call; returns False if the platform refuses it."""
        self.arrived.append(self._event(call))
        duration_s = self._world.promotion_time_s
        member = self._world.replicas.members.get(call.upstream)
        if member is not None and member.up:
            # Runs just before the promotion, which is scheduled next.
            self._world.call_later(
                duration_s, lambda: self._check_effect(call, member)
            )
        return self._world.replicas.promote(
            call.upstream, duration_s, self._world.now, call.token
        )

    def _check_effect(
        self, call: store_items.CallPromotion, member: replicas.Member
    ) -> None:
        """Records commits that a promotion which takes effect now loses."""
        if member.is_primary or not member.up:
            return
        self.effects.append(self._event(call))
        kept = {commit.tag for commit in member.log}
        lost = sorted(self.acknowledged_at.keys() - kept)
        if lost:
            self.violations.append(
                f"{len(lost)} acknowledged commits lost by the promotion of"
                f" {member.name} at {self._world.now:.3f}: {lost[:3]}"
            )
