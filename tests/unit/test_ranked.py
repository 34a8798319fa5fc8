"""Tests of the priority scheduler: floors, ceilings and refused jobs."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueshunt.core import ranked
from lib import work_factory

SERVICE_S = 0.04


def stream(rank, rate, seconds, caller="c", start=0.0):
    count = int(rate * seconds)
    return [
        work_factory.make_work(start + n / rate, rank, f"{caller}{n % 5}")
        for n in range(count)
    ]


def run_server(arrivals, seconds, slots=2):
    server = work_factory.SlotServer(
        ranked.PriorityScheduler(), slots, SERVICE_S
    )
    ordered = sorted(arrivals, key=lambda job: job.at)
    server.run(ordered, seconds)
    return server


def share_in_target(server, rank, offered):
    starts = [(at, job) for at, job in server.started if job.rank == rank]
    met = sum(
        at + SERVICE_S <= job.at + rank.target_s + 1e-9 for at, job in starts
    )
    return met / offered


def test_urgent_jobs_meet_their_target_under_a_flood_of_the_lowest_rank():
    urgent = stream(work_factory.URGENT, 25, 10)
    flood = stream(work_factory.HISTORY, 500, 10)
    server = run_server(urgent + flood, 10)
    assert share_in_target(server, work_factory.URGENT, len(urgent)) >= 0.99


@pytest.mark.parametrize("slots", [2, 5])
def test_lower_ranks_keep_their_floors_under_a_flood_of_urgent_jobs(slots):
    capacity = slots / SERVICE_S
    floods = [stream(rank, capacity * 10, 10) for rank in work_factory.RANKS]
    server = run_server(sum(floods, []), 10, slots)
    for rank in work_factory.RANKS[1:]:
        ratio = server.served(rank, 2, 10) / (8 * capacity * rank.floor)
        assert ratio >= 0.9, rank.name


def test_goodput_does_not_fall_under_a_flood_of_urgent_jobs():
    capacity = 2 / SERVICE_S
    goodputs = []
    for factor in (1, 2, 10):
        offered = stream(work_factory.URGENT, capacity * factor, 10)
        server = run_server(offered, 10)
        goodputs.append(
            share_in_target(server, work_factory.URGENT, len(offered))
            * len(offered)
        )
    assert min(goodputs) >= 0.9 * max(goodputs)


def test_jobs_are_refused_on_arrival_with_a_retry_delay():
    server = run_server(stream(work_factory.URGENT, 500, 2), 2)
    assert server.refused
    on_arrival = sum(at == job.at for at, job in server.refused)
    assert on_arrival >= 0.9 * len(server.refused)
    wait_s = server.queue.offer(
        work_factory.make_work(server.now), server.now, server.slots
    )
    assert wait_s is None or wait_s > 0


def test_flooding_caller_does_not_starve_other_callers():
    flood = stream(work_factory.URGENT, 500, 5, "flood")
    other = [work_factory.make_work(n / 10, caller="other") for n in range(50)]
    server = run_server(flood + other, 5)
    started = [job for _, job in server.started if job.req.caller == "other"]
    assert len(started) >= 49


def test_ceiling_bounds_the_slots_of_a_rank():
    rank = dataclasses.replace(work_factory.URGENT, ceiling=0.4)
    queue = ranked.PriorityScheduler()
    server = work_factory.SlotServer(queue, 5, SERVICE_S)
    server.run([work_factory.make_work(0.0, rank) for _ in range(5)], 0.0)
    assert server.by_rank[0] == 2


def test_job_in_doubt_is_never_refused_for_its_wait():
    server = run_server(stream(work_factory.URGENT, 500, 2), 2)
    job = work_factory.make_work(server.now - 1, in_doubt=True)
    assert server.queue.offer(job, server.now, server.slots) is None


def test_late_jobs_run_once_no_job_within_its_target_is_queued():
    late = [work_factory.make_work(-1.0 + n / 1000) for n in range(20)]
    server = work_factory.SlotServer(ranked.PriorityScheduler(), 2, SERVICE_S)
    for job in late:
        server.queue.offer(job, 0.0, server.slots)
    server.run([], 0.0)
    server.run([work_factory.make_work(0.01, caller="fresh")], 2.0)
    fresh_at = next(
        at for at, job in server.started if job.req.caller == "fresh"
    )
    assert fresh_at <= SERVICE_S
    assert len(server.started) == 21


@settings(max_examples=60, deadline=None)
@given(
    slots=st.integers(1, 6),
    arrivals=st.lists(
        st.tuples(
            st.floats(0, 2),
            st.sampled_from(work_factory.RANKS),
            st.sampled_from("abc"),
            st.booleans(),
        ),
        max_size=150,
    ),
)
def test_no_slot_is_idle_while_jobs_are_queued(slots, arrivals):
    server = work_factory.SlotServer(
        ranked.PriorityScheduler(), slots, SERVICE_S
    )
    offered = [
        work_factory.make_work(at, rank, caller, in_doubt=in_doubt)
        for at, rank, caller, in_doubt in sorted(arrivals, key=lambda a: a[0])
    ]
    for job in offered:
        server.run([job], job.at)
        assert len(server.releases) == slots or not len(server.queue)
        queued = len(server.queue)
        assert queued + len(server.started) + len(server.refused) <= len(
            offered
        )
    server.run([], 60)
    ended = [ended_job.key for _, ended_job in server.started + server.refused]
    assert sorted(ended) == [job.key for job in offered]


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
        for rank, factor in zip(work_factory.RANKS, factors, strict=True)
    ]
    server = run_server(sum(offered, []), 12, slots)
    for rank, factor in zip(work_factory.RANKS, factors, strict=True):
        guaranteed = 8 * capacity * min(rank.floor, factor)
        assert server.served(rank, 4, 12) >= 0.9 * guaranteed - 1
