"""Models of the messages of callers, and of those between proxies."""

from __future__ import annotations

from typing import Annotated

import pydantic

from fescueshunt.core import peer, request
from fescueshunt_wire import failure
from fescueshunt_wire.models import base, calls

RequestId = Annotated[
    bytes,
    pydantic.Field(
        min_length=request.REQUEST_ID_BYTES,
        max_length=request.REQUEST_ID_BYTES,
    ),
]
TransactionId = Annotated[
    bytes, pydantic.Field(max_length=request.REQUEST_ID_BYTES)
]
MAX_FAILING_UPSTREAMS = 64
SpanId = Annotated[bytes, pydantic.Field(max_length=8)]


class RequestModel(base.Model):
    """A caller's request to run SQL statements on a database."""

    data_class = request.Request
    request_id: RequestId
    service: base.Name
    database: base.Name
    kind: request.Kind
    statements: calls.Statements = ()
    caller: base.Name = ""
    after: calls.PositionModel | None = None
    unsure: bool = False
    max_age_s: base.Seconds | None = None
    timeout_s: base.Seconds = 5.0
    transaction: TransactionId = b""


class AnswerModel(base.Model):
    """The answer to a caller's request, with results or an error."""

    data_class = request.Answer
    request_id: RequestId
    results: tuple[calls.ResultSetModel, ...] = ()
    token: calls.PositionModel | None = None
    upstream: base.Name = ""
    from_replica: bool = False
    age_s: float | None = None
    repeated: bool = False
    error: base.ErrorModel | None = None


class FailureModel(base.Model):
    """The error that is sent instead of an answer."""

    data_class = failure.Failure
    error: base.ErrorModel


class UpstreamBriefModel(base.Model):
    """The state of an upstream, as last observed by its home proxy."""

    data_class = peer.UpstreamBrief
    name: base.Name
    last: calls.PositionModel
    reachable: bool
    leaving: bool = False


class GroupBriefModel(base.Model):
    """The sender's view of a database's group, which may be out of date."""

    data_class = peer.GroupBrief
    database: base.Name
    term: calls.TermModel
    primary: base.Name
    upstreams: tuple[UpstreamBriefModel, ...] = ()


class ForwardedRequestModel(base.Model):
    """A request that is forwarded to the home proxy of an upstream."""

    data_class = peer.ForwardedRequest
    seq: base.Count
    upstream: base.Name
    request: RequestModel
    remaining_s: base.Seconds
    in_doubt: bool = False
    span: SpanId = b""


class ForwardedAnswerModel(base.Model):
    """The answer to a forwarded request."""

    data_class = peer.ForwardedAnswer
    seq: base.Count
    answer: AnswerModel
    brief: GroupBriefModel | None = None


class RedirectedModel(base.Model):
    """The answer of a home proxy that did not complete a request."""

    data_class = peer.Redirected
    seq: base.Count
    request_id: RequestId
    brief: GroupBriefModel | None = None
    suggested: base.Name = ""
    in_doubt: bool = False
    error: base.ErrorModel | None = None


class AbandonedTransactionModel(base.Model):
    """The notice that a transaction is to be rolled back."""

    data_class = peer.AbandonedTransaction
    transaction: RequestId


class FailingUpstreamModel(base.Model):
    """An upstream whose calls have failed for `for_s` seconds."""

    data_class = peer.FailingUpstream
    name: base.Name
    for_s: base.Seconds


class WitnessedModel(base.Model):
    """A watcher's report of failures in a database's group."""

    data_class = peer.Witnessed
    database: base.Name
    term: calls.TermModel
    failing: Annotated[
        tuple[FailingUpstreamModel, ...],
        pydantic.Field(max_length=MAX_FAILING_UPSTREAMS),
    ] = ()
    pending: calls.TermModel = calls.TermModel(number=0)
    pending_for_s: base.Seconds = 0.0
