"""The tables that SHOW lists, one class for each subject."""

from __future__ import annotations

import abc
import datetime
from typing import TYPE_CHECKING, ClassVar

from fescueshunt.core import homes, statements, views

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import document, position
    from fescueshunt.operators import show_state

Row = tuple[statements.Value, ...]
SECONDS_DECIMALS = 3


class Listing(abc.ABC):
    """The table that SHOW lists for one subject.

    Attributes:
      columns: the names of the columns.
    """

    columns: ClassVar[tuple[str, ...]]

    @abc.abstractmethod
    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields the rows.

        Args:
          state: the views to list.
          now: the current time; seconds, local clock.
        """


class Settings(Listing):
    """The settings revision in force, as a single row."""

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

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields the row of the revision in force."""
        settings = state.document
        yield (
            settings.revision,
            settings.operation.hex(),
            settings.author,
            settings.reason,
            len(settings.ranks),
            len(settings.services),
            len(settings.groups),
            len(settings.databases),
            len(settings.calendar),
            ", ".join(settings.draining_hosts),
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

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each service."""
        for service in state.document.services:
            yield _field_values(service, self.columns)


class Ranks(Listing):
    """The declared ranks."""

    columns = ("name", "order", "target_s", "worth", "floor", "ceiling")

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each rank."""
        for rank in state.document.ranks:
            yield _field_values(rank, self.columns)


class Groups(Listing):
    """The declared database groups."""

    columns = ("name", "slots", "connections")

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each group."""
        for group in state.document.groups:
            yield _field_values(group, self.columns)


class Databases(Listing):
    """The databases, with term and primary if this proxy monitors them."""

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

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each database."""
        for database in state.document.databases:
            head = (database.name, database.group, len(database.upstreams))
            view = state.groups.get(database.name)
            if view is None:
                yield (*head, False, None, None, None, None)
                continue
            ago_s = round(now - view.confirmed_at, SECONDS_DECIMALS)
            term = view.term
            primary = view.primary
            yield (*head, True, term.number, term.proposer, primary, ago_s)


class Upstreams(Listing):
    """The upstreams, with their status and their lag in log entries."""

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

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each upstream."""
        for database in state.document.databases:
            view = state.groups.get(database.name)
            for upstream in database.upstreams:
                head = (
                    database.name,
                    upstream.name,
                    upstream.zone,
                    upstream.address,
                    upstream.draining or _is_leaving(view, upstream),
                )
                yield (*head, *_status_columns(view, upstream.name, now))


class Calendar(Listing):
    """The declared calendar days."""

    columns = ("name", "date", "zone", "state", "lead_s", "warm", "floors")

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each day."""
        for day in state.document.calendar:
            floors = ", ".join(
                f"{name}: {share:g}" for name, share in day.floors
            )
            yield (*_field_values(day, self.columns[:-1]), floors)


class Homes(Listing):
    """The home proxy of each upstream."""

    columns = ("database", "upstream", "zone", "home")

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each upstream."""
        for database in state.document.databases:
            for upstream in database.upstreams:
                home = homes.find_home(database.name, upstream, state.fleet)
                yield (database.name, upstream.name, upstream.zone, home)


class Members(Listing):
    """The members of the fleet that this proxy knows."""

    columns = (
        "name",
        "zone",
        "address",
        "state",
        "incarnation",
        "zone_cut",
        "draining",
    )

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each proxy."""
        for member in state.fleet.members:
            yield (
                *_field_values(member, self.columns[:5]),
                member.zone in state.fleet.partitioned_zones,
                member.name in state.document.draining_hosts,
            )


class History(Listing):
    """The newest changes to the settings."""

    columns = (
        "revision",
        "author",
        "operator",
        "reason",
        "statement",
        "operation",
        "asked",
    )

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each change, newest first."""
        for entry in reversed(state.document.history):
            requested_at = datetime.datetime.fromtimestamp(
                entry.asked_s, datetime.UTC
            )
            yield (
                *_field_values(entry, self.columns[:5]),
                entry.operation.hex(),
                requested_at.isoformat(timespec="seconds"),
            )


class Propagation(Listing):
    """The settings revision of each proxy, as last reported to this one."""

    columns = ("proxy", "zone", "state", "revision", "behind", "heard_ago_s")

    def rows(self, state: show_state.ShowState, now: float) -> Iterator[Row]:
        """Yields a row for each proxy."""
        local_revision = state.document.revision
        for member in state.fleet.members:
            head = (member.name, member.zone, member.state.value)
            reported = state.peer_revisions.get(member.name)
            if member.name == state.local_proxy.name:
                yield (*head, local_revision, 0, 0.0)
            elif reported is None:
                yield (*head, None, None, None)
            else:
                behind = max(local_revision - reported.revision, 0)
                ago_s = round(now - reported.at, SECONDS_DECIMALS)
                yield (*head, reported.revision, behind, ago_s)


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


def _field_values(entry: object, names: tuple[str, ...]) -> Row:
    return tuple(_to_plain_value(getattr(entry, name)) for name in names)


def _to_plain_value(value: object) -> statements.Value:
    return str(value) if isinstance(value, str) else value


def _is_leaving(
    view: views.GroupView | None, upstream: document.Upstream
) -> bool:
    return view is not None and upstream.name in view.leaving


def _status_columns(view: views.GroupView | None, name: str, now: float) -> Row:
    """Returns the values of `role` and of all later columns for `name`.

    A value is None if it is unknown.
    """
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
        round(now - state.sent_at, SECONDS_DECIMALS),
    )


def _lag(view: views.GroupView, history: position.History) -> int | None:
    """Returns how many entries of the primary's log `history` lacks.

    Returns None if the primary's log is unknown.
    """
    primary = view.find(view.primary)
    if primary is None or primary.status is None:
        return None
    newest = primary.status.history
    return newest.end - newest.common_end(history)
