"""Models of requests, answers and the messages of upstreams."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import position, request, upstream
from fescueshunt_wire import platform, replication
from fescueshunt_wire.models import base

MAX_STATEMENTS = 1024
MAX_BRANCHES = 4096
SQL_CHARS = 1 << 16

INT64 = 1 << 63
Integer = Annotated[int, pydantic.Field(ge=-INT64, lt=INT64)]
Value = None | bool | Integer | float | str | bytes
Values = tuple[Value, ...]


class TermModel(base.Model):
    """A term."""

    data_class = position.Term
    number: base.Count
    proposer: base.Name = ""


class PositionModel(base.Model):
    """A log position."""

    data_class = position.Position
    term: TermModel
    index: base.Count


class BranchModel(base.Model):
    """A branch of a history."""

    data_class = position.Branch
    term: TermModel
    start: base.Count


class HistoryModel(base.Model):
    """A history."""

    data_class = position.History
    branches: Annotated[
        tuple[BranchModel, ...], pydantic.Field(max_length=MAX_BRANCHES)
    ] = ()
    end: base.Count = 0


class StatementModel(base.Model):
    """A statement."""

    data_class = request.Statement
    sql: Annotated[str, pydantic.Field(max_length=SQL_CHARS)]
    params: Values = ()


Statements = Annotated[
    tuple[StatementModel, ...], pydantic.Field(max_length=MAX_STATEMENTS)
]


class ResultSetModel(base.Model):
    """The rows of one statement."""

    data_class = request.ResultSet
    columns: tuple[base.Text, ...] = ()
    rows: tuple[Values, ...] = ()
    changed: base.Index = 0


class HelloModel(base.Model):
    """The first call."""

    data_class = upstream.Hello
    host: base.Name
    zone: base.Name


class WelcomeModel(base.Model):
    """The connection is open."""

    data_class = upstream.Welcome
    name: base.Name


class ExecuteModel(base.Model):
    """Runs statements."""

    data_class = upstream.Execute
    mode: upstream.Mode
    term: TermModel
    statements: Statements = ()


class ExecutedModel(base.Model):
    """The results."""

    data_class = upstream.Executed
    results: tuple[ResultSetModel, ...]
    history: HistoryModel
    promised: TermModel


class RejectedModel(base.Model):
    """The call had no effect."""

    data_class = upstream.Rejected
    reason: upstream.Reason
    detail: base.Detail = ""
    statement: base.Index = -1
    promised: TermModel = TermModel(number=0)


class ReadStatusModel(base.Model):
    """Asks for the status."""

    data_class = upstream.ReadStatus
    seen: HistoryModel = HistoryModel()
    promised: TermModel = TermModel(number=0)
    wait_s: base.Seconds = 0.0
    hold_s: base.Seconds = 0.0


class StatusModel(base.Model):
    """A status."""

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
    """Asks for a promise."""

    data_class = upstream.Fence
    term: TermModel


class FencedModel(base.Model):
    """A promise or its refusal."""

    data_class = upstream.Fenced
    accepted: bool
    promised: TermModel
    history: HistoryModel


class PromoteModel(base.Model):
    """Asks to become primary."""

    data_class = upstream.Promote
    term: TermModel


class PromotedModel(base.Model):
    """A promotion or its refusal."""

    data_class = upstream.Promoted
    accepted: bool
    promised: TermModel
    history: HistoryModel


class FollowModel(base.Model):
    """Asks to follow a primary."""

    data_class = upstream.Follow
    term: TermModel
    primary: base.Name
    address: base.Name


class FollowedModel(base.Model):
    """Whether it follows."""

    data_class = upstream.Followed
    accepted: bool
    promised: TermModel


class EntryModel(base.Model):
    """A log entry."""

    data_class = replication.Entry
    term: TermModel
    statements: Statements = ()


class ReadLogModel(base.Model):
    """Asks for log entries."""

    data_class = replication.ReadLog
    term: TermModel
    history: HistoryModel
    wait_s: base.Seconds


class LogReadModel(base.Model):
    """Log entries."""

    data_class = replication.LogRead
    accepted: bool
    after: base.Count = 0
    entries: tuple[EntryModel, ...] = ()


class SetFaultModel(base.Model):
    """Makes a stand-in misbehave."""

    data_class = platform.SetFault
    down: bool = False
    delay_s: base.Seconds = 0.0
    lose_answers: base.Count = 0
    lag_s: base.Seconds = 0.0


class DoneModel(base.Model):
    """A stand-in's empty answer."""

    data_class = platform.Done
