"""The log of decisions: JSON lines on standard output, within a budget."""

from __future__ import annotations

import dataclasses
import sys
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from fescueshunt.core import identity, session_items

LINES_PER_S = 20.0
BURST_LINES = 60.0


def configure(me: identity.Identity) -> None:
    """Sends log lines as JSON to standard output."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    structlog.contextvars.bind_contextvars(host=me.name, zone=me.zone)


@dataclasses.dataclass(slots=True)
class Budget:
    """Lines of one kind that may still be written.

    Attributes:
      lines: how many, growing with time up to BURST_LINES.
      left_out: how many were not written since the last one that was.
    """

    at: float
    lines: float = BURST_LINES
    left_out: int = 0

    def take(self, now: float) -> bool:
        """Tells whether a line may be written, and counts it."""
        grown = self.lines + (now - self.at) * LINES_PER_S
        self.lines = min(grown, BURST_LINES)
        self.at = now
        if self.lines < 1:
            self.left_out += 1
            return False
        self.lines -= 1
        return True


class DecisionLog:
    """Writes one line for each decision, and counts what it leaves out."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._logger = structlog.get_logger(__name__)
        self._budgets: dict[str, Budget] = {}

    def decided(self, item: session_items.Decided) -> None:
        """Writes a decision if the budget of its kind allows."""
        budget = self._budgets.setdefault(item.event, Budget(item.at))
        if not budget.take(item.at):
            return
        fields = dict(item.details)
        if item.statement_id:
            fields["statement"] = item.statement_id
        if budget.left_out:
            fields["left_out"] = budget.left_out
            budget.left_out = 0
        self._logger.info(item.event, at=round(item.at, 4), **fields)
