"""Filter that sends each final answer to the sender of the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer
from fescueshunt.core import items as core_items
from fescueshunt.request import items

if TYPE_CHECKING:
    from collections.abc import Iterator


class Reply(filters.Filter):
    """Turns answered and returned work into messages to callers and peers.

    The answer to a request that the watchdog has answered before is dropped.
    """

    def __init__(self) -> None:
        self._overdue: set[tuple[items.Origin, bytes]] = set()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the message, then `RequestEnded` and the item itself.

        Answers of background tasks are dropped.
        """
        match item:
            case items.Answered(origin=items.BackgroundOrigin()):
                return
            case items.Answered() if self._is_second(item):
                return
            case items.Answered():
                yield _build_answer(item)
                yield _make_ended(item)
            case items.ReturnedToPeer():
                yield _build_redirect(item)
                yield items.RequestEnded(
                    item.at, item.origin, item.request_id, b"", failed=True
                )
        yield item

    def _is_second(self, item: items.Answered) -> bool:
        key = (item.origin, item.answer.request_id)
        if item.overdue:
            self._overdue.add(key)
            return False
        is_second = key in self._overdue
        self._overdue.discard(key)
        return is_second


def _build_answer(item: items.Answered) -> filters.Item:
    match item.origin:
        case items.CallerOrigin(conn, seq):
            return core_items.AnswerCaller(item.at, conn, seq, item.answer)
        case items.PeerOrigin(name, seq):
            message = peer.ForwardedAnswer(seq, item.answer)
            return core_items.SendPeer(item.at, name, message)


def _make_ended(item: items.Answered) -> items.RequestEnded:
    return items.RequestEnded(
        item.at,
        item.origin,
        item.answer.request_id,
        item.transaction,
        item.answer.error is not None,
    )


def _build_redirect(item: items.ReturnedToPeer) -> core_items.SendPeer:
    message = peer.Redirected(
        item.origin.seq,
        item.request_id,
        item.brief,
        item.suggested,
        item.in_doubt,
        item.error,
    )
    return core_items.SendPeer(item.at, item.origin.name, message)
