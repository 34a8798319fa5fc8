"""Statements at a member of a replica set, as one connection runs them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

from fescueshunt.core import sessions

if TYPE_CHECKING:
    from fescueshunt_standins.hosted import replicas

IDLE = sessions.TransactionState.IDLE
OPEN = sessions.TransactionState.OPEN
FAILED = sessions.TransactionState.FAILED

Reply = Callable[..., None]


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamSession:
    """The state of a connection to a member.

    Attributes:
      plain: whether its transaction may write.
      tags: what its transaction has written.
      values: the session values that were set.
      prepared: the names of the prepared statements.
    """

    member: replicas.Member
    state: sessions.TransactionState = IDLE
    plain: bool = False
    tags: list[str] = dataclasses.field(default_factory=list)
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, sessions.Prepared] = dataclasses.field(
        default_factory=dict
    )

    def roll_back(self) -> None:
        """Forgets what the open transaction did."""
        self.state = IDLE
        self.tags = []


def run(
    group: replicas.ReplicaSet,
    session: UpstreamSession,
    call: sessions.UpstreamCall,
    reply: Reply,
) -> None:
    """Runs `call`; `reply(failure, rows, status)` is called once."""
    member = session.member
    match call:
        case sessions.GetStatus():
            reply(status=member.status())
        case sessions.Pause():
            group.pause(member, call.term)
            reply(status=member.status())
        case sessions.Resume():
            member.held_term = 0
            reply(status=member.status())
        case sessions.StepDown():
            group.step_down(member, call.term)
            reply(status=member.status())
        case sessions.SetValue():
            session.values[call.name] = call.value
            reply()
        case sessions.Prepare():
            session.prepared[call.name] = call.prepared
            reply()
        case sessions.Reset():
            session.values.clear()
            session.prepared.clear()
            reply()
        case sessions.Begin():
            _begin(session, call, reply)
        case sessions.Rollback():
            session.roll_back()
            reply()
        case sessions.RunStatement():
            _execute(group, session, call.statement, call.min_position, reply)
        case sessions.RunPrepared():
            _run_prepared(group, session, call, reply)


def _begin(
    session: UpstreamSession, call: sessions.Begin, reply: Reply
) -> None:
    member = session.member
    plain = not call.statement.read_only
    if plain and not member.is_primary:
        reply(sessions.Failure.READ_ONLY)
    elif call.min_position is not None and not member.holds(call.min_position):
        reply(sessions.Failure.LAGGING)
    else:
        session.state, session.plain = OPEN, plain
        reply()


def _run_prepared(
    group: replicas.ReplicaSet,
    session: UpstreamSession,
    call: sessions.RunPrepared,
    reply: Reply,
) -> None:
    prepared = session.prepared.get(call.name)
    if prepared is None:
        reply(sessions.Failure.NO_STATEMENT)
        return
    verb = sessions.Verb.WRITE if prepared.writes else sessions.Verb.READ
    statement = dataclasses.replace(call.statement, verb=verb)
    _execute(group, session, statement, call.min_position, reply)


def _execute(
    group: replicas.ReplicaSet,
    session: UpstreamSession,
    statement: sessions.Statement,
    since: object,
    reply: Reply,
) -> None:
    member = session.member
    in_transaction = session.state is OPEN
    deposed = in_transaction and session.plain and not member.is_primary
    match statement.verb:
        case sessions.Verb.COMMIT:
            _commit(group, session, deposed, reply)
        case _ if deposed:
            session.state = FAILED
            reply(sessions.Failure.READ_ONLY)
        case sessions.Verb.READ:
            if since is not None and not member.holds(since):
                reply(sessions.Failure.LAGGING)
            else:
                rows = tuple(c.tag for c in member.log[: member.applied])
                reply(rows=rows)
        case sessions.Verb.WRITE if in_transaction:
            session.tags.append(statement.argument)
            reply()
        case sessions.Verb.WRITE if not member.is_primary:
            reply(sessions.Failure.READ_ONLY)
        case sessions.Verb.WRITE:
            group.commit(member, [statement.argument], reply)
        case _:
            reply(sessions.Failure.INVALID)


def _commit(
    group: replicas.ReplicaSet,
    session: UpstreamSession,
    deposed: bool,
    reply: Reply,
) -> None:
    tags, session.tags = session.tags, []
    if not tags or deposed:
        session.state = IDLE
        reply(sessions.Failure.READ_ONLY if tags else None)
        return

    def done() -> None:
        session.state = IDLE
        reply()

    group.commit(session.member, tags, done)
