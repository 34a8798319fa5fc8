"""Filter that drops duplicates of forwarded requests in progress.

The sender gets one answer, the one to the first copy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer
from fescueshunt.core import items as core_items
from fescueshunt.request import items

if TYPE_CHECKING:
    from collections.abc import Iterator

ForwardKey = tuple[str, int, bytes]


class Dedupe(filters.Filter):
    """Drops a forwarded request while an identical one is in progress."""

    def __init__(self) -> None:
        self._in_progress: set[ForwardKey] = set()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields `item` unless it is a duplicate."""
        match item:
            case core_items.PeerReceived(
                sender=sender, message=peer.ForwardedRequest() as message
            ):
                key = (sender, message.seq, message.request.request_id)
                if key in self._in_progress:
                    return
                self._in_progress.add(key)
            case items.RequestEnded():
                self._forget(item.origin, item.request_id)
        yield item

    def _forget(self, origin: items.Origin, request_id: bytes) -> None:
        if isinstance(origin, items.PeerOrigin):
            self._in_progress.discard((origin.name, origin.seq, request_id))
