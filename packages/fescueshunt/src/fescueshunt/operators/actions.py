"""Applies each verb of the operators' language to the settings document."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt.core import document, ranks, statements

if TYPE_CHECKING:
    from collections.abc import Iterable

_ENTRY_KINDS: dict[statements.Kind, tuple[str, type]] = {
    statements.Kind.RANK: ("ranks", ranks.Rank),
    statements.Kind.SERVICE: ("services", document.Service),
    statements.Kind.GROUP: ("groups", document.Group),
    statements.Kind.DAY: ("calendar", document.CalendarDay),
}


class Action(abc.ABC):
    """The effect of one verb on a settings document."""

    @abc.abstractmethod
    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns a copy of `before` with the change applied.

        Args:
          before: the document to change.
          change: the statement, whose verb is the verb of this action.

        Raises:
          SettingsError: if the verb cannot be used on the kind or on the entry,
            if the entry does not exist (for CREATE and DECLARE: if it already
            exists), or if a field is missing, unknown or has an invalid value.
        """


class Create(Action):
    """CREATE: adds an entry."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the new entry."""
        attribute, entry_type = _field_and_type(change)
        entries = getattr(before, attribute)
        if _find_by_name(entries, change.name) is not None:
            raise errors.SettingsError(f"{_label(change)} is already declared")
        values = {"name": change.name, **_convert_fields(entry_type, change)}
        missing = [
            field.name
            for field in dataclasses.fields(entry_type)
            if field.default is dataclasses.MISSING and field.name not in values
        ]
        if missing:
            expected = ", ".join(missing)
            raise errors.SettingsError(f"{_label(change)} needs {expected}")
        return dataclasses.replace(
            before, **{attribute: (*entries, entry_type(**values))}
        )


class Declare(Action):
    """DECLARE DAY: adds an unconfirmed day to the calendar."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the new day."""
        state = statements.Field("state", document.DayState.DECLARED.value)
        fields = (*change.fields, state)
        create_change = dataclasses.replace(change, fields=fields)
        return Create().apply(before, create_change)


class Set(Action):
    """SET: sets fields of one entry, or the floors of several ranks."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the new field values."""
        if change.kind is statements.Kind.FLOORS:
            return _set_floors(before, change)
        attribute, entry_type = _field_and_type(change)
        return _update_entry(
            before, attribute, change, _convert_fields(entry_type, change)
        )


class Drop(Action):
    """DROP: removes an entry."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document without the entry."""
        attribute, _ = _field_and_type(change)
        dropped = _find_declared(getattr(before, attribute), change)
        remaining_entries = tuple(
            e for e in getattr(before, attribute) if e != dropped
        )
        return dataclasses.replace(before, **{attribute: remaining_entries})


class SetDayState(Action):
    """CONFIRM DAY and WITHDRAW DAY: set the state of a calendar day."""

    def __init__(self, state: document.DayState) -> None:
        self._state = state

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the day's new state."""
        return _update_entry(before, "calendar", change, {"state": self._state})


class Move(Action):
    """MOVE DAY: changes the date of a day that is not withdrawn."""

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the day's new date."""
        day = _find_declared(before.calendar, change)
        if day.state is document.DayState.WITHDRAWN:
            raise errors.SettingsError(f"{_label(change)} is withdrawn")
        values = _convert_fields(document.CalendarDay, change)
        return _update_entry(before, "calendar", change, values)


class SetDraining(Action):
    """DRAIN and UNDRAIN: start or end the draining of a proxy or an upstream.

    A proxy is named by its host.
    """

    def __init__(self, draining: bool) -> None:
        self._draining = draining

    def apply(
        self, before: document.Document, change: statements.Change
    ) -> document.Document:
        """Returns the document with the new draining state."""
        if change.kind is statements.Kind.HOST:
            hosts = set(before.draining_hosts) - {change.name}
            if self._draining:
                hosts.add(change.name)
            host_names = tuple(sorted(hosts))
            return dataclasses.replace(before, draining_hosts=host_names)
        upstreams = [u for d in before.databases for u in d.upstreams]
        _find_declared(upstreams, change)
        databases = tuple(
            dataclasses.replace(
                database,
                upstreams=tuple(
                    self._set_draining(upstream, change.name)
                    for upstream in database.upstreams
                ),
            )
            for database in before.databases
        )
        return dataclasses.replace(before, databases=databases)

    def _set_draining(
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
    """Returns a copy of `before` with `change` applied.

    The revision and the history stay as they are in `before`.

    Raises:
      SettingsError: if the verb is ROLL FORWARD, or for any reason that
        `Action.apply` lists.
    """
    action = _ACTIONS.get(change.verb)
    if action is None:
        raise errors.SettingsError(
            f"{change.verb.value} does not change entries"
        )
    return action.apply(before, change)


def _set_floors(
    before: document.Document, change: statements.Change
) -> document.Document:
    floors = dict(change.floors)
    unknown = floors.keys() - {rank.name for rank in before.ranks}
    if unknown:
        names = ", ".join(sorted(unknown))
        raise errors.SettingsError(f"no rank is called {names}")
    new_ranks = tuple(
        dataclasses.replace(rank, floor=floors.get(rank.name, rank.floor))
        for rank in before.ranks
    )
    return dataclasses.replace(before, ranks=new_ranks)


def _update_entry(
    before: document.Document,
    attribute: str,
    change: statements.Change,
    values: dict[str, Any],
) -> document.Document:
    old = _find_declared(getattr(before, attribute), change)
    new = dataclasses.replace(old, **values)
    entries = tuple(
        new if entry == old else entry for entry in getattr(before, attribute)
    )
    return dataclasses.replace(before, **{attribute: entries})


def _field_and_type(change: statements.Change) -> tuple[str, type]:
    if change.kind not in _ENTRY_KINDS:
        raise errors.SettingsError(
            f"{change.verb.value} cannot be used on a {change.kind.value}"
        )
    return _ENTRY_KINDS[change.kind]


def _find_declared(entries: Iterable[Any], change: statements.Change) -> Any:
    entry = _find_by_name(entries, change.name)
    if entry is None:
        raise errors.SettingsError(f"no {_label(change)} is declared")
    return entry


def _find_by_name(entries: Iterable[Any], name: str) -> Any:
    return next((entry for entry in entries if entry.name == name), None)


def _label(change: statements.Change) -> str:
    return f"{change.kind.value} {change.name}"


def _convert_fields(
    entry_type: type, change: statements.Change
) -> dict[str, Any]:
    """Returns the field values of `change`, by field name.

    Raises:
      SettingsError: if `entry_type` has no such field or the value does not
        have the field's type.
    """
    field_types = {
        field.name: str(field.type) for field in dataclasses.fields(entry_type)
    }
    values: dict[str, Any] = {}
    for field in change.fields:
        if field.name not in field_types or field.name == "name":
            expected = ", ".join(field_types)
            raise errors.SettingsError(
                f"{change.kind.value} has no field {field.name}; "
                f"expected one of {expected}"
            )
        values[field.name] = _convert_value(field, field_types[field.name])
    if change.floors and "floors" in field_types:
        values["floors"] = change.floors
    return values


def _convert_value(field: statements.Field, type_name: str) -> Any:
    """Returns the value of `field`, converted to the type `type_name`."""
    value = field.value
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    match type_name:
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
    raise errors.SettingsError(
        f"{field.name} = {value!r}: expected {type_name}"
    )
