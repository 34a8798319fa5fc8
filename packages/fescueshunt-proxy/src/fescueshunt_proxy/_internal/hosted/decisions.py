"""The log of decisions: JSON lines on standard output, within a budget."""

from __future__ import annotations

import dataclasses
import os
import sys
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from fescueshunt.core import identity, session_items
    from fescueshunt_proxy._internal.hosted import own_settings


class LineSink:
    """Writes lines to a file descriptor and never waits for its reader.

    A line that finds no room is left out and counted; the next one that is
    written tells how many were.
    """

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._rest = b""
        self._left_out = 0

    @classmethod
    def of_standard_output(cls, *_: object) -> LineSink:
        """Returns a sink of standard output."""
        return cls(sys.stdout.fileno())

    def msg(self, line: str) -> None:
        """Writes `line`, or leaves it out."""
        data = self._rest + self._told() + line.encode() + b"\n"
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            self._left_out += 1
            return
        self._left_out = 0
        self._rest = data[written:]

    info = warning = error = debug = critical = msg

    def _told(self) -> bytes:
        if not self._left_out:
            return b""
        return b'{"event": "lines_left_out", "count": %d}\n' % self._left_out


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
        logger_factory=LineSink.of_standard_output,
    )
    structlog.contextvars.bind_contextvars(host=me.name, zone=me.zone)


@dataclasses.dataclass(slots=True)
class Budget:
    """Lines of one kind that may still be written.

    Attributes:
      lines: how many, growing with time.
      left_out: how many were not written since the last one that was.
    """

    at: float
    lines: float
    left_out: int = 0

    def take(self, now: float, cfg: own_settings.OwnSettings) -> bool:
        """Tells whether a line may be written, and counts it."""
        grown = self.lines + (now - self.at) * cfg.log_lines_per_s
        self.lines = min(grown, cfg.log_burst_lines)
        self.at = now
        if self.lines < 1:
            self.left_out += 1
            return False
        self.lines -= 1
        return True


class DecisionLog:
    """Writes one line for each decision, and counts what it leaves out."""

    def __init__(self, cfg: own_settings.OwnSettings) -> None:
        self._cfg = cfg
        self._logger = structlog.get_logger(__name__)
        self._budgets: dict[str, Budget] = {}

    def decided(self, item: session_items.LogDecision) -> None:
        """Writes a decision if the budget of its kind allows."""
        budget = self._budgets.get(item.event)
        if budget is None:
            budget = Budget(item.at, self._cfg.log_burst_lines)
            self._budgets[item.event] = budget
        if not budget.take(item.at, self._cfg):
            return
        fields = dict(item.details)
        if item.statement_id:
            fields["statement"] = item.statement_id
        if budget.left_out:
            fields["left_out"] = budget.left_out
            budget.left_out = 0
        self._logger.info(item.event, at=round(item.at, 4), **fields)
