"""The surge calendar: which confirmed days are in force at a wall time.

The time zones' rules come from the tzdata package; no clock is read.
"""

from __future__ import annotations

import dataclasses
import datetime
import zoneinfo
from typing import TYPE_CHECKING

from fescueshunt.core import document, filters, views

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

REVIEW_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class SurgeView(filters.Item):
    """What the days in force change.

    Attributes:
      days: the names of the days in force.
      floors: the floors that replace the declared ones, by rank.
      warm: the share of a pool's connections that is kept open.
    """

    days: tuple[str, ...] = ()
    floors: tuple[tuple[str, float], ...] = ()
    warm: float = 0.0


class Surge(filters.Filter):
    """Publishes the days in force whenever they change."""

    def __init__(self) -> None:
        self._days: tuple[document.CalendarDay, ...] = ()
        self._wall_s: float | None = None
        self._next_s = 0.0
        self._published = SurgeView(0.0)

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields a view before the item that changed it."""
        match item:
            case views.SettingsView():
                self._days = item.document.calendar
                yield item
                yield from self._publish(item.at)
            case filters.Tick():
                if self._wall_s is None or item.wall_s >= self._next_s:
                    self._wall_s = item.wall_s
                    self._next_s = item.wall_s + REVIEW_S
                    yield from self._publish(item.at)
                yield item
            case _:
                yield item

    def _publish(self, now: float) -> Iterator[SurgeView]:
        if self._wall_s is None:
            return
        view = in_force(self._days, self._wall_s, now)
        if dataclasses.replace(view, at=self._published.at) != self._published:
            self._published = view
            yield view


def in_force(
    days: Iterable[document.CalendarDay], wall_s: float, now: float = 0.0
) -> SurgeView:
    """Returns what the days in force at `wall_s` change.

    Where two days overlap, each rank keeps the higher of its floors, all
    scaled down if they would take more than the whole.
    """
    found = [day for day in days if is_in_force(day, wall_s)]
    floors: dict[str, float] = {}
    for day in found:
        for rank, floor in day.floors:
            floors[rank] = max(floor, floors.get(rank, 0.0))
    scale = max(sum(floors.values()), 1.0)
    return SurgeView(
        now,
        tuple(day.name for day in found),
        tuple((rank, floor / scale) for rank, floor in floors.items()),
        max((day.warm for day in found), default=0.0),
    )


def is_in_force(day: document.CalendarDay, wall_s: float) -> bool:
    """Tells whether a confirmed `day`, with its lead time, is on.

    A day whose date or zone doesn't exist never is.
    """
    if day.state is not document.DayState.CONFIRMED:
        return False
    try:
        start_s, end_s = bounds_of(day)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError):
        return False
    return start_s - day.lead_s <= wall_s < end_s


def bounds_of(day: document.CalendarDay) -> tuple[float, float]:
    """Returns the first second of `day` and that after it, since the epoch."""
    zone = zoneinfo.ZoneInfo(day.zone)
    date = datetime.date.fromisoformat(day.date)
    following = date + datetime.timedelta(days=1)
    return _midnight_s(date, zone), _midnight_s(following, zone)


def _midnight_s(date: datetime.date, zone: zoneinfo.ZoneInfo) -> float:
    midnight = datetime.datetime.combine(date, datetime.time(), zone)
    return midnight.timestamp()
