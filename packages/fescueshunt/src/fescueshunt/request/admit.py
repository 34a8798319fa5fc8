"""Admission: checks a request against the settings and gives it a deadline."""

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
IN_TRANSACTION = frozenset(
    {request.Kind.STEP, request.Kind.COMMIT, request.Kind.ROLLBACK}
)
NEEDS_STATEMENTS = frozenset({request.Kind.READ, request.Kind.WRITE})


@dataclasses.dataclass(slots=True)
class AdmitState:
    """What admission remembers."""

    settings: document.Document = document.Document()
    wall_offset_s: float = 0.0
    stopping: bool = False


class Admit(filters.Filter):
    """Turns callers' and peers' requests into work, or refuses them."""

    def __init__(self) -> None:
        self._state = AdmitState()
        self._keys = itertools.count(1)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields work or a refusal for a request; notes settings and stop."""
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
        error = self._refusal(item.req, item.wall_s)
        if error is not None:
            return self._refuse(item.at, origin, item.req, error)
        return self._work(item.at, origin, item.req, item.req.timeout_s)

    def _admit_peer(
        self, at: float, sender: str, message: peer.ForwardedRequest
    ) -> filters.Item:
        origin = items.PeerOrigin(sender, message.seq)
        if not self._knows(message.request):
            return items.SentBack(
                at,
                origin,
                message.request.request_id,
                in_doubt=message.in_doubt,
                error=errors.NoRouteError("settings are behind"),
            )
        wall_s = at + self._state.wall_offset_s
        error = self._refusal(message.request, wall_s, forwarded=True)
        if error is not None:
            if message.in_doubt:
                error = errors.OutcomeUnknownError(str(error))
            return self._refuse(at, origin, message.request, error)
        work = self._work(at, origin, message.request, message.remaining_s)
        return dataclasses.replace(
            work, upstream=message.upstream, in_doubt=message.in_doubt
        )

    def _refusal(
        self, req: request.Request, wall_s: float, forwarded: bool = False
    ) -> errors.FescueshuntError | None:
        if self._is_new_session(req) and self._state.stopping and not forwarded:
            return errors.StoppingError()
        if self._state.settings.revision == 0:
            return errors.NoRouteError("no settings yet")
        if not self._knows(req):
            return errors.RequestInvalidError("unknown service or database")
        service = self._state.settings.service(req.service)
        database = self._state.settings.database(req.database)
        if service.group != database.group:
            return errors.RequestInvalidError("service of another group")
        return _check_form(req, service) or _check_id(req, wall_s)

    def _knows(self, req: request.Request) -> bool:
        settings = self._state.settings
        service = settings.service(req.service)
        return (
            service is not None and settings.database(req.database) is not None
        )

    def _is_new_session(self, req: request.Request) -> bool:
        return req.kind not in IN_TRANSACTION

    def _work(
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
    ) -> items.Finished:
        service = self._state.settings.service(req.service)
        rank = service.rank if service else ""
        answer = request.Answer(req.request_id, error=error)
        return items.Finished(
            at,
            origin,
            req.database,
            rank,
            answer,
            transaction=outcome.transaction_of(req),
        )


def _check_form(
    req: request.Request, service: document.Service
) -> errors.FescueshuntError | None:
    if len(req.request_id) != request.REQUEST_ID_BYTES:
        return errors.RequestInvalidError("request id must be 16 bytes")
    if req.kind in NEEDS_STATEMENTS and not req.statements:
        return errors.RequestInvalidError("no statement")
    if req.kind in WRITE_KINDS and not service.writes:
        return errors.RequestInvalidError("the service does not write")
    needs_other_id = req.kind in IN_TRANSACTION or (
        req.kind is request.Kind.OUTCOME
    )
    if needs_other_id and len(req.transaction) != request.REQUEST_ID_BYTES:
        return errors.RequestInvalidError("transaction id must be 16 bytes")
    return limits.check_statements(req.statements)


def _check_id(
    req: request.Request, wall_s: float
) -> errors.FescueshuntError | None:
    if req.kind is request.Kind.READ:
        return None
    subject = req.request_id
    if req.kind is request.Kind.OUTCOME:
        subject = req.transaction
    age_s = wall_s - request.issued_at_s(subject)
    if age_s > ledger.RETENTION_S:
        return _expired(req)
    if age_s < -ledger.CLOCK_SKEW_S:
        return errors.RequestInvalidError("request id is from the future")
    return None


def _expired(req: request.Request) -> errors.FescueshuntError:
    if req.kind is request.Kind.OUTCOME:
        return errors.OutcomeUnknownError("ids are not kept for that long")
    return errors.RequestExpiredError()
