"""Tests promotion calls that arrive late and whose answers are lost.

The platform carries out a call up to six seconds after it was sent, even if its
sender has stopped, restarted its attempt or lost the duty.
"""

from __future__ import annotations

from collections.abc import Callable

from fescueshunt.core import store_items
from lib import hosted_clients, hosted_world, promotion_network

WARM_UP_S = 3.0
MAX_WAIT_S = 12.0
# The time after the last fault in which writes must be served again.
RECOVERY_S = 20.0
SERVED_AGAIN_S = 2.0
WRITES_S = 0.3
LATE = promotion_network.Delivery(6.0, is_answer_lost=True)
MEMBERS = ("u0", "u1", "u2")


class Fleet:
    """Hosts with clients whose primary, u0, is lost or cut off."""

    def __init__(self, *deliveries: promotion_network.Delivery) -> None:
        self.world = hosted_world.World()
        self.world.run(1.0)
        self.history = hosted_clients.run_clients(self.world)
        self.world.run(WARM_UP_S)
        self.network = self.world.promotion_network
        self.network.deliveries.extend(deliveries)

    def cut_off(self, member: str) -> None:
        """Separates a member from the hosts and the other members."""
        others = (name for name in MEMBERS if name != member)
        self.world.partition(member, *others, *self.world.hosts)

    def cut_off_from_members(self, member: str) -> None:
        """Separates a member from the other members, not from the hosts."""
        others = (name for name in MEMBERS if name != member)
        self.world.partition(member, *others)

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Runs until the condition holds, at most for `MAX_WAIT_S`."""
        end = self.world.now + MAX_WAIT_S
        while not condition() and self.world.now < end:
            self.world.run(hosted_world.TICK_S / 4)

    def run_until_sent(self, count: int) -> None:
        self.run_until(lambda: len(self.network.sent) >= count)

    def run_until_called(self, upstream: str) -> None:
        self.run_until(
            lambda: upstream in {call.upstream for call in self.network.sent}
        )

    def run_until_arrived(self, count: int) -> None:
        self.run_until(lambda: len(self.network.arrived) >= count)

    def run_until_in_force(self, upstream: str) -> None:
        self.run_until(
            lambda: upstream in {effect.upstream for effect in self.effects}
        )

    @property
    def effects(self) -> list[promotion_network.PromotionEvent]:
        return self.network.effects

    @property
    def holder(self) -> str:
        return self.world.store.keys[store_items.DUTY_KEY].value

    def run_until_decided(self, event: str, count: int = 1) -> None:
        """Runs until the live hosts have logged an event `count` times."""
        self.run_until(lambda: self._count_decisions(event) >= count)

    def run_until_written(self) -> None:
        """Runs until the hosts have served writes again for a while."""
        since = self.world.now
        acks = self.history.acknowledged_at
        self.run_until(
            lambda: (
                any(at > since for at in acks.values())
                or not self.network.has_late_calls
            )
        )
        self.world.run(WRITES_S)

    def _count_decisions(self, event: str) -> int:
        return sum(
            decision.event == event
            for host in self.world.hosts.values()
            for decision in host.decisions
        )

    def check(self) -> None:
        """Checks all answers, and that writes are served again at the end."""
        self.world.run(RECOVERY_S)
        assert hosted_clients.find_violations(self.world, self.history) == []
        last_ack_at = max(self.history.acknowledged_at.values())
        assert last_ack_at > self.world.now - SERVED_AGAIN_S


# Guards against lost commits: the calls of two holders take effect in turn.
def test_calls_of_two_holders_for_different_upstreams_lose_no_commit():
    fleet = Fleet(LATE, LATE, LATE, LATE)
    fleet.cut_off("u0")
    fleet.run_until_sent(1)
    fleet.world.kill_host(fleet.holder)
    fleet.world.crash("u1")
    fleet.world.run(1.0)
    fleet.world.heal()
    fleet.run_until_decided("fenced")
    fleet.world.restart("u1")
    fleet.run_until_sent(2)
    fleet.network.release_oldest()
    fleet.run_until_in_force("u1")
    fleet.world.partition("u1", "u2")
    fleet.run_until_written()
    fleet.network.release_oldest()
    fleet.run_until_in_force("u2")
    fleet.world.heal()
    fleet.check()


# Guards against a token that goes back: a dead holder's call arrives last.
def test_call_of_former_holder_does_not_arrive_after_that_of_the_next():
    fleet = Fleet(LATE)
    fleet.world.crash("u0")
    fleet.run_until_sent(1)
    fleet.world.kill_host(fleet.holder)
    fleet.run_until_arrived(1)
    fleet.network.release_oldest()
    fleet.run_until_arrived(2)
    fleet.check()


# Guards against lost commits: an unanswered call takes effect after another.
def test_unanswered_call_takes_no_effect_after_the_call_for_another_upstream():
    fleet = Fleet(LATE)
    fleet.cut_off("u0")
    fleet.run_until_sent(1)
    fleet.world.crash("u1")
    fleet.world.heal()
    fleet.run_until_decided("fenced", 2)
    fleet.world.restart("u1")
    fleet.cut_off_from_members("u1")
    fleet.run_until_in_force("u2")
    fleet.run_until_written()
    fleet.network.release_oldest()
    fleet.run_until_in_force("u1")
    fleet.world.heal()
    fleet.check()


# Guards against lost commits: a refusal restores a primary amid an open call.
def test_refused_call_does_not_undo_an_unanswered_one():
    fleet = Fleet(LATE)
    fleet.cut_off("u0")
    fleet.run_until_sent(1)
    fleet.network.on_call = lambda call: fleet.world.crash("u1")
    fleet.run_until_sent(2)
    fleet.network.on_call = None
    fleet.world.heal()
    fleet.world.run(0.2)
    fleet.world.restart("u1")
    fleet.cut_off_from_members("u1")
    fleet.run_until_written()
    fleet.network.release_oldest()
    fleet.run_until_in_force("u1")
    fleet.world.heal()
    fleet.check()


# Guards against lost commits: a replacement is given up despite an open call.
def test_planned_replacement_that_is_given_up_does_not_undo_its_call():
    fleet = Fleet(LATE)
    fleet.world.draining.update(("u0", "u2"))
    fleet.world.publish_entries()
    fleet.run_until_sent(1)
    fleet.world.crash("u1")
    fleet.run_until_called("u2")
    fleet.world.restart("u1")
    fleet.cut_off_from_members("u1")
    fleet.run_until_written()
    fleet.network.release_oldest()
    fleet.run_until_in_force("u1")
    fleet.world.heal()
    fleet.check()


# Guards against a token that goes back: a call arrives after its duty ends.
def test_call_does_not_outlive_the_duty_that_its_holder_gave_up():
    fleet = Fleet(LATE)
    fleet.cut_off("u0")
    fleet.run_until_sent(1)
    fleet.world.crash("u1")
    fleet.run_until_decided("duty_given_up")
    fleet.world.heal()
    fleet.world.restart("u1")
    fleet.run_until_arrived(1)
    fleet.network.release_oldest()
    fleet.run_until_arrived(2)
    fleet.check()


# Guards against lost commits: a repeated call arrives after a failover.
def test_call_that_was_repeated_takes_no_effect_after_a_later_failover():
    fleet = Fleet(LATE)
    fleet.world.crash("u0")
    fleet.run_until_in_force("u1")
    fleet.run_until_written()
    fleet.world.restart("u0")
    fleet.world.crash("u1")
    fleet.run_until(lambda: fleet.effects[-1].upstream != "u1")
    fleet.world.restart("u1")
    fleet.cut_off_from_members("u1")
    fleet.run_until_written()
    fleet.network.release_oldest()
    fleet.run_until(lambda: fleet.effects[-1].upstream == "u1")
    fleet.world.heal()
    fleet.check()
