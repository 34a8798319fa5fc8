"""The end of the request pipe: each answer goes back where its work began."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer
from fescueshunt.core import items as core_items
from fescueshunt.request import items

if TYPE_CHECKING:
    from collections.abc import Iterator


class Reply(filters.Filter):
    """Turns work that is over into an answer to a caller or to a peer."""

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the effect that answers, and what ended for the metrics."""
        match item:
            case items.Finished(origin=items.BackgroundOrigin()):
                return
            case items.Finished():
                yield _answer(item)
                yield _end_of(item)
            case items.SentBack():
                yield _redirect(item)
                yield items.Ended(
                    item.at, item.origin, item.request_id, b"", failed=True
                )
        yield item


def _answer(item: items.Finished) -> filters.Item:
    match item.origin:
        case items.CallerOrigin(conn, seq):
            return core_items.AnswerCaller(item.at, conn, seq, item.answer)
        case items.PeerOrigin(name, seq):
            message = peer.ForwardedAnswer(seq, item.answer)
            return core_items.SendPeer(item.at, name, message)


def _end_of(item: items.Finished) -> items.Ended:
    return items.Ended(
        item.at,
        item.origin,
        item.answer.request_id,
        item.transaction,
        item.answer.error is not None,
    )


def _redirect(item: items.SentBack) -> core_items.SendPeer:
    message = peer.Redirected(
        item.origin.seq,
        item.request_id,
        item.brief,
        item.suggested,
        item.in_doubt,
        item.error,
    )
    return core_items.SendPeer(item.at, item.origin.name, message)
