"""Log events of the quota pipe."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import session_items

if TYPE_CHECKING:
    from fescueshunt.core import store_items


def report_ignored(
    host: str, duty: store_items.DutyView, now: float
) -> session_items.LogDecision:
    """Returns the event of a report to a host that may not grant shares.

    Args:
      host: the host that reports.
      duty: the duty as the host that is asked knows it.
      now: the current time; local clock, seconds.
    """
    details = {
        "from_host": host,
        "token": duty.token,
        "lease_left_s": round(max(duty.valid_until - now, 0.0), 4),
    }
    return session_items.LogDecision(now, "quota_report_ignored", "", details)


def coordinator_silent(
    coordinator: str, since: float, now: float
) -> session_items.LogDecision:
    """Returns the event of a coordinator that doesn't answer reports.

    Args:
      coordinator: the name of its host.
      since: when the oldest unanswered report was sent; local clock, seconds.
      now: the current time; local clock, seconds.
    """
    details = {"coordinator": coordinator, "for_s": round(now - since, 4)}
    return session_items.LogDecision(
        now, "quota_coordinator_silent", "", details
    )
