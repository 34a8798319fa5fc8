"""Validation of the settings document as a whole.

All problems are reported at once, not only the first.
"""

from __future__ import annotations

import dataclasses
import datetime
import zoneinfo
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import document

SHARE_SUM_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value in the settings document.

    Attributes:
      entry: the kind and the name of the entry.
      field: the name of the field.
      value: the invalid value.
      expected: a description of a valid value.
    """

    entry: str
    field: str
    value: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.entry}: {self.field} = {self.value}: "
            f"expected {self.expected}"
        )


def find_problems(settings: document.Document) -> tuple[Problem, ...]:
    """Returns all problems of a settings document."""
    return (
        *_check_names("rank", (rank.name for rank in settings.ranks)),
        *_check_names("group", (group.name for group in settings.groups)),
        *_check_names("database", (entry.name for entry in settings.databases)),
        *_check_names(
            "service", (service.name for service in settings.services)
        ),
        *_check_names("day", (day.name for day in settings.calendar)),
        *_check_ranks(settings),
        *_check_groups(settings),
        *_check_databases(settings),
        *_check_services(settings),
        *_check_calendar(settings),
    )


def _check_names(kind: str, names: Iterable[str]) -> Iterator[Problem]:
    """Yields a problem for each empty or duplicate name."""
    seen: set[str] = set()
    for name in names:
        if not name:
            yield Problem(kind, "name", "''", "a name")
        elif name in seen:
            yield Problem(f"{kind} {name}", "name", name, "a unique name")
        seen.add(name)


def _check_ranks(settings: document.Document) -> Iterator[Problem]:
    yield from _check_shares(
        "ranks", "floor", [(r.name, r.floor) for r in settings.ranks]
    )
    orders: set[int] = set()
    for rank in settings.ranks:
        entry = f"rank {rank.name}"
        if rank.order in orders or rank.order < 0:
            yield Problem(entry, "order", str(rank.order), "a unique order")
        orders.add(rank.order)
        if not 0 <= rank.ceiling <= 1 or rank.ceiling < rank.floor:
            expected = "a share from the floor to 1"
            yield Problem(entry, "ceiling", str(rank.ceiling), expected)
        if rank.target_s <= 0:
            yield Problem(entry, "target_s", str(rank.target_s), "seconds > 0")
        if rank.worth < 0:
            yield Problem(entry, "worth", str(rank.worth), "a worth >= 0")


def _check_groups(settings: document.Document) -> Iterator[Problem]:
    for group in settings.groups:
        entry = f"group {group.name}"
        if group.slots < 1:
            yield Problem(entry, "slots", str(group.slots), "at least 1")
        if group.connections < group.slots:
            value = str(group.connections)
            yield Problem(
                entry, "connections", value, "at least the number of slots"
            )


def _check_databases(settings: document.Document) -> Iterator[Problem]:
    upstreams = [u for entry in settings.databases for u in entry.upstreams]
    yield from _check_names("upstream", (u.name for u in upstreams))
    for database in settings.databases:
        entry = f"database {database.name}"
        if settings.group(database.group) is None:
            yield Problem(entry, "group", database.group, "a declared group")
        if all(upstream.draining for upstream in database.upstreams):
            value = f"{len(database.upstreams)}, none in service"
            expected = "at least one upstream that does not drain"
            yield Problem(entry, "upstreams", value, expected)


def _check_services(settings: document.Document) -> Iterator[Problem]:
    for service in settings.services:
        entry = f"service {service.name}"
        if settings.group(service.group) is None:
            yield Problem(entry, "group", service.group, "a declared group")
        if settings.rank(service.rank) is None:
            yield Problem(entry, "rank", service.rank, "a declared rank")
        if service.max_age_s is not None and service.max_age_s <= 0:
            value = str(service.max_age_s)
            yield Problem(entry, "max_age_s", value, "seconds > 0, or null")


def _check_calendar(settings: document.Document) -> Iterator[Problem]:
    for day in settings.calendar:
        entry = f"day {day.name}"
        if not _is_date(day.date):
            yield Problem(entry, "date", day.date, "a date, YYYY-MM-DD")
        if not _is_time_zone(day.zone):
            yield Problem(entry, "zone", day.zone, "an IANA time zone")
        if day.lead_s < 0:
            yield Problem(entry, "lead_s", str(day.lead_s), "seconds >= 0")
        if not 0 <= day.warm <= 1:
            yield Problem(entry, "warm", str(day.warm), "a share of 0 to 1")
        for rank, _ in day.floors:
            if settings.rank(rank) is None:
                yield Problem(entry, "floors", rank, "a declared rank")
        yield from _check_shares(entry, "floors", day.floors)


def _check_shares(
    entry: str, field: str, shares: Iterable[tuple[str, float]]
) -> Iterator[Problem]:
    total = 0.0
    for name, share in shares:
        total += share
        if not 0 <= share <= 1:
            yield Problem(entry, field, f"{name}: {share}", "a share of 0 to 1")
    if total > 1 + SHARE_SUM_TOLERANCE:
        yield Problem(entry, field, f"{total:g} in total", "at most 1 in total")


def _is_date(text: str) -> bool:
    try:
        parsed = datetime.date.fromisoformat(text)
    except ValueError:
        return False
    return parsed.isoformat() == text


def _is_time_zone(name: str) -> bool:
    try:
        zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return False
    return True
