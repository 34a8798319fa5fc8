"""Models of the messages between operators and a proxy's admin listener."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import queries, statements
from fescueshunt_wire import admin
from fescueshunt_wire.models import base, documents

MAX_CLAUSES = 64
MAX_COLUMNS = 64
MAX_SILENT_PROXIES = 64
MAX_TOKEN_CHARS = 512
Value = (
    None
    | bool
    | base.Integer
    | Annotated[float, pydantic.Field(allow_inf_nan=False)]
    | base.Text
)
OperationId = Annotated[
    bytes, pydantic.Field(max_length=statements.OPERATION_BYTES)
]


class SignInModel(base.Model):
    """The first message of an operator, which contains the token."""

    data_class = admin.SignIn
    token: Annotated[str, pydantic.Field(max_length=MAX_TOKEN_CHARS)]


class SignedInModel(base.Model):
    """The answer to a valid token."""

    data_class = admin.SignedIn
    operator: base.Name
    may_change: bool


class ReadMetricsModel(base.Model):
    """The request for the counters and latencies of a proxy."""

    data_class = admin.ReadMetrics


class ConditionModel(base.Model):
    """A condition in the WHERE clause of a SHOW statement."""

    data_class = statements.Condition
    column: base.Name
    comparison: statements.Comparison
    value: Value


class OrderModel(base.Model):
    """A sort key in the ORDER BY clause of a SHOW statement."""

    data_class = statements.Order
    column: base.Name
    descending: bool = False


class FieldModel(base.Model):
    """A field of a settings entry with its new value."""

    data_class = statements.Field
    name: base.Name
    value: Value


class ShowModel(base.Model):
    """A statement that lists the rows of a table."""

    data_class = statements.Show
    subject: statements.Subject
    conditions: Annotated[
        tuple[ConditionModel, ...], pydantic.Field(max_length=MAX_CLAUSES)
    ] = ()
    order: Annotated[
        tuple[OrderModel, ...], pydantic.Field(max_length=MAX_CLAUSES)
    ] = ()
    limit: base.Count | None = None


class ChangeModel(base.Model):
    """A statement that changes the settings."""

    data_class = statements.Change
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
    operation: OperationId = b""


class ExplainModel(base.Model):
    """A statement that queries the course of a request or a promotion."""

    data_class = statements.Explain
    event: statements.Event
    name: base.Name


class TableModel(base.Model):
    """A table of values with named columns."""

    data_class = statements.Table
    columns: Annotated[
        tuple[base.Name, ...], pydantic.Field(max_length=MAX_COLUMNS)
    ]
    rows: tuple[tuple[Value, ...], ...] = ()


class OperatorAnswerModel(base.Model):
    """The answer to one statement of an operator."""

    data_class = statements.OperatorAnswer
    table: TableModel | None = None
    revision: base.Count = 0
    operation: OperationId = b""
    conflict: documents.RevisionModel | None = None
    error: base.ErrorModel | None = None
    silent: Annotated[
        tuple[base.Name, ...], pydantic.Field(max_length=MAX_SILENT_PROXIES)
    ] = ()
    not_asked: base.Count = 0


class PeerQuestionModel(base.Model):
    """A query that a proxy sends to a peer on behalf of an operator."""

    data_class = queries.PeerQuestion
    seq: base.Count
    show: ShowModel | None = None
    explain: ExplainModel | None = None


class PeerReplyModel(base.Model):
    """The answer of a peer to a query."""

    data_class = queries.PeerReply
    seq: base.Count
    answer: OperatorAnswerModel
