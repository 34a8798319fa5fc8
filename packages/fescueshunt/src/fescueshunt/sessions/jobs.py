"""Makes the jobs that run clients' statements at upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import routes, sessions
from fescueshunt.sessions import items

if TYPE_CHECKING:
    from fescueshunt.sessions import session as client_session

# The fraction of its latency objective that a statement may wait in the queue.
MAX_WAIT_SHARE = 0.5


def make_job(
    session: client_session.Session,
    statement: sessions.Statement,
    route: routes.Route,
    prepared: sessions.Prepared | None,
    account: str,
    now: float,
) -> items.StatementJob:
    """Returns the job that runs `statement` of `session` under `route`.

    Args:
      session: the client's session.
      statement: the statement.
      route: the route in force for it.
      prepared: the prepared statement to run, or None.
      account: the client account that it belongs to, or "".
      now: the current time; local clock, seconds.
    """
    in_transaction = session.state is sessions.TransactionState.OPEN
    writes = statement.verb is sessions.Verb.WRITE or (
        prepared is not None and prepared.writes
    )
    # The position for a transaction goes with its BEGIN, which is short.
    may_read_replica = not writes and (
        session.read_only if in_transaction else statement.fits_min_position
    )
    begins = in_transaction and not session.begun_upstream
    primary_reads = route.consistency is routes.Consistency.PRIMARY
    own_writes = route.consistency is routes.Consistency.OWN_WRITES
    max_wait_s = min(route.target_s * MAX_WAIT_SHARE, route.timeout_s)
    return items.StatementJob(
        client=session.client,
        account=account or session.key.hex(),
        statement=statement,
        route=route,
        rank=route.rank,
        settings=sessions.SessionSettings(session.values, session.prepared),
        prepared=prepared,
        arrived_at=now,
        read_started_at=session.began_at if in_transaction else now,
        max_wait_s=max_wait_s,
        queue_deadline=now + max_wait_s,
        answer_deadline=now + route.timeout_s,
        begin_statement=session.begin_statement if begins else None,
        in_transaction=in_transaction,
        read_only=in_transaction and session.read_only,
        needs_primary=primary_reads or not may_read_replica,
        writes=writes,
        has_written=in_transaction and session.has_written,
        own_commit_position=session.last_commit if own_writes else None,
        connection_account=account,
    )
