"""Checks of the settings document as a whole, with every problem at once."""

from __future__ import annotations

import dataclasses
import datetime
import zoneinfo
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import document

ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong with one entry, and what was expected instead."""

    entry: str
    field: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.entry}: {self.field} = {self.found}: "
            f"expected {self.expected}"
        )


def find_problems(value: document.Document) -> tuple[Problem, ...]:
    """Returns everything that is wrong with a document."""
    return (
        *_repeated("rank", (rank.name for rank in value.ranks)),
        *_repeated("group", (group.name for group in value.groups)),
        *_repeated("database", (entry.name for entry in value.databases)),
        *_repeated("service", (service.name for service in value.services)),
        *_repeated("day", (day.name for day in value.calendar)),
        *_ranks(value),
        *_groups(value),
        *_databases(value),
        *_services(value),
        *_calendar(value),
    )


def _repeated(kind: str, names: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for name in names:
        if not name:
            yield Problem(kind, "name", "''", "a name")
        elif name in seen:
            yield Problem(f"{kind} {name}", "name", name, "a unique name")
        seen.add(name)


def _ranks(value: document.Document) -> Iterator[Problem]:
    yield from _shares(
        "ranks", "floor", [(r.name, r.floor) for r in value.ranks]
    )
    orders: set[int] = set()
    for rank in value.ranks:
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


def _groups(value: document.Document) -> Iterator[Problem]:
    for group in value.groups:
        entry = f"group {group.name}"
        if group.slots < 1:
            yield Problem(entry, "slots", str(group.slots), "at least 1")
        if group.connections < group.slots:
            found = str(group.connections)
            yield Problem(entry, "connections", found, "at least the slots")


def _databases(value: document.Document) -> Iterator[Problem]:
    upstreams = [u for entry in value.databases for u in entry.upstreams]
    yield from _repeated("upstream", (u.name for u in upstreams))
    for database in value.databases:
        entry = f"database {database.name}"
        if value.group(database.group) is None:
            yield Problem(entry, "group", database.group, "a declared group")
        if all(upstream.draining for upstream in database.upstreams):
            found = f"{len(database.upstreams)}, none in service"
            expected = "at least one upstream that doesn't drain"
            yield Problem(entry, "upstreams", found, expected)


def _services(value: document.Document) -> Iterator[Problem]:
    for service in value.services:
        entry = f"service {service.name}"
        if value.group(service.group) is None:
            yield Problem(entry, "group", service.group, "a declared group")
        if value.rank(service.rank) is None:
            yield Problem(entry, "rank", service.rank, "a declared rank")
        if service.max_age_s is not None and service.max_age_s <= 0:
            found = str(service.max_age_s)
            yield Problem(entry, "max_age_s", found, "seconds > 0, or null")


def _calendar(value: document.Document) -> Iterator[Problem]:
    for day in value.calendar:
        entry = f"day {day.name}"
        if not _is_date(day.date):
            yield Problem(entry, "date", day.date, "a date, YYYY-MM-DD")
        if not _is_zone(day.zone):
            yield Problem(entry, "zone", day.zone, "an IANA time zone")
        if day.lead_s < 0:
            yield Problem(entry, "lead_s", str(day.lead_s), "seconds >= 0")
        if not 0 <= day.warm <= 1:
            yield Problem(entry, "warm", str(day.warm), "a share of 0 to 1")
        for rank, _ in day.floors:
            if value.rank(rank) is None:
                yield Problem(entry, "floors", rank, "a declared rank")
        yield from _shares(entry, "floors", day.floors)


def _shares(
    entry: str, field: str, shares: Iterable[tuple[str, float]]
) -> Iterator[Problem]:
    total = 0.0
    for name, share in shares:
        total += share
        if not 0 <= share <= 1:
            yield Problem(entry, field, f"{name}: {share}", "a share of 0 to 1")
    if total > 1 + ROUNDING:
        yield Problem(entry, field, f"{total:g} in all", "at most 1 in all")


def _is_date(text: str) -> bool:
    try:
        parsed = datetime.date.fromisoformat(text)
    except ValueError:
        return False
    return parsed.isoformat() == text


def _is_zone(name: str) -> bool:
    try:
        zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return False
    return True
