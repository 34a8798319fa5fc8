"""Admission control filter: validates requests and sets deadlines."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    peer,
    process,
    request,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.request import items, ledger, limits, outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

WRITE_KINDS = frozenset(
    {
        request.Kind.WRITE,
        request.Kind.BEGIN,
        request.Kind.STEP,
        request.Kind.COMMIT,
        request.Kind.OUTCOME,
    }
)
IN_TRANSACTION_KINDS = frozenset(
    {request.Kind.STEP, request.Kind.COMMIT, request.Kind.ROLLBACK}
)
STATEMENT_KINDS = frozenset({request.Kind.READ, request.Kind.WRITE})


@dataclasses.dataclass(slots=True)
class AdmitState:
    """State of admission control.

    Attributes:
      settings: the settings in force.
      wall_offset_s: wall clock minus local clock, in seconds.
      stopping: whether this proxy was asked to stop.
    """

    settings: document.Document = document.Document()
    wall_offset_s: float = 0.0
    stopping: bool = False


class Admit(filters.Filter):
    """Admits or refuses the requests of callers and peers."""

    def __init__(self) -> None:
        self._state = AdmitState()
        self._keys = itertools.count(1)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields `Work` or a refusal for each request."""
        match item:
            case core_items.CallerRequest():
                yield self._admit_caller(item)
            case core_items.PeerReceived(message=peer.ForwardedRequest()):
                yield self._admit_peer(item.at, item.sender, item.message)
            case views.SettingsView():
                self._state.settings = item.document
                yield item
            case process.StopAsked():
                self._state.stopping = True
                yield item
            case filters.Tick():
                self._state.wall_offset_s = item.wall_s - item.at
                yield item
            case _:
                yield item

    def _admit_caller(self, item: core_items.CallerRequest) -> filters.Item:
        origin = items.CallerOrigin(item.conn, item.seq)
        error = self._find_error(item.req, item.wall_s)
        if error is not None:
            return self._refuse(item.at, origin, item.req, error)
        return self._make_work(item.at, origin, item.req, item.req.timeout_s)

    def _admit_peer(
        self, at: float, sender: str, message: peer.ForwardedRequest
    ) -> filters.Item:
        origin = items.PeerOrigin(sender, message.seq)
        if not self._is_declared(message.request):
            return items.ReturnedToPeer(
                at,
                origin,
                message.request.request_id,
                in_doubt=message.in_doubt,
                error=errors.NoRouteError(
                    "settings of the home proxy are behind"
                ),
            )
        wall_s = at + self._state.wall_offset_s
        error = self._find_error(message.request, wall_s, forwarded=True)
        if error is not None:
            if message.in_doubt:
                error = errors.OutcomeUnknownError(str(error))
            return self._refuse(at, origin, message.request, error)
        work = self._make_work(at, origin, message.request, message.remaining_s)
        return dataclasses.replace(
            work, upstream=message.upstream, in_doubt=message.in_doubt
        )

    def _find_error(
        self, req: request.Request, wall_s: float, forwarded: bool = False
    ) -> errors.FescueshuntError | None:
        if (
            self._is_outside_transaction(req)
            and self._state.stopping
            and not forwarded
        ):
            return errors.StoppingError()
        if self._state.settings.revision == 0:
            return errors.NoRouteError("no settings received yet")
        if not self._is_declared(req):
            return errors.RequestInvalidError("unknown service or database")
        service = self._state.settings.service(req.service)
        database = self._state.settings.database(req.database)
        if service.group != database.group:
            return errors.RequestInvalidError(
                "service and database are not of the same group"
            )
        return _check_fields(req, service) or _check_id(req, wall_s)

    def _is_declared(self, req: request.Request) -> bool:
        settings = self._state.settings
        service = settings.service(req.service)
        return (
            service is not None and settings.database(req.database) is not None
        )

    def _is_outside_transaction(self, req: request.Request) -> bool:
        return req.kind not in IN_TRANSACTION_KINDS

    def _make_work(
        self,
        at: float,
        origin: items.CallerOrigin | items.PeerOrigin,
        req: request.Request,
        remaining_s: float,
    ) -> items.Work:
        settings = self._state.settings
        service = settings.service(req.service)
        deadline = at + min(remaining_s, ledger.MAX_TIMEOUT_S)
        return items.Work(
            at=at,
            key=next(self._keys),
            origin=origin,
            req=req,
            service=service,
            rank=settings.rank(service.rank),
            deadline=deadline,
        )

    def _refuse(
        self,
        at: float,
        origin: items.CallerOrigin | items.PeerOrigin,
        req: request.Request,
        error: errors.FescueshuntError,
    ) -> items.Answered:
        service = self._state.settings.service(req.service)
        rank = service.rank if service else ""
        answer = request.Answer(req.request_id, error=error)
        return items.Answered(
            at,
            origin,
            req.database,
            rank,
            answer,
            transaction=outcome.transaction_of(req),
        )


def _check_fields(
    req: request.Request, service: document.Service
) -> errors.FescueshuntError | None:
    if len(req.request_id) != request.REQUEST_ID_BYTES:
        return errors.RequestInvalidError("request id must be 16 bytes")
    if req.kind in STATEMENT_KINDS and not req.statements:
        return errors.RequestInvalidError("request has no statement")
    if req.kind in WRITE_KINDS and not service.writes:
        return errors.RequestInvalidError("service is not declared to write")
    needs_transaction_id = req.kind in IN_TRANSACTION_KINDS or (
        req.kind is request.Kind.OUTCOME
    )
    if (
        needs_transaction_id
        and len(req.transaction) != request.REQUEST_ID_BYTES
    ):
        return errors.RequestInvalidError("transaction id must be 16 bytes")
    return limits.check_statements(req.statements)


def _check_id(
    req: request.Request, wall_s: float
) -> errors.FescueshuntError | None:
    if req.kind is request.Kind.READ:
        return None
    checked_id = req.request_id
    if req.kind is request.Kind.OUTCOME:
        checked_id = req.transaction
    age_s = wall_s - request.issued_at_s(checked_id)
    if age_s > ledger.RETENTION_S:
        return _expired_error(req)
    if age_s < -ledger.CLOCK_SKEW_S:
        return errors.RequestInvalidError(
            "request id has a timestamp in the future"
        )
    return None


def _expired_error(req: request.Request) -> errors.FescueshuntError:
    if req.kind is request.Kind.OUTCOME:
        return errors.OutcomeUnknownError(
            "request id is older than the retention period"
        )
    return errors.RequestExpiredError()
