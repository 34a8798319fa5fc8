"""The statement queue under overload and during a failover.

Statements of urgent ranks must meet their targets while other ranks keep their
floors, and statements that cannot be served in time must be rejected early.
"""

from __future__ import annotations

import pytest

from fescueshunt.core import routes
from fescueshunt.sessions import moves, queue
from lib import session_load

# Statements per second over the two connections to the primary.
CAPACITY = 2 / session_load.SERVICE_S
FAILOVER_S = 0.4


def _share_in_target(outcomes: list[session_load.Outcome]) -> float:
    return sum(outcome.met_target for outcome in outcomes) / len(outcomes)


def test_burst_of_lowest_rank_does_not_delay_urgent_statements():
    host = session_load.Host()
    host.run_until(10.0, {0: CAPACITY / 4, 2: CAPACITY * 5})
    assert _share_in_target(host.outcomes_of_rank(0)) >= 0.99


@pytest.mark.parametrize("priority", [1, 2])
def test_burst_of_urgent_statements_keeps_floors_of_lower_ranks(priority: int):
    host = session_load.Host()
    host.run_until(10.0, {0: CAPACITY * 3, 1: CAPACITY, 2: CAPACITY})
    served = sum(
        not outcome.rejection_reason
        for outcome in host.outcomes_of_rank(priority)
    )
    assert served >= 0.9 * routes.LOWER_RANK_FLOOR * CAPACITY * 10.0


def test_burst_of_all_ranks_keeps_goodput_of_full_load():
    in_target_counts = []
    for factor in (1.0, 3.0, 10.0):
        host = session_load.Host()
        rate = CAPACITY * factor / 3
        host.run_until(8.0, {0: rate, 1: rate, 2: rate})
        in_target_counts.append(
            sum(outcome.met_target for outcome in host.outcomes)
        )
    assert min(in_target_counts) >= 0.9 * max(in_target_counts)


def test_retry_storm_is_rejected_on_arrival():
    host = session_load.Host()
    host.run_until(4.0, {0: CAPACITY * 10})
    refused = [
        outcome
        for outcome in host.outcomes
        if outcome.rejection_reason == queue.QUEUE_TOO_LONG
    ]
    waits_s = [outcome.at - outcome.job.arrived_at for outcome in refused]
    at_once = sum(wait_s < session_load.STEP_S for wait_s in waits_s)
    assert at_once >= 0.9 * len(refused)


def test_flood_of_one_account_does_not_delay_other_accounts():
    host = session_load.Host()
    route = session_load.make_route(0)
    for turn in range(800):
        for _ in range(20):
            host.submit(route, "flood")
        if turn % 20 == 0:
            host.submit(route, "other")
        host.advance()
    others = [
        outcome for outcome in host.outcomes if outcome.job.account == "other"
    ]
    assert others
    assert _share_in_target(others) >= 0.95


def test_statement_waiting_for_short_failover_is_served():
    host = session_load.Host()
    _run_failover(host)
    host.run_until(host.now + 1.0, {0: CAPACITY / 4})
    before = len(host.outcomes)
    host.set_primary("")
    host.submit(session_load.make_route(0))
    end = host.now + FAILOVER_S
    while host.now < end:
        host.advance()
    assert len(host.outcomes) == before
    host.set_primary(session_load.PRIMARY)
    for _ in range(20):
        host.advance()
    assert [outcome.rejection_reason for outcome in host.outcomes[before:]] == [
        ""
    ]


def test_failover_longer_than_timeout_rejects_at_once():
    host = session_load.Host()
    host.set_primary("")
    host.submit(session_load.make_route(0))
    host.advance()
    (outcome,) = host.outcomes
    assert outcome.rejection_reason == "primary is being replaced"
    assert moves.INITIAL_ESTIMATE_S > session_load.TIMEOUT_S


def test_failover_much_longer_than_last_one_rejects_waiting():
    host = session_load.Host()
    _run_failover(host)
    host.set_primary("")
    host.submit(session_load.make_route(0))
    while host.now < 3.0 and not host.outcomes:
        host.advance()
    (outcome,) = host.outcomes
    waited_s = outcome.at - outcome.job.arrived_at
    assert (
        waited_s
        <= FAILOVER_S * moves.MAX_OVERRUN_FACTOR + 2 * session_load.STEP_S
    )


def _run_failover(host: session_load.Host) -> None:
    """Simulates one complete failover, so that the host learns its duration."""
    host.set_primary("")
    end = host.now + FAILOVER_S
    while host.now < end:
        host.advance()
    host.set_primary(session_load.PRIMARY)
