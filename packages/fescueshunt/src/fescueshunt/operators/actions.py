"""What each verb of the operators' language does to the settings document."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt.core import document, ranks, statements

if TYPE_CHECKING:
    from collections.abc import Iterable

_KINDS: dict[statements.Kind, tuple[str, type]] = {
    statements.Kind.RANK: ("ranks", ranks.Rank),
    statements.Kind.SERVICE: ("services", document.Service),
    statements.Kind.GROUP: ("groups", document.Group),
    statements.Kind.DAY: ("calendar", document.CalendarDay),
}


class Action(abc.ABC):
    """One verb."""

    @abc.abstractmethod
    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns `before` with the change made.

        Raises:
          SettingsError: if the change doesn't fit what is declared.
        """


class Create(Action):
    """CREATE: declares an entry."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with one more entry."""
        attribute, of = _kind(change)
        entries = getattr(before, attribute)
        if _find(entries, change.name) is not None:
            raise errors.SettingsError(f"{_label(change)} is declared already")
        values = {"name": change.name, **_values(of, change)}
        missing = [
            field.name
            for field in dataclasses.fields(of)
            if field.default is dataclasses.MISSING and field.name not in values
        ]
        if missing:
            expected = ", ".join(missing)
            raise errors.SettingsError(f"{_label(change)} needs {expected}")
        return dataclasses.replace(
            before, **{attribute: (*entries, of(**values))}
        )


class Declare(Action):
    """DECLARE DAY: puts a day on the calendar, not confirmed yet."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with one more day."""
        state = statements.Field("state", document.DayState.DECLARED.value)
        fields = (*change.fields, state)
        declared = dataclasses.replace(change, fields=fields)
        return Create().apply(before, declared)


class Set(Action):
    """SET: gives fields of an entry, or all floors, new values."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the fields set."""
        if change.kind is statements.Kind.FLOORS:
            return _set_floors(before, change)
        attribute, of = _kind(change)
        return _replace(before, attribute, change, _values(of, change))


class Drop(Action):
    """DROP: takes an entry out."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document without the entry."""
        attribute, _ = _kind(change)
        dropped = _declared(getattr(before, attribute), change)
        kept = tuple(e for e in getattr(before, attribute) if e != dropped)
        return dataclasses.replace(before, **{attribute: kept})


class SetDayState(Action):
    """CONFIRM DAY and WITHDRAW DAY."""

    def __init__(self, state: document.DayState) -> None:
        self._state = state

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the day in the state."""
        return _replace(before, "calendar", change, {"state": self._state})


class Move(Action):
    """MOVE DAY: gives a day that isn't withdrawn another date."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the day moved."""
        day = _declared(before.calendar, change)
        if day.state is document.DayState.WITHDRAWN:
            raise errors.SettingsError(f"{_label(change)} is withdrawn")
        values = _values(document.CalendarDay, change)
        return _replace(before, "calendar", change, values)


class SetDraining(Action):
    """DRAIN and UNDRAIN of a host that runs a proxy, or of an upstream."""

    def __init__(self, draining: bool) -> None:
        self._draining = draining

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the host or upstream drained or not."""
        if change.kind is statements.Kind.HOST:
            hosts = set(before.draining_hosts) - {change.name}
            if self._draining:
                hosts.add(change.name)
            drained = tuple(sorted(hosts))
            return dataclasses.replace(before, draining_hosts=drained)
        upstreams = [u for d in before.databases for u in d.upstreams]
        _declared(upstreams, change)
        databases = tuple(
            dataclasses.replace(
                database,
                upstreams=tuple(
                    self._drain(upstream, change.name)
                    for upstream in database.upstreams
                ),
            )
            for database in before.databases
        )
        return dataclasses.replace(before, databases=databases)

    def _drain(
        self, upstream: document.Upstream, name: str
    ) -> document.Upstream:
        if upstream.name != name:
            return upstream
        return dataclasses.replace(upstream, draining=self._draining)


_ACTIONS: dict[statements.Verb, Action] = {
    statements.Verb.CREATE: Create(),
    statements.Verb.SET: Set(),
    statements.Verb.DROP: Drop(),
    statements.Verb.DECLARE: Declare(),
    statements.Verb.CONFIRM: SetDayState(document.DayState.CONFIRMED),
    statements.Verb.WITHDRAW: SetDayState(document.DayState.WITHDRAWN),
    statements.Verb.MOVE: Move(),
    statements.Verb.DRAIN: SetDraining(True),
    statements.Verb.UNDRAIN: SetDraining(False),
}


def apply(
    before: document.Document, change: statements.Change
) -> document.Document:
    """Returns the content of `before` after `change`.

    Raises:
      SettingsError: if the change doesn't fit what is declared.
    """
    action = _ACTIONS.get(change.verb)
    if action is None:
        raise errors.SettingsError(f"{change.verb.value} makes no content")
    return action.apply(before, change)


def _set_floors(
    before: document.Document, change: statements.Change
) -> document.Document:
    floors = dict(change.floors)
    unknown = floors.keys() - {rank.name for rank in before.ranks}
    if unknown:
        names = ", ".join(sorted(unknown))
        raise errors.SettingsError(f"no rank is called {names}")
    ranks = tuple(
        dataclasses.replace(rank, floor=floors.get(rank.name, rank.floor))
        for rank in before.ranks
    )
    return dataclasses.replace(before, ranks=ranks)


def _replace(
    before: document.Document,
    attribute: str,
    change: statements.Change,
    values: dict[str, Any],
) -> document.Document:
    old = _declared(getattr(before, attribute), change)
    new = dataclasses.replace(old, **values)
    entries = tuple(
        new if entry == old else entry for entry in getattr(before, attribute)
    )
    return dataclasses.replace(before, **{attribute: entries})


def _kind(change: statements.Change) -> tuple[str, type]:
    if change.kind not in _KINDS:
        raise errors.SettingsError(
            f"{change.verb.value} doesn't work on a {change.kind.value}"
        )
    return _KINDS[change.kind]


def _declared(entries: Iterable[Any], change: statements.Change) -> Any:
    found = _find(entries, change.name)
    if found is None:
        raise errors.SettingsError(f"no {_label(change)} is declared")
    return found


def _find(entries: Iterable[Any], name: str) -> Any:
    return next((entry for entry in entries if entry.name == name), None)


def _label(change: statements.Change) -> str:
    return f"{change.kind.value} {change.name}"


def _values(of: type, change: statements.Change) -> dict[str, Any]:
    """Returns the fields of `change`, checked against the data class."""
    kinds = {field.name: str(field.type) for field in dataclasses.fields(of)}
    values: dict[str, Any] = {}
    for field in change.fields:
        if field.name not in kinds or field.name == "name":
            expected = ", ".join(kinds)
            raise errors.SettingsError(
                f"{change.kind.value} has no field {field.name}; "
                f"expected one of {expected}"
            )
        values[field.name] = _convert(field, kinds[field.name])
    if change.floors and "floors" in kinds:
        values["floors"] = change.floors
    return values


def _convert(field: statements.Field, kind: str) -> Any:
    """Returns the value as its field's type has it."""
    value = field.value
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    match kind:
        case "float" | "float | None" if is_number:
            return float(value)
        case "float | None" if value is None:
            return None
        case "int" if is_number and float(value).is_integer():
            return int(value)
        case "bool" if isinstance(value, bool):
            return value
        case "str" if isinstance(value, str):
            return value
        case "Durability" if value in set(document.Durability):
            return document.Durability(value)
        case "DayState" if value in set(document.DayState):
            return document.DayState(value)
    raise errors.SettingsError(f"{field.name} = {value!r}: expected {kind}")
