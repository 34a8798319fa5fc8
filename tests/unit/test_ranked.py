"""Tests of the schedule of ranks: floors, bounds and what is refused."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueshunt.core import ranked
from lib import works

SERVICE_S = 0.04


def stream(rank, rate, seconds, caller="c", start=0.0):
    count = int(rate * seconds)
    return [
        works.work(start + n / rate, rank, f"{caller}{n % 5}")
        for n in range(count)
    ]


def served(arrivals, seconds, slots=2):
    server = works.Server(ranked.PriorityScheduler(), slots, SERVICE_S)
    ordered = sorted(arrivals, key=lambda found: found.at)
    server.run(ordered, seconds)
    return server


def in_target(server, rank, offered):
    starts = [(at, found) for at, found in server.started if found.rank == rank]
    met = sum(
        at + SERVICE_S <= found.at + rank.target_s + 1e-9
        for at, found in starts
    )
    return met / offered


def test_urgent_work_meets_its_target_in_a_flood_of_the_lowest():
    urgent = stream(works.URGENT, 25, 10)
    flood = stream(works.HISTORY, 500, 10)
    server = served(urgent + flood, 10)
    assert in_target(server, works.URGENT, len(urgent)) >= 0.99


@pytest.mark.parametrize("slots", [2, 5])
def test_lower_ranks_keep_their_floors_in_a_flood_of_urgent_work(slots):
    capacity = slots / SERVICE_S
    floods = [stream(rank, capacity * 10, 10) for rank in works.RANKS]
    server = served(sum(floods, []), 10, slots)
    for rank in works.RANKS[1:]:
        kept = server.served(rank, 2, 10) / (8 * capacity * rank.floor)
        assert kept >= 0.9, rank.name


def test_goodput_does_not_fall_in_a_flood_of_urgent_work():
    capacity = 2 / SERVICE_S
    goods = []
    for factor in (1, 2, 10):
        offered = stream(works.URGENT, capacity * factor, 10)
        server = served(offered, 10)
        goods.append(
            in_target(server, works.URGENT, len(offered)) * len(offered)
        )
    assert min(goods) >= 0.9 * max(goods)


def test_what_is_refused_is_refused_at_once_with_a_retry_after():
    server = served(stream(works.URGENT, 500, 2), 2)
    assert server.refused
    at_once = sum(at == found.at for at, found in server.refused)
    assert at_once >= 0.9 * len(server.refused)
    wait_s = server.queue.offer(
        works.work(server.now), server.now, server.slots
    )
    assert wait_s is None or wait_s > 0


def test_a_caller_that_floods_leaves_the_others_their_turn():
    flood = stream(works.URGENT, 500, 5, "flood")
    other = [works.work(n / 10, caller="other") for n in range(50)]
    server = served(flood + other, 5)
    met = [f for _, f in server.started if f.req.caller == "other"]
    assert len(met) >= 49


def test_ceiling_bounds_the_slots_of_a_rank():
    rank = dataclasses.replace(works.URGENT, ceiling=0.4)
    queue = ranked.PriorityScheduler()
    server = works.Server(queue, 5, SERVICE_S)
    server.run([works.work(0.0, rank) for _ in range(5)], 0.0)
    assert server.by_rank[0] == 2


def test_work_in_doubt_is_never_refused_for_its_wait():
    server = served(stream(works.URGENT, 500, 2), 2)
    doubtful = works.work(server.now - 1, in_doubt=True)
    assert server.queue.offer(doubtful, server.now, server.slots) is None


def test_late_arrivals_run_once_nothing_fresh_waits():
    late = [works.work(-1.0 + n / 1000) for n in range(20)]
    server = works.Server(ranked.PriorityScheduler(), 2, SERVICE_S)
    for found in late:
        server.queue.offer(found, 0.0, server.slots)
    server.run([], 0.0)
    server.run([works.work(0.01, caller="fresh")], 2.0)
    fresh_at = next(
        at for at, found in server.started if found.req.caller == "fresh"
    )
    assert fresh_at <= SERVICE_S
    assert len(server.started) == 21


@settings(max_examples=60, deadline=None)
@given(
    slots=st.integers(1, 6),
    arrivals=st.lists(
        st.tuples(
            st.floats(0, 2),
            st.sampled_from(works.RANKS),
            st.sampled_from("abc"),
            st.booleans(),
        ),
        max_size=150,
    ),
)
def test_no_slot_is_idle_while_work_waits(slots, arrivals):
    server = works.Server(ranked.PriorityScheduler(), slots, SERVICE_S)
    offered = [
        works.work(at, rank, caller, in_doubt=doubt)
        for at, rank, caller, doubt in sorted(arrivals, key=lambda a: a[0])
    ]
    for found in offered:
        server.run([found], found.at)
        assert len(server.ends) == slots or not len(server.queue)
        queued = len(server.queue)
        assert queued + len(server.started) + len(server.refused) <= len(
            offered
        )
    server.run([], 60)
    ended = [f.key for _, f in server.started + server.refused]
    assert sorted(ended) == [found.key for found in offered]


@settings(max_examples=30, deadline=None)
@given(
    slots=st.integers(1, 5),
    factors=st.tuples(
        st.floats(0.2, 10), st.floats(0.2, 10), st.floats(0.2, 10)
    ),
)
def test_floors_hold_for_any_mix_of_rates(slots, factors):
    capacity = slots / SERVICE_S
    offered = [
        stream(rank, capacity * factor, 12)
        for rank, factor in zip(works.RANKS, factors, strict=True)
    ]
    server = served(sum(offered, []), 12, slots)
    for rank, factor in zip(works.RANKS, factors, strict=True):
        owed = 8 * capacity * min(rank.floor, factor)
        assert server.served(rank, 4, 12) >= 0.9 * owed - 1
