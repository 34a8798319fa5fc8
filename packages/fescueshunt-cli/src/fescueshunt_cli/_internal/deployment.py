"""Reads a deployment's INI file into a validated settings document.

The sections are [rank NAME], [group NAME], [database NAME], [upstream NAME],
[service NAME] and [day NAME]. A database lists the names of its upstreams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt.core import document, validation
from fescueshunt_wire import ini, sections
from fescueshunt_wire.models import base, documents

if TYPE_CHECKING:
    import pathlib

_MODEL_CLASSES: dict[str, type[base.Model]] = {
    "rank": documents.RankModel,
    "group": documents.GroupModel,
    "upstream": documents.UpstreamModel,
    "service": documents.ServiceModel,
    "day": documents.CalendarDayModel,
}


def load(path: pathlib.Path) -> document.Document:
    """Returns the document that the deployment file at `path` declares.

    Raises:
      InvalidSettingsError: with all invalid settings of the file.
    """
    reader = _Reader(str(path))
    for header, values in sections.read_sections(path).items():
        reader.read_section(header, values)
    reader.resolve()
    if reader.problems:
        raise errors.InvalidSettingsError(reader.problems)
    return reader.document()


class _Reader:
    """Collects the entries of one file and the problems found in them."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._entries: dict[str, dict[str, Any]] = {
            k: {} for k in _MODEL_CLASSES
        }
        self._database_sections: dict[str, tuple[str, dict[str, str]]] = {}
        self._databases: list[document.Database] = []
        self.problems: list[errors.SettingProblem] = []

    def read_section(self, header: str, values: sections.Section) -> None:
        """Validates one section and adds its entry or its problems."""
        kind, _, name = header.partition(" ")
        if kind == "database" and name:
            self._database_sections[name] = (header, values)
        elif kind in _MODEL_CLASSES and name:
            self._read_model(header, kind, name, values)
        else:
            self._add_problem(header, "", "", "a known section kind and name")

    def _read_model(
        self, header: str, kind: str, name: str, values: sections.Section
    ) -> None:
        fields: dict[str, Any] = {**values, "name": name}
        if kind == "day" and "floors" in values:
            fields["floors"] = tuple(
                tuple(part.split(":", 1))
                for part in sections.split_list(values["floors"])
            )
        model, problems = ini.validate(
            _MODEL_CLASSES[kind], self._file, header, fields
        )
        self.problems.extend(problems)
        if model is not None:
            self._entries[kind][name] = model.to_data()

    def resolve(self) -> None:
        """Builds databases with their upstreams and validates the document."""
        for name, (header, values) in self._database_sections.items():
            self._resolve_database(name, header, values)
        for problem in validation.find_problems(self.document()):
            self._add_problem(
                problem.entry, problem.field, problem.value, problem.expected
            )

    def _resolve_database(
        self, name: str, header: str, values: sections.Section
    ) -> None:
        group = values.get("group", "")
        names = sections.split_list(values.get("upstreams", ""))
        for upstream in names:
            self._check_declared(
                header, "upstreams", upstream, self._entries["upstream"]
            )
        declared = [n for n in names if n in self._entries["upstream"]]
        upstreams = tuple(self._entries["upstream"][n] for n in declared)
        self._databases.append(document.Database(name, group, upstreams))

    def document(self) -> document.Document:
        """Returns a settings document with the valid entries."""
        return document.Document(
            ranks=tuple(self._entries["rank"].values()),
            groups=tuple(self._entries["group"].values()),
            databases=tuple(self._databases),
            services=tuple(self._entries["service"].values()),
            calendar=tuple(self._entries["day"].values()),
        )

    def _check_declared(
        self, header: str, key: str, value: str, declared: dict[str, Any]
    ) -> None:
        if value not in declared:
            self._add_problem(header, key, value, f"a declared {key}")

    def _add_problem(
        self, header: str, key: str, value: str, expected: str
    ) -> None:
        self.problems.append(
            errors.SettingProblem(
                self._file, header, key, value, f"expected {expected}"
            )
        )
