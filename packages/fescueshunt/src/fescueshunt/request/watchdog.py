"""Filter that answers the requests that a fault in another filter has lost."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer, request
from fescueshunt.core import items as core_items
from fescueshunt.request import items, ledger, outcome

if TYPE_CHECKING:
    from collections.abc import Iterator

# The other filters answer at the deadline. A caller waits for 0.25 s more.
ANSWER_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Identifies a request; a peer's number alone is not unique."""

    origin: items.Origin
    request_id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A request without an answer, and its deadline on the local clock."""

    req: request.Request
    deadline: float


class Watchdog(filters.Filter):
    """Answers each request that has had no answer for too long.

    A request is answered at the second tick at which it is overdue. At the
    first one, after a pause of the process, its answer may still be on its
    way. Should it come later still, it is dropped, as is the second end.
    """

    def __init__(self) -> None:
        self._unanswered: dict[RequestKey, Unanswered] = {}
        self._overdue: set[RequestKey] = set()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields `item`; at a tick, first the answers to lost requests."""
        match item:
            case core_items.CallerRequest():
                origin = items.CallerOrigin(item.conn, item.seq)
                self._add(item.at, origin, item.req, item.req.timeout_s)
            case core_items.PeerReceived(
                message=peer.ForwardedRequest() as message
            ):
                origin = items.PeerOrigin(item.sender, message.seq)
                self._add(item.at, origin, message.request, message.remaining_s)
            case items.RequestEnded():
                key = RequestKey(item.origin, item.request_id)
                if self._unanswered.pop(key, None) is None:
                    return
            case filters.Tick():
                yield from self._answer_overdue(item.at)
        yield item

    def _add(
        self,
        now: float,
        origin: items.Origin,
        req: request.Request,
        remaining_s: float,
    ) -> None:
        deadline = now + min(remaining_s, ledger.MAX_TIMEOUT_S)
        key = RequestKey(origin, req.request_id)
        self._unanswered[key] = Unanswered(req, deadline)

    def _answer_overdue(self, now: float) -> Iterator[filters.Item]:
        for key in self._overdue & self._unanswered.keys():
            yield _build_answer(now, key, self._unanswered[key].req)
        self._overdue = {
            key
            for key, unanswered in self._unanswered.items()
            if now >= unanswered.deadline + ANSWER_DELAY_S
        }


def _build_answer(
    now: float, key: RequestKey, req: request.Request
) -> items.Answered:
    answer = request.Answer(req.request_id, error=outcome.expiry_error(req))
    return items.Answered(
        now,
        key.origin,
        req.database,
        "",
        answer,
        transaction=outcome.transaction_of(req),
        overdue=True,
    )
