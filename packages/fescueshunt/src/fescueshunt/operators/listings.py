"""Listings: the rows that SHOW has for each subject."""

from __future__ import annotations

import abc
import datetime
from typing import TYPE_CHECKING, ClassVar

from fescueshunt.core import homes, statements, views

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import document, position
    from fescueshunt.operators import known

Row = tuple[statements.Value, ...]
MS_DIGITS = 3


class Listing(abc.ABC):
    """One subject: its columns and its rows."""

    columns: ClassVar[tuple[str, ...]]

    @abc.abstractmethod
    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields every row, at `now` of the local clock."""


class Settings(Listing):
    """The revision in force, in one row."""

    columns = (
        "revision",
        "operation",
        "author",
        "reason",
        "ranks",
        "services",
        "groups",
        "databases",
        "days",
        "draining_hosts",
    )

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields the one row."""
        value = seen.document
        yield (
            value.revision,
            value.operation.hex(),
            value.author,
            value.reason,
            len(value.ranks),
            len(value.services),
            len(value.groups),
            len(value.databases),
            len(value.calendar),
            ", ".join(value.draining_hosts),
        )


class Services(Listing):
    """The declared services."""

    columns = (
        "name",
        "group",
        "rank",
        "writes",
        "durability",
        "max_age_s",
    )

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each service."""
        for service in seen.document.services:
            yield _fields(service, self.columns)


class Ranks(Listing):
    """The declared ranks."""

    columns = ("name", "order", "target_s", "worth", "floor", "ceiling")

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each rank."""
        for rank in seen.document.ranks:
            yield _fields(rank, self.columns)


class Groups(Listing):
    """The declared database groups."""

    columns = ("name", "slots", "connections")

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each group."""
        for group in seen.document.groups:
            yield _fields(group, self.columns)


class Databases(Listing):
    """The databases, with term and primary where this proxy watches them."""

    columns = (
        "name",
        "group",
        "upstreams",
        "watched",
        "term",
        "proposer",
        "primary",
        "confirmed_ago_s",
    )

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each database."""
        for database in seen.document.databases:
            head = (database.name, database.group, len(database.upstreams))
            view = seen.groups.get(database.name)
            if view is None:
                yield (*head, False, None, None, None, None)
                continue
            ago_s = round(now - view.confirmed_at, MS_DIGITS)
            term = view.term
            primary = view.primary
            yield (*head, True, term.number, term.proposer, primary, ago_s)


class Upstreams(Listing):
    """The upstreams: role, term, position and lag in log entries."""

    columns = (
        "database",
        "name",
        "zone",
        "address",
        "draining",
        "role",
        "term",
        "position",
        "lag",
        "reachable",
        "seen_ago_s",
    )

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each upstream."""
        for database in seen.document.databases:
            view = seen.groups.get(database.name)
            for upstream in database.upstreams:
                head = (
                    database.name,
                    upstream.name,
                    upstream.zone,
                    upstream.address,
                    upstream.draining or _is_leaving(view, upstream),
                )
                yield (*head, *_state(view, upstream.name, now))


class Calendar(Listing):
    """The calendar days."""

    columns = ("name", "date", "zone", "state", "lead_s", "warm", "floors")

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each day."""
        for day in seen.document.calendar:
            floors = ", ".join(
                f"{name}: {share:g}" for name, share in day.floors
            )
            yield (*_fields(day, self.columns[:-1]), floors)


class Homes(Listing):
    """Which proxy is home to which upstream."""

    columns = ("database", "upstream", "zone", "home")

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each upstream."""
        for database in seen.document.databases:
            for upstream in database.upstreams:
                home = homes.find_home(database.name, upstream, seen.fleet)
                yield (database.name, upstream.name, upstream.zone, home)


class Members(Listing):
    """The proxies that this one knows."""

    columns = (
        "name",
        "zone",
        "address",
        "state",
        "incarnation",
        "zone_cut",
        "draining",
    )

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each proxy."""
        for member in seen.fleet.members:
            yield (
                *_fields(member, self.columns[:5]),
                member.zone in seen.fleet.partitioned_zones,
                member.name in seen.document.draining_hosts,
            )


class History(Listing):
    """The newest changes of the settings."""

    columns = (
        "revision",
        "author",
        "operator",
        "reason",
        "statement",
        "operation",
        "asked",
    )

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each change, newest first."""
        for entry in reversed(seen.document.history):
            asked = datetime.datetime.fromtimestamp(entry.asked_s, datetime.UTC)
            yield (
                *_fields(entry, self.columns[:5]),
                entry.operation.hex(),
                asked.isoformat(timespec="seconds"),
            )


class Propagation(Listing):
    """Which proxy has which revision in force, as far as this one heard."""

    columns = ("proxy", "zone", "state", "revision", "behind", "heard_ago_s")

    def rows(self, seen: known.Known, now: float) -> Iterator[Row]:
        """Yields a row for each proxy."""
        mine = seen.document.revision
        for member in seen.fleet.members:
            head = (member.name, member.zone, member.state.value)
            heard = seen.heard.get(member.name)
            if member.name == seen.me.name:
                yield (*head, mine, 0, 0.0)
            elif heard is None:
                yield (*head, None, None, None)
            else:
                behind = max(mine - heard.revision, 0)
                ago_s = round(now - heard.at, MS_DIGITS)
                yield (*head, heard.revision, behind, ago_s)


LISTINGS: dict[statements.Subject, Listing] = {
    statements.Subject.SETTINGS: Settings(),
    statements.Subject.SERVICES: Services(),
    statements.Subject.RANKS: Ranks(),
    statements.Subject.GROUPS: Groups(),
    statements.Subject.DATABASES: Databases(),
    statements.Subject.UPSTREAMS: Upstreams(),
    statements.Subject.CALENDAR: Calendar(),
    statements.Subject.HOMES: Homes(),
    statements.Subject.MEMBERS: Members(),
    statements.Subject.HISTORY: History(),
    statements.Subject.PROPAGATION: Propagation(),
}


def _fields(entry: object, names: tuple[str, ...]) -> Row:
    return tuple(_plain(getattr(entry, name)) for name in names)


def _plain(value: object) -> statements.Value:
    return str(value) if isinstance(value, str) else value


def _is_leaving(
    view: views.GroupView | None, upstream: document.Upstream
) -> bool:
    return view is not None and upstream.name in view.leaving


def _state(view: views.GroupView | None, name: str, now: float) -> Row:
    """Returns role, term, position, lag, reachable and age of one upstream."""
    state = view.find(name) if view is not None else None
    if state is None or state.status is None:
        reachable = None if state is None else state.failed_at is None
        return (None, None, None, None, reachable, None)
    status = state.status
    return (
        status.role.value,
        status.term.number,
        status.history.end,
        _lag(view, status.history),
        state.failed_at is None,
        round(now - state.sent_at, MS_DIGITS),
    )


def _lag(view: views.GroupView, history: position.History) -> int | None:
    """Returns how many entries of the primary's log `history` lacks."""
    primary = view.find(view.primary)
    if primary is None or primary.status is None:
        return None
    newest = primary.status.history
    return newest.end - newest.common_end(history)
