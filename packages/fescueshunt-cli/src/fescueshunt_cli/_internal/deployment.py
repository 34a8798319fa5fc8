"""Deployment files: INI in, a checked settings document out.

Sections: [rank NAME], [group NAME], [database NAME], [upstream NAME],
[service NAME] and [day NAME]. A database lists its upstreams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fescueshunt import errors
from fescueshunt.core import document, validation
from fescueshunt_wire import ini, sections
from fescueshunt_wire.models import base, documents

if TYPE_CHECKING:
    import pathlib

_KINDS: dict[str, type[base.Model]] = {
    "rank": documents.RankModel,
    "group": documents.GroupModel,
    "upstream": documents.UpstreamModel,
    "service": documents.ServiceModel,
    "day": documents.CalendarDayModel,
}


def load(path: pathlib.Path) -> document.Document:
    """Returns the document that the deployment file at `path` declares.

    Raises:
      InvalidSettingsError: with every invalid setting at once.
    """
    reader = _Reader(str(path))
    for header, values in sections.read_sections(path).items():
        reader.read(header, values)
    reader.join()
    if reader.problems:
        raise errors.InvalidSettingsError(reader.problems)
    return reader.document()


class _Reader:
    """Collects the sections of one file and what is wrong with them."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._found: dict[str, dict[str, Any]] = {k: {} for k in _KINDS}
        self._databases: dict[str, tuple[str, dict[str, str]]] = {}
        self._joined: list[document.Database] = []
        self.problems: list[errors.SettingProblem] = []

    def read(self, header: str, values: sections.Section) -> None:
        """Reads one section."""
        kind, _, name = header.partition(" ")
        if kind == "database" and name:
            self._databases[name] = (header, values)
        elif kind in _KINDS and name:
            self._read_model(header, kind, name, values)
        else:
            self._add(header, "", "", "a known section kind and name")

    def _read_model(
        self, header: str, kind: str, name: str, values: sections.Section
    ) -> None:
        full: dict[str, Any] = {**values, "name": name}
        if kind == "day" and "floors" in values:
            full["floors"] = tuple(
                tuple(part.split(":", 1))
                for part in sections.split_list(values["floors"])
            )
        model, problems = ini.validate(_KINDS[kind], self._file, header, full)
        self.problems.extend(problems)
        if model is not None:
            self._found[kind][name] = model.to_data()

    def join(self) -> None:
        """Joins databases with upstreams and checks the whole."""
        for name, (header, values) in self._databases.items():
            self._join_database(name, header, values)
        for found in validation.find_problems(self.document()):
            self._add(found.entry, found.field, found.value, found.expected)

    def _join_database(
        self, name: str, header: str, values: sections.Section
    ) -> None:
        group = values.get("group", "")
        names = sections.split_list(values.get("upstreams", ""))
        for upstream in names:
            self._check(header, "upstreams", upstream, self._found["upstream"])
        known = [n for n in names if n in self._found["upstream"]]
        upstreams = tuple(self._found["upstream"][n] for n in known)
        self._joined.append(document.Database(name, group, upstreams))

    def document(self) -> document.Document:
        """Returns what was read."""
        return document.Document(
            ranks=tuple(self._found["rank"].values()),
            groups=tuple(self._found["group"].values()),
            databases=tuple(self._joined),
            services=tuple(self._found["service"].values()),
            calendar=tuple(self._found["day"].values()),
        )

    def _check(
        self, header: str, key: str, value: str, known: dict[str, Any]
    ) -> None:
        if value not in known:
            self._add(header, key, value, f"a declared {key}")

    def _add(self, header: str, key: str, value: str, expected: str) -> None:
        self.problems.append(
            errors.SettingProblem(
                self._file, header, key, value, f"expected {expected}"
            )
        )
