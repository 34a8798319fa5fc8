"""Models of what passes between operators and a proxy's admin listener."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import queries, statements
from fescueshunt_wire import access
from fescueshunt_wire.models import base, documents

MAX_CLAUSES = 64
MAX_COLUMNS = 64
MAX_SILENT = 64
TOKEN_CHARS = 512
Value = (
    None
    | bool
    | base.Index
    | Annotated[float, pydantic.Field(allow_inf_nan=False)]
    | base.Text
)
Operation = Annotated[
    bytes, pydantic.Field(max_length=statements.OPERATION_BYTES)
]


class SignInModel(base.Model):
    """The first message of an operator."""

    of = access.SignIn
    token: Annotated[str, pydantic.Field(max_length=TOKEN_CHARS)]


class SignedInModel(base.Model):
    """The token is known."""

    of = access.SignedIn
    operator: base.Name
    may_change: bool


class ReadMetricsModel(base.Model):
    """Asks for the metrics."""

    of = access.ReadMetrics


class ConditionModel(base.Model):
    """A condition."""

    of = statements.Condition
    column: base.Name
    comparison: statements.Comparison
    value: Value


class OrderModel(base.Model):
    """An order."""

    of = statements.Order
    column: base.Name
    descending: bool = False


class FieldModel(base.Model):
    """A field."""

    of = statements.Field
    name: base.Name
    value: Value


class ShowModel(base.Model):
    """Lists what is in force."""

    of = statements.Show
    subject: statements.Subject
    conditions: Annotated[
        tuple[ConditionModel, ...], pydantic.Field(max_length=MAX_CLAUSES)
    ] = ()
    order: Annotated[
        tuple[OrderModel, ...], pydantic.Field(max_length=MAX_CLAUSES)
    ] = ()
    limit: base.Count | None = None


class ChangeModel(base.Model):
    """Changes the settings."""

    of = statements.Change
    verb: statements.Verb
    kind: statements.Kind
    name: base.Name = ""
    fields: Annotated[
        tuple[FieldModel, ...], pydantic.Field(max_length=MAX_CLAUSES)
    ] = ()
    floors: documents.Floors = ()
    target: base.Count = 0
    dry_run: bool = False
    if_revision: base.Count | None = None
    author: base.Name = ""
    reason: documents.Reason = ""
    operation: Operation = b""


class ExplainModel(base.Model):
    """Asks how an event came about."""

    of = statements.Explain
    event: statements.Event
    name: base.Name


class TableModel(base.Model):
    """A table."""

    of = statements.Table
    columns: Annotated[
        tuple[base.Name, ...], pydantic.Field(max_length=MAX_COLUMNS)
    ]
    rows: tuple[tuple[Value, ...], ...] = ()


class OperatorAnswerModel(base.Model):
    """An answer."""

    of = statements.OperatorAnswer
    table: TableModel | None = None
    revision: base.Count = 0
    operation: Operation = b""
    conflict: documents.RevisionModel | None = None
    error: base.ErrorModel | None = None
    silent: Annotated[
        tuple[base.Name, ...], pydantic.Field(max_length=MAX_SILENT)
    ] = ()
    not_asked: base.Count = 0


class PeerQuestionModel(base.Model):
    """Asks another proxy what it knows."""

    of = queries.PeerQuestion
    seq: base.Count
    show: ShowModel | None = None
    explain: ExplainModel | None = None


class PeerReplyModel(base.Model):
    """What the other proxy knows."""

    of = queries.PeerReply
    seq: base.Count
    answer: OperatorAnswerModel
