"""Log of the core's decisions: rate-limited JSON lines on standard output."""

from __future__ import annotations

import dataclasses
import os
import sys
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from fescueshunt.core import identity, session_items
    from fescueshunt_proxy._internal.hosted import own_settings


class NonBlockingLogger:
    """Writes lines to a file descriptor without blocking.

    A line that can't be written, because the descriptor's reader does not keep
    up or has ended, is dropped and counted. The next line written is preceded
    by one that gives the number of dropped lines.
    """

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._unsent = b""
        self._dropped_count = 0

    @classmethod
    def for_stdout(cls, *_: object) -> NonBlockingLogger:
        """Returns a logger that writes to standard output."""
        return cls(sys.stdout.fileno())

    def msg(self, line: str) -> None:
        """Writes `line`, or drops it if it can't be written at once."""
        data = self._unsent + self._format_drop_notice() + line.encode() + b"\n"
        try:
            written = os.write(self._fd, data)
        except OSError:
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
    """Configures structlog to write JSON lines to standard output."""
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
    """Token bucket that limits the log lines of one event name.

    Attributes:
      updated_at: time of the last refill, in seconds.
      available: number of lines that may be written now; refilled at
        `log_lines_per_s` up to `log_burst_lines`.
      dropped_count: number of lines dropped since the last line written.
    """

    updated_at: float
    available: float
    dropped_count: int = 0

    def try_consume(
        self, now: float, cfg: own_settings.OperatorSettings
    ) -> bool:
        """Takes one line from the budget; returns False if none is left."""
        refilled = (
            self.available + (now - self.updated_at) * cfg.log_lines_per_s
        )
        self.available = min(refilled, cfg.log_burst_lines)
        self.updated_at = now
        if self.available < 1:
            self.dropped_count += 1
            return False
        self.available -= 1
        return True


class DecisionLog:
    """Writes one log line for each decision, rate-limited by event name."""

    def __init__(self, cfg: own_settings.OperatorSettings) -> None:
        self._settings = cfg
        self._logger = structlog.get_logger(__name__)
        self._budgets_by_event: dict[str, LineBudget] = {}

    def write(self, item: session_items.LogDecision) -> None:
        """Writes a decision unless its event name is over the rate limit."""
        budget = self._budgets_by_event.get(item.event)
        if budget is None:
            budget = LineBudget(item.at, self._settings.log_burst_lines)
            self._budgets_by_event[item.event] = budget
        if not budget.try_consume(item.at, self._settings):
            return
        fields = dict(item.details)
        if item.statement_id:
            fields["statement"] = item.statement_id
        if budget.dropped_count:
            fields["left_out"] = budget.dropped_count
            budget.dropped_count = 0
        self._logger.info(item.event, at=round(item.at, 4), **fields)
