"""Draining: when a proxy that was asked to stop may exit."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer, process
from fescueshunt.core import items as core_items
from fescueshunt.request import items

if TYPE_CHECKING:
    from collections.abc import Iterator

LINGER_S = 1.0
TRANSACTION_WAIT_S = 15.0


@dataclasses.dataclass(slots=True)
class DrainState:
    """What is in flight here; `asked_at` is None unless asked to stop."""

    asked_at: float | None = None
    in_flight: int = 0
    transactions: set[tuple[items.Side, bytes]] = dataclasses.field(
        default_factory=set
    )


class Drain(filters.Filter):
    """Counts what is in flight and says when nothing is left after a stop.

    Requests are always waited for; their deadlines bound that. Open
    transactions are waited for TRANSACTION_WAIT_S. For LINGER_S other proxies
    may still send work, as they have yet to learn of the stop.
    """

    def __init__(self) -> None:
        self._state = DrainState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields `item`, and the end of the stop in time."""
        state = self._state
        match item:
            case core_items.CallerRequest():
                state.in_flight += 1
            case core_items.PeerReceived(message=peer.ForwardedRequest()):
                state.in_flight += 1
            case items.Ended():
                state.in_flight -= 1
            case items.TransactionOpened():
                state.transactions.add((item.side, item.transaction))
            case items.TransactionEnded():
                state.transactions.discard((item.side, item.transaction))
            case process.StopAsked() if state.asked_at is None:
                state.asked_at = item.at
            case filters.Tick() if self._is_over(item.at):
                yield process.Stopped(item.at)
        yield item

    def _is_over(self, now: float) -> bool:
        state = self._state
        if state.asked_at is None or state.in_flight > 0:
            return False
        waited_s = now - state.asked_at
        if state.transactions and waited_s < TRANSACTION_WAIT_S:
            return False
        return waited_s >= LINGER_S
