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

    of = position.Term
    number: base.Count
    proposer: base.Name = ""


class PositionModel(base.Model):
    """A log position."""

    of = position.Position
    term: TermModel
    index: base.Count


class BranchModel(base.Model):
    """A branch of a history."""

    of = position.Branch
    term: TermModel
    start: base.Count


class HistoryModel(base.Model):
    """A history."""

    of = position.History
    branches: Annotated[
        tuple[BranchModel, ...], pydantic.Field(max_length=MAX_BRANCHES)
    ] = ()
    end: base.Count = 0


class StatementModel(base.Model):
    """A statement."""

    of = request.Statement
    sql: Annotated[str, pydantic.Field(max_length=SQL_CHARS)]
    params: Values = ()


Statements = Annotated[
    tuple[StatementModel, ...], pydantic.Field(max_length=MAX_STATEMENTS)
]


class ResultSetModel(base.Model):
    """The rows of one statement."""

    of = request.ResultSet
    columns: tuple[base.Text, ...] = ()
    rows: tuple[Values, ...] = ()
    changed: base.Index = 0


class HelloModel(base.Model):
    """The first call."""

    of = upstream.Hello
    host: base.Name
    zone: base.Name


class WelcomeModel(base.Model):
    """The connection is open."""

    of = upstream.Welcome
    name: base.Name


class ExecuteModel(base.Model):
    """Runs statements."""

    of = upstream.Execute
    mode: upstream.Mode
    term: TermModel
    statements: Statements = ()


class ExecutedModel(base.Model):
    """The results."""

    of = upstream.Executed
    results: tuple[ResultSetModel, ...]
    history: HistoryModel
    promised: TermModel


class RejectedModel(base.Model):
    """The call had no effect."""

    of = upstream.Rejected
    reason: upstream.Reason
    detail: base.Detail = ""
    statement: base.Index = -1
    promised: TermModel = TermModel(number=0)


class ReadStatusModel(base.Model):
    """Asks for the status."""

    of = upstream.ReadStatus
    seen: HistoryModel = HistoryModel()
    promised: TermModel = TermModel(number=0)
    wait_s: base.Seconds = 0.0
    hold_s: base.Seconds = 0.0


class StatusModel(base.Model):
    """A status."""

    of = upstream.Status
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

    of = upstream.Fence
    term: TermModel


class FencedModel(base.Model):
    """A promise or its refusal."""

    of = upstream.Fenced
    accepted: bool
    promised: TermModel
    history: HistoryModel


class PromoteModel(base.Model):
    """Asks to become primary."""

    of = upstream.Promote
    term: TermModel


class PromotedModel(base.Model):
    """A promotion or its refusal."""

    of = upstream.Promoted
    accepted: bool
    promised: TermModel
    history: HistoryModel


class FollowModel(base.Model):
    """Asks to follow a primary."""

    of = upstream.Follow
    term: TermModel
    primary: base.Name
    address: base.Name


class FollowedModel(base.Model):
    """Whether it follows."""

    of = upstream.Followed
    accepted: bool
    promised: TermModel


class EntryModel(base.Model):
    """A log entry."""

    of = replication.Entry
    term: TermModel
    statements: Statements = ()


class ReadLogModel(base.Model):
    """Asks for log entries."""

    of = replication.ReadLog
    term: TermModel
    history: HistoryModel
    wait_s: base.Seconds


class LogReadModel(base.Model):
    """Log entries."""

    of = replication.LogRead
    accepted: bool
    after: base.Count = 0
    entries: tuple[EntryModel, ...] = ()


class SetFaultModel(base.Model):
    """Makes a stand-in misbehave."""

    of = platform.SetFault
    down: bool = False
    delay_s: base.Seconds = 0.0
    lose_answers: base.Count = 0
    lag_s: base.Seconds = 0.0


class DoneModel(base.Model):
    """A stand-in's empty answer."""

    of = platform.Done
