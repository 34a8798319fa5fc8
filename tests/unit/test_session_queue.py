"""Statements under heavy load: who waits, who is refused, who goes first."""

from __future__ import annotations

import pytest

from fescueshunt.core import routes
from fescueshunt.sessions import moves, queue
from lib import session_load

# Two connections to the primary.
CAPACITY = 2 / session_load.SERVICE_S
MOVE_S = 0.4


def _share_in_target(ended: list[session_load.Ended]) -> float:
    return sum(one.is_in_target for one in ended) / len(ended)


def test_burst_of_the_lowest_rank_leaves_urgent_work_its_target():
    host = session_load.Host()
    host.run(10.0, {0: CAPACITY / 4, 2: CAPACITY * 5})
    assert _share_in_target(host.of(0)) >= 0.99


@pytest.mark.parametrize("priority", [1, 2])
def test_burst_of_urgent_work_leaves_lower_ranks_their_floors(priority: int):
    host = session_load.Host()
    host.run(10.0, {0: CAPACITY * 3, 1: CAPACITY, 2: CAPACITY})
    served = sum(not one.why for one in host.of(priority))
    assert served >= 0.9 * routes.LOWER_RANK_FLOOR * CAPACITY * 10.0


def test_burst_of_all_ranks_keeps_the_goodput_of_a_full_load():
    goods = []
    for factor in (1.0, 3.0, 10.0):
        host = session_load.Host()
        rate = CAPACITY * factor / 3
        host.run(8.0, {0: rate, 1: rate, 2: rate})
        goods.append(sum(one.is_in_target for one in host.ended))
    assert min(goods) >= 0.9 * max(goods)


def test_retry_storm_is_refused_at_once_and_not_after_a_wait():
    host = session_load.Host()
    host.run(4.0, {0: CAPACITY * 10})
    refused = [one for one in host.ended if one.why == queue.NOT_IN_TIME]
    waited = [one.at - one.work.arrived_at for one in refused]
    at_once = sum(wait_s < session_load.STEP_S for wait_s in waited)
    assert at_once >= 0.9 * len(refused)


def test_flood_of_one_account_leaves_the_others_their_turn():
    host = session_load.Host()
    asked = session_load.route(0)
    for turn in range(800):
        for _ in range(20):
            host.offer(asked, "flood")
        if turn % 20 == 0:
            host.offer(asked, "other")
        host.step()
    others = [e for e in host.ended if e.work.account == "other"]
    assert others
    assert _share_in_target(others) >= 0.95


def test_return_after_a_short_move_serves_what_waited_for_it():
    host = session_load.Host()
    _move(host)
    host.run(host.now + 1.0, {0: CAPACITY / 4})
    before = len(host.ended)
    host.see("")
    host.offer(session_load.route(0))
    end = host.now + MOVE_S
    while host.now < end:
        host.step()
    assert len(host.ended) == before
    host.see(session_load.PRIMARY)
    for _ in range(20):
        host.step()
    assert [one.why for one in host.ended[before:]] == [""]


def test_a_move_that_outlasts_the_timeout_refuses_at_once():
    host = session_load.Host()
    host.see("")
    host.offer(session_load.route(0))
    host.step()
    (ended,) = host.ended
    assert ended.why == "primary is being replaced"
    assert moves.FIRST_MOVE_S > session_load.TIMEOUT_S


def test_a_move_that_takes_far_longer_than_the_last_one_holds_nobody():
    host = session_load.Host()
    _move(host)
    host.see("")
    host.offer(session_load.route(0))
    while host.now < 3.0 and not host.ended:
        host.step()
    (ended,) = host.ended
    waited_s = ended.at - ended.work.arrived_at
    assert waited_s <= MOVE_S * moves.OVERRUN + 2 * session_load.STEP_S


def _move(host: session_load.Host) -> None:
    """Lets the host see one whole move, which tells how long they take."""
    host.see("")
    end = host.now + MOVE_S
    while host.now < end:
        host.step()
    host.see(session_load.PRIMARY)
