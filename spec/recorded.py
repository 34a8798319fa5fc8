"""Rules taken out of a specification, and the traces that show what breaks."""

from __future__ import annotations

import abc
import pathlib
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    import enum

TRACES = pathlib.Path(__file__).parent / "traces"


class Recorded(abc.ABC):
    """Rules taken out, and the property that breaks; its trace is on file.

    Attributes:
      folder: where the traces of the specification are kept.
      broken: the property.
    """

    __slots__ = ()

    folder: ClassVar[pathlib.Path] = TRACES
    broken: enum.Enum

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The name of the trace's file."""

    @property
    @abc.abstractmethod
    def rules(self) -> str:
        """The rules in words."""

    @abc.abstractmethod
    def check(self) -> dict[str, Any]:
        """Returns what the checker finds without the rules."""

    def find(self) -> list[str]:
        """Returns the labels of the shortest counterexample, [] for none."""
        result = self.check()["properties"][self.broken.name]
        steps = result.get("counterexample") or []
        return [step["label"] for step in steps if step["label"]]

    def path(self) -> pathlib.Path:
        """Returns where the trace is kept."""
        return self.folder / f"{self.name}.txt"

    def read(self) -> list[str]:
        """Returns the labels of the trace on file."""
        return self.path().read_text().splitlines()
