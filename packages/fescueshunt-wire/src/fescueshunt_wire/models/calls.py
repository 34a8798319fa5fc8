"""Models of log positions, SQL statements and calls to upstreams."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import position, request, upstream
from fescueshunt_wire import platform, replication
from fescueshunt_wire.models import base

MAX_STATEMENTS = 1024
MAX_BRANCHES = 4096
MAX_SQL_CHARS = 1 << 16

INT64_BOUND = 1 << 63
Int64 = Annotated[int, pydantic.Field(ge=-INT64_BOUND, lt=INT64_BOUND)]
Value = None | bool | Int64 | float | str | bytes
Values = tuple[Value, ...]


class TermModel(base.Model):
    """A term of leadership in a database group."""

    data_class = position.Term
    number: base.Count
    proposer: base.Name = ""


class PositionModel(base.Model):
    """The position of a log entry, as its term and index."""

    data_class = position.Position
    term: TermModel
    index: base.Count


class BranchModel(base.Model):
    """The consecutive log entries of one term, from index `start`."""

    data_class = position.Branch
    term: TermModel
    start: base.Count


class HistoryModel(base.Model):
    """The terms that have written to an upstream's log, and its last index."""

    data_class = position.History
    branches: Annotated[
        tuple[BranchModel, ...], pydantic.Field(max_length=MAX_BRANCHES)
    ] = ()
    end: base.Count = 0


class StatementModel(base.Model):
    """An SQL statement with its positional parameters."""

    data_class = request.Statement
    sql: Annotated[str, pydantic.Field(max_length=MAX_SQL_CHARS)]
    params: Values = ()


Statements = Annotated[
    tuple[StatementModel, ...], pydantic.Field(max_length=MAX_STATEMENTS)
]


class ResultSetModel(base.Model):
    """The rows that one SQL statement returned, or the number it changed."""

    data_class = request.ResultSet
    columns: tuple[base.Text, ...] = ()
    rows: tuple[Values, ...] = ()
    changed: base.Integer = 0


class HelloModel(base.Model):
    """The first call on a connection, which names the calling host."""

    data_class = upstream.Hello
    host: base.Name
    zone: base.Name


class WelcomeModel(base.Model):
    """The reply that accepts a connection."""

    data_class = upstream.Welcome
    name: base.Name


class ExecuteModel(base.Model):
    """The call that runs SQL statements."""

    data_class = upstream.Execute
    mode: upstream.Mode
    term: TermModel
    statements: Statements = ()


class ExecutedModel(base.Model):
    """The reply with the results of the SQL statements."""

    data_class = upstream.Executed
    results: tuple[ResultSetModel, ...]
    history: HistoryModel
    promised: TermModel


class RejectedModel(base.Model):
    """The reply to a call that the upstream rejected."""

    data_class = upstream.Rejected
    reason: upstream.Reason
    detail: base.Detail = ""
    statement: base.Integer = -1
    promised: TermModel = TermModel(number=0)


class ReadStatusModel(base.Model):
    """The call that requests the status of an upstream."""

    data_class = upstream.ReadStatus
    seen: HistoryModel = HistoryModel()
    promised: TermModel = TermModel(number=0)
    wait_s: base.Seconds = 0.0
    hold_s: base.Seconds = 0.0


class StatusModel(base.Model):
    """The reply with the status of an upstream."""

    data_class = upstream.Status
    name: base.Name
    role: upstream.Role
    term: TermModel
    promised: TermModel
    history: HistoryModel
    primary: base.Name = ""
    connections: base.Count = 0
    busy_slots: base.Count = 0


class FenceModel(base.Model):
    """The call that requests a promise to serve no term below `term`."""

    data_class = upstream.Fence
    term: TermModel


class FencedModel(base.Model):
    """The reply to a `Fence` call, which gives or refuses the promise."""

    data_class = upstream.Fenced
    accepted: bool
    promised: TermModel
    history: HistoryModel


class PromoteModel(base.Model):
    """The call that makes an upstream the primary of `term`."""

    data_class = upstream.Promote
    term: TermModel


class PromotedModel(base.Model):
    """The reply that confirms or refuses a promotion."""

    data_class = upstream.Promoted
    accepted: bool
    promised: TermModel
    history: HistoryModel


class FollowModel(base.Model):
    """The call that makes an upstream replicate from a primary."""

    data_class = upstream.Follow
    term: TermModel
    primary: base.Name
    address: base.Name


class FollowedModel(base.Model):
    """The reply that confirms or refuses to follow a primary."""

    data_class = upstream.Followed
    accepted: bool
    promised: TermModel


class EntryModel(base.Model):
    """A log entry that is replicated between upstream stand-ins."""

    data_class = replication.Entry
    term: TermModel
    statements: Statements = ()


class ReadLogModel(base.Model):
    """The call of a replica stand-in that requests log entries."""

    data_class = replication.ReadLog
    term: TermModel
    history: HistoryModel
    wait_s: base.Seconds


class LogReadModel(base.Model):
    """The reply with log entries for a replica stand-in."""

    data_class = replication.LogRead
    accepted: bool
    after: base.Count = 0
    entries: tuple[EntryModel, ...] = ()


class SetFaultModel(base.Model):
    """The call that injects faults into a stand-in."""

    data_class = platform.SetFault
    down: bool = False
    delay_s: base.Seconds = 0.0
    lose_answers: base.Count = 0
    lag_s: base.Seconds = 0.0


class DoneModel(base.Model):
    """The reply, without content, that confirms a control call."""

    data_class = platform.Done
