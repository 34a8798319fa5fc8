"""Open transactions of callers, and the proxies to which they are pinned."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import request
from fescueshunt.request import items

if TYPE_CHECKING:
    from fescueshunt.core import filters

OPEN_TRANSACTION_KINDS = frozenset({request.Kind.STEP, request.Kind.ROLLBACK})


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """The caller connection and home proxy to which a transaction is pinned."""

    conn: int
    home: str


class TransactionPins:
    """The pins of the open transactions, by transaction id."""

    def __init__(self) -> None:
        self._pins: dict[bytes, Pin] = {}

    def __contains__(self, transaction: bytes) -> bool:
        return transaction in self._pins

    def is_pinned(self, work: items.Work) -> bool:
        """Returns whether `work` must go to the home proxy of its transaction.

        A COMMIT of an unknown transaction goes to the primary, where the ledger
        decides its outcome.
        """
        if work.req.kind is request.Kind.COMMIT:
            return self.find(work) is not None
        return work.req.kind in OPEN_TRANSACTION_KINDS

    def find(self, work: items.Work) -> Pin | None:
        """Returns the pin of the transaction that `work` belongs to, or None.

        Only the connection that opened a transaction may continue it.
        """
        pin = self._pins.get(work.req.transaction)
        if pin is None or pin.conn != work.origin.conn:
            return None
        return pin

    def get(self, transaction: bytes) -> Pin | None:
        """Returns the pin of a transaction, or None."""
        return self._pins.get(transaction)

    def add(self, work: items.Work, home: str, now: float) -> filters.Item:
        """Pins the transaction that `work` begins; returns the event of it."""
        transaction_id = work.req.request_id
        self._pins[transaction_id] = Pin(work.origin.conn, home)
        return items.TransactionOpened(
            now, items.TransactionSide.ENTRY, transaction_id
        )

    def remove(self, transaction: bytes, now: float) -> filters.Item:
        """Removes the pin of a transaction; returns the event of its end."""
        self._pins.pop(transaction, None)
        return items.TransactionEnded(
            now, items.TransactionSide.ENTRY, transaction
        )

    def of_caller(self, conn: int) -> list[bytes]:
        """Returns the transactions that a caller connection opened."""
        return [tx for tx, pin in self._pins.items() if pin.conn == conn]

    def at_home(self, home: str) -> list[bytes]:
        """Returns the transactions that are pinned to a home proxy."""
        return [tx for tx, pin in self._pins.items() if pin.home == home]
