"""Duplicates: a forwarded request that is in work here already is dropped.

The answer to the first copy answers them all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer
from fescueshunt.core import items as core_items
from fescueshunt.request import items

if TYPE_CHECKING:
    from collections.abc import Iterator

Key = tuple[str, int, bytes]


class Dedupe(filters.Filter):
    """Passes each forwarded request on once while it is in work."""

    def __init__(self) -> None:
        self._in_work: set[Key] = set()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields `item` unless it is a copy."""
        match item:
            case core_items.PeerReceived(
                sender=sender, message=peer.ForwardedRequest() as message
            ):
                key = (sender, message.seq, message.request.request_id)
                if key in self._in_work:
                    return
                self._in_work.add(key)
            case items.Ended():
                self._forget(item.origin, item.request_id)
        yield item

    def _forget(self, origin: items.Origin, request_id: bytes) -> None:
        if isinstance(origin, items.PeerOrigin):
            self._in_work.discard((origin.name, origin.seq, request_id))
