"""The log of decisions: JSON lines on standard output, within a budget."""

from __future__ import annotations

import dataclasses
import os
import sys
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from fescueshunt.core import identity, session_items
    from fescueshunt_proxy._internal.hosted import operator_settings


class NonBlockingLogger:
    """Writes lines to a file descriptor and never waits for its reader.

    A line that finds no room is left out and counted; the next one that is
    written tells how many were.
    """

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._unsent = b""
        self._dropped_count = 0

    @classmethod
    def for_stdout(cls, *_: object) -> NonBlockingLogger:
        """Returns a sink of standard output."""
        return cls(sys.stdout.fileno())

    def msg(self, line: str) -> None:
        """Writes `line`, or leaves it out."""
        data = self._unsent + self._format_drop_notice() + line.encode() + b"\n"
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            self._dropped_count += 1
            return
        self._dropped_count = 0
        self._unsent = data[written:]

    info = warning = error = debug = critical = msg

    def _format_drop_notice(self) -> bytes:
        if not self._dropped_count:
            return b""
        return (
            b'{"event": "lines_left_out", "count": %d}\n' % self._dropped_count
        )


def configure(local_host: identity.Identity) -> None:
    """Sends log lines as JSON to standard output."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=NonBlockingLogger.for_stdout,
    )
    structlog.contextvars.bind_contextvars(
        host=local_host.name, zone=local_host.zone
    )


@dataclasses.dataclass(slots=True)
class LineBudget:
    """Lines of one kind that may still be written.

    Attributes:
      lines: how many, growing with time.
      left_out: how many were not written since the last one that was.
    """

    updated_at: float
    available: float
    left_out: int = 0

    def try_consume(
        self, now: float, cfg: operator_settings.OperatorSettings
    ) -> bool:
        """Tells whether a line may be written, and counts it."""
        refilled = (
            self.available + (now - self.updated_at) * cfg.log_lines_per_s
        )
        self.available = min(refilled, cfg.log_burst_lines)
        self.updated_at = now
        if self.available < 1:
            self.left_out += 1
            return False
        self.available -= 1
        return True


class DecisionLog:
    """Writes one line for each decision, and counts what it leaves out."""

    def __init__(self, cfg: operator_settings.OperatorSettings) -> None:
        self._settings = cfg
        self._logger = structlog.get_logger(__name__)
        self._budgets_by_event: dict[str, LineBudget] = {}

    def write(self, item: session_items.Decided) -> None:
        """Writes a decision if the budget of its kind allows."""
        budget = self._budgets_by_event.get(item.event)
        if budget is None:
            budget = LineBudget(item.at, self._settings.log_burst_lines)
            self._budgets_by_event[item.event] = budget
        if not budget.try_consume(item.at, self._settings):
            return
        fields = dict(item.details)
        if item.statement_id:
            fields["statement"] = item.statement_id
        if budget.left_out:
            fields["left_out"] = budget.left_out
            budget.left_out = 0
        self._logger.info(item.event, at=round(item.at, 4), **fields)
