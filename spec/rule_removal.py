"""Base class for the removal of rules from a specification."""

from __future__ import annotations

import abc
import pathlib
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    import enum

TRACES_FOLDER = pathlib.Path(__file__).parent / "traces"


class RuleRemoval(abc.ABC):
    """The removal of rules, which violates a property.

    The trace of the violation is stored in a file.

    Attributes:
      folder: the folder of the specification's traces.
      violated: the property that is violated without the rules.
    """

    __slots__ = ()

    folder: ClassVar[pathlib.Path] = TRACES_FOLDER
    violated: enum.Enum

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The file name of the trace, without its extension."""

    @property
    @abc.abstractmethod
    def rules(self) -> str:
        """The removed rules, as text."""

    @abc.abstractmethod
    def check(self) -> dict[str, Any]:
        """Returns the model checker's result without the rules."""

    def find_counterexample(self) -> list[str]:
        """Returns the labels of the shortest counterexample, or []."""
        result = self.check()["properties"][self.violated.name]
        steps = result.get("counterexample") or []
        return [step["label"] for step in steps if step["label"]]

    def trace_path(self) -> pathlib.Path:
        """Returns the path of the trace file."""
        return self.folder / f"{self.name}.txt"

    def read_trace(self) -> list[str]:
        """Returns the labels of the stored trace."""
        return self.trace_path().read_text().splitlines()
