"""Shutdown filter: waits for requests and transactions in flight."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer, process
from fescueshunt.core import items as core_items
from fescueshunt.request import items, ledger

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_DRAIN_S = 1.0
TRANSACTION_DRAIN_TIMEOUT_S = 15.0
MAX_DRAIN_S = TRANSACTION_DRAIN_TIMEOUT_S + ledger.MAX_TIMEOUT_S


@dataclasses.dataclass(slots=True)
class DrainState:
    """State of draining.

    Attributes:
      stop_requested_at: when this proxy was asked to stop, or None; seconds,
        local clock.
      in_flight: the number of requests without an answer.
      transactions: the open transactions that this proxy tracks.
    """

    stop_requested_at: float | None = None
    in_flight: int = 0
    transactions: set[tuple[items.TransactionSide, bytes]] = dataclasses.field(
        default_factory=set
    )


class Drain(filters.Filter):
    """Reports that the proxy may exit once it has drained.

    The proxy waits for requests in flight, which their deadlines bound. It
    waits up to TRANSACTION_DRAIN_TIMEOUT_S for open transactions, whose last
    request may arrive just before. Draining takes at least MIN_DRAIN_S, since
    other proxies forward requests until they learn that this one is stopping.
    """

    def __init__(self) -> None:
        self._state = DrainState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields `item`, preceded by `Stopped` once the proxy has drained."""
        state = self._state
        match item:
            case core_items.CallerRequest():
                state.in_flight += 1
            case core_items.PeerReceived(message=peer.ForwardedRequest()):
                state.in_flight += 1
            case items.RequestEnded():
                state.in_flight -= 1
            case items.TransactionOpened():
                state.transactions.add((item.side, item.transaction))
            case items.TransactionEnded():
                state.transactions.discard((item.side, item.transaction))
            case process.StopAsked() if state.stop_requested_at is None:
                state.stop_requested_at = item.at
            case filters.Tick() if self._is_drained(item.at):
                yield process.Stopped(item.at)
        yield item

    def _is_drained(self, now: float) -> bool:
        state = self._state
        if state.stop_requested_at is None:
            return False
        draining_s = now - state.stop_requested_at
        if state.in_flight > 0:
            return draining_s > MAX_DRAIN_S
        if state.transactions and draining_s < TRANSACTION_DRAIN_TIMEOUT_S:
            return False
        return draining_s >= MIN_DRAIN_S
