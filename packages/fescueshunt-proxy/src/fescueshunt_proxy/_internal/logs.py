"""Structured logs of the proxy, with a line for each change of state."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from fescueshunt.core import identity, views


def configure(local_proxy: identity.Identity) -> None:
    """Configures structlog to write JSON lines to standard error.

    Each line contains the name and the zone of `local_proxy`.
    """
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
    structlog.contextvars.bind_contextvars(
        proxy=local_proxy.name, zone=local_proxy.zone
    )


class ViewChangeLogger:
    """Logs new settings, fleet changes, changes of primary and promotions."""

    def __init__(self) -> None:
        self._logger = structlog.get_logger(__name__)
        self._primaries: dict[str, str] = {}
        self._member_states: dict[str, str] = {}

    def log_settings(self, view: views.SettingsView) -> None:
        """Logs the settings revision that is now in force."""
        self._logger.info("settings_in_force", revision=view.document.revision)

    def log_fleet(self, view: views.FleetView) -> None:
        """Logs which members joined, left or changed state."""
        member_states = {m.name: m.state.value for m in view.members}
        changed = dict(member_states.items() - self._member_states.items())
        gone = sorted(self._member_states.keys() - member_states.keys())
        self._member_states = member_states
        if changed or gone:
            self._logger.info(
                "fleet_changed",
                changed=changed,
                gone=gone,
                size=len(member_states),
            )

    def log_group(self, view: views.GroupView) -> None:
        """Logs a change of a database's primary."""
        if self._primaries.get(view.database) != view.primary:
            self._primaries[view.database] = view.primary
            self._logger.info(
                "primary_changed",
                database=view.database,
                primary=view.primary,
                term=view.term.number,
            )

    def log_promotion(self, item: views.Promotion) -> None:
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
