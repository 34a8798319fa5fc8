"""Filter for the surge calendar: days on which heavy load is expected.

Time zone rules come from the tzdata package. The current time comes from ticks,
so no clock is read here.
"""

from __future__ import annotations

import dataclasses
import datetime
import zoneinfo
from typing import TYPE_CHECKING

from fescueshunt.core import document, filters, views

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

EVALUATION_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class SurgeView(filters.Item):
    """The changes to queues and pools made by the calendar days in force.

    Attributes:
      days: the names of the calendar days in force.
      floors: the share of slots guaranteed to each rank, by name; these replace
        the declared floors.
      min_connection_share: the share of a pool's connections that are kept open
        without work.
    """

    days: tuple[str, ...] = ()
    floors: tuple[tuple[str, float], ...] = ()
    min_connection_share: float = 0.0


class Surge(filters.Filter):
    """Publishes a `SurgeView` whenever the calendar days in force change."""

    def __init__(self) -> None:
        self._days: tuple[document.CalendarDay, ...] = ()
        self._wall_s: float | None = None
        self._next_evaluation_s = 0.0
        self._published = SurgeView(0.0)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields `item`, and a `SurgeView` if the days in force changed."""
        match item:
            case views.SettingsView():
                self._days = item.document.calendar
                yield item
                yield from self._publish(item.at)
            case filters.Tick():
                if (
                    self._wall_s is None
                    or item.wall_s >= self._next_evaluation_s
                ):
                    self._wall_s = item.wall_s
                    self._next_evaluation_s = (
                        item.wall_s + EVALUATION_INTERVAL_S
                    )
                    yield from self._publish(item.at)
                yield item
            case _:
                yield item

    def _publish(self, now: float) -> Iterator[SurgeView]:
        if self._wall_s is None:
            return
        view = build_view(self._days, self._wall_s, now)
        if dataclasses.replace(view, at=self._published.at) != self._published:
            self._published = view
            yield view


def build_view(
    days: Iterable[document.CalendarDay], wall_s: float, now: float = 0.0
) -> SurgeView:
    """Returns the changes made by the calendar days in force at `wall_s`.

    Where days overlap, each rank gets the higher of its floors. If the floors
    then add up to more than 1, all are scaled down in proportion.
    """
    active_days = [day for day in days if is_active(day, wall_s)]
    floors: dict[str, float] = {}
    for day in active_days:
        for rank, floor in day.floors:
            floors[rank] = max(floor, floors.get(rank, 0.0))
    scale = max(sum(floors.values()), 1.0)
    return SurgeView(
        now,
        tuple(day.name for day in active_days),
        tuple((rank, floor / scale) for rank, floor in floors.items()),
        max((day.warm for day in active_days), default=0.0),
    )


def is_active(day: document.CalendarDay, wall_s: float) -> bool:
    """Returns whether `day` is in force at `wall_s`.

    A confirmed day is in force from its lead time before its first midnight to
    its last midnight. A day with an invalid date or time zone is never
    in force.
    """
    if day.state is not document.DayState.CONFIRMED:
        return False
    try:
        start_s, end_s = day_bounds(day)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError):
        return False
    return start_s - day.lead_s <= wall_s < end_s


def day_bounds(day: document.CalendarDay) -> tuple[float, float]:
    """Returns the start and end of `day`, in seconds since the epoch.

    Raises:
      ValueError: if the date is invalid.
      zoneinfo.ZoneInfoNotFoundError: if the time zone is unknown.
    """
    zone = zoneinfo.ZoneInfo(day.zone)
    date = datetime.date.fromisoformat(day.date)
    next_date = date + datetime.timedelta(days=1)
    return _midnight_s(date, zone), _midnight_s(next_date, zone)


def _midnight_s(date: datetime.date, zone: zoneinfo.ZoneInfo) -> float:
    midnight = datetime.datetime.combine(date, datetime.time(), zone)
    return midnight.timestamp()
