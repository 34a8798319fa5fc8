"""Logs: one line for each change of state, by structlog."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from fescueshunt.core import identity, views


def configure(me: identity.Identity) -> None:
    """Sends log lines as JSON to standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(proxy=me.name, zone=me.zone)


class ChangeLog:
    """Logs views when, and only when, what they say has changed."""

    def __init__(self) -> None:
        self._logger = structlog.get_logger(__name__)
        self._primaries: dict[str, str] = {}
        self._members: dict[str, str] = {}

    def settings(self, view: views.SettingsView) -> None:
        """Logs a new revision."""
        self._logger.info("settings_in_force", revision=view.document.revision)

    def fleet(self, view: views.FleetView) -> None:
        """Logs which members are new, gone or in another state."""
        members = {m.name: m.state.value for m in view.members}
        changed = dict(members.items() - self._members.items())
        gone = sorted(self._members.keys() - members.keys())
        self._members = members
        if changed or gone:
            self._logger.info(
                "fleet_changed", changed=changed, gone=gone, size=len(members)
            )

    def group(self, view: views.GroupView) -> None:
        """Logs a change of primary."""
        if self._primaries.get(view.database) != view.primary:
            self._primaries[view.database] = view.primary
            self._logger.info(
                "primary_changed",
                database=view.database,
                primary=view.primary,
                term=view.term.number,
            )

    def promotion(self, item: views.Promotion) -> None:
        """Logs a promotion that this proxy carried out."""
        self._logger.info(
            "promoted",
            database=item.database,
            primary=item.primary,
            previous=item.previous,
            term=item.term.number,
            cause=item.cause.value,
            reason=item.reason.value,
            witnesses=item.witnesses,
            after_s=round(item.at - item.suspected_at, 3),
            attempts=item.attempts,
        )
