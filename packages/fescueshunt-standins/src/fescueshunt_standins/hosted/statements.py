"""Executes statements of upstream connections on a replica set's member."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions

if TYPE_CHECKING:
    from fescueshunt_standins.hosted import replicas

IDLE = sessions.TransactionState.IDLE
OPEN = sessions.TransactionState.OPEN
FAILED = sessions.TransactionState.FAILED

ReplyCallback = Callable[..., None]


@dataclasses.dataclass(slots=True, eq=False)
class UpstreamSession:
    """The state of a connection to a replica set's member.

    Attributes:
      member: the member that serves the connection.
      state: the state of the connection's transaction.
      may_write: whether the open transaction may write.
      written_tags: the tags that the open transaction has written.
      values: the session variables by name.
      prepared: the prepared statements by name.
    """

    member: replicas.Member
    state: sessions.TransactionState = IDLE
    may_write: bool = False
    written_tags: list[str] = dataclasses.field(default_factory=list)
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, sessions.Prepared] = dataclasses.field(
        default_factory=dict
    )

    def roll_back(self) -> None:
        """Discards the writes of the open transaction."""
        self.state = IDLE
        self.written_tags = []


def run(
    replica_set: replicas.ReplicaSet,
    session: UpstreamSession,
    call: sessions.UpstreamCall,
    reply: ReplyCallback,
) -> None:
    """Runs a call of a proxy.

    Args:
      replica_set: the replica set of the session's member.
      session: the connection on which the call arrived.
      call: the call to run.
      reply: called once with `failure`, `rows` and `status`, each optional. For
        writes outside a transaction and for commits with writes, it is called
        after a replica has received the log entries.
    """
    member = session.member
    match call:
        case sessions.GetStatus():
            reply(status=member.status())
        case sessions.Pause():
            replica_set.pause(member, call.term)
            reply(status=member.status())
        case sessions.Resume():
            member.paused_term = 0
            reply(status=member.status())
        case sessions.StepDown():
            replica_set.step_down(member, call.term)
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
            _execute(
                replica_set, session, call.statement, call.min_position, reply
            )
        case sessions.RunPrepared():
            _run_prepared(replica_set, session, call, reply)


def _begin(
    session: UpstreamSession, call: sessions.Begin, reply: ReplyCallback
) -> None:
    member = session.member
    may_write = not call.statement.read_only
    if may_write and not member.is_primary:
        reply(failures.Failure.READ_ONLY)
    elif call.min_position is not None and not member.has_applied(
        call.min_position
    ):
        reply(failures.Failure.LAGGING)
    else:
        session.state, session.may_write = OPEN, may_write
        reply()


def _run_prepared(
    replica_set: replicas.ReplicaSet,
    session: UpstreamSession,
    call: sessions.RunPrepared,
    reply: ReplyCallback,
) -> None:
    prepared = session.prepared.get(call.name)
    if prepared is None:
        reply(failures.Failure.NO_STATEMENT)
        return
    verb = sessions.Verb.WRITE if prepared.writes else sessions.Verb.READ
    statement = dataclasses.replace(call.statement, verb=verb)
    _execute(replica_set, session, statement, call.min_position, reply)


def _execute(
    replica_set: replicas.ReplicaSet,
    session: UpstreamSession,
    statement: sessions.Statement,
    min_position: object,
    reply: ReplyCallback,
) -> None:
    member = session.member
    in_transaction = session.state is OPEN
    lost_primary_role = (
        in_transaction and session.may_write and not member.is_primary
    )
    match statement.verb:
        case sessions.Verb.COMMIT:
            _commit(replica_set, session, lost_primary_role, reply)
        case _ if lost_primary_role:
            session.state = FAILED
            reply(failures.Failure.READ_ONLY)
        case sessions.Verb.READ:
            if min_position is not None and not member.has_applied(
                min_position
            ):
                reply(failures.Failure.LAGGING)
            else:
                rows = tuple(
                    entry.tag for entry in member.log[: member.applied]
                )
                reply(rows=rows)
        case sessions.Verb.WRITE if in_transaction:
            session.written_tags.append(statement.argument)
            reply()
        case sessions.Verb.WRITE if not member.is_primary:
            reply(failures.Failure.READ_ONLY)
        case sessions.Verb.WRITE:
            replica_set.commit(member, [statement.argument], reply)
        case _:
            reply(failures.Failure.INVALID)


def _commit(
    replica_set: replicas.ReplicaSet,
    session: UpstreamSession,
    lost_primary_role: bool,
    reply: ReplyCallback,
) -> None:
    written_tags, session.written_tags = session.written_tags, []
    if not written_tags or lost_primary_role:
        session.state = IDLE
        reply(failures.Failure.READ_ONLY if written_tags else None)
        return

    def reply_committed() -> None:
        session.state = IDLE
        reply()

    replica_set.commit(session.member, written_tags, reply_committed)
