"""What a connection to an upstream holds for the sessions that use it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """What a connection lacks for a statement.

    Attributes:
      resets: whether the connection is reset first.
      values: the session values to set.
      prepares: whether the prepared statement has to be prepared.
    """

    resets: bool
    values: dict[str, str]
    prepares: bool

    @property
    def call_count(self) -> int:
        """The number of calls that set it up."""
        return self.resets + len(self.values) + self.prepares


@dataclasses.dataclass(slots=True)
class ConnectionSettings:
    """The values and prepared statements of a connection.

    Attributes:
      values: the session values that are set on the connection.
      prepared: the names of the statements that are prepared on it.
      needs_reset: whether a failure has left unknown which values and prepared
        statements it has. It must then be reset before a statement runs on it.
    """

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: set[str] = dataclasses.field(default_factory=set)
    needs_reset: bool = False

    def plan_setup(
        self,
        values: Mapping[str, str],
        prepared: str,
        *,
        must_reset: bool = False,
    ) -> Setup:
        """Returns what the connection lacks.

        Args:
          values: the session values that a statement needs; no others may be
            set.
          prepared: the name of the prepared statement that it runs, or "".
          must_reset: whether the connection has to be reset in any case.
        """
        resets = (
            must_reset
            or self.needs_reset
            or not self.values.keys() <= values.keys()
        )
        held_values = {} if resets else self.values
        lacking = {
            name: value
            for name, value in values.items()
            if held_values.get(name) != value
        }
        is_prepared = not resets and prepared in self.prepared
        return Setup(resets, lacking, bool(prepared) and not is_prepared)

    def record_outcome(
        self, call: sessions.UpstreamCall, failure: failures.Failure | None
    ) -> None:
        """Updates what is known after the reply to a call.

        A failure that does not exclude that the call ran leaves unknown what it
        changed. A name that the upstream does not know, although it was
        prepared, shows that the connection has lost what it had.
        """
        if failure is None:
            self._record_success(call)
        elif is_setup_call(call):
            self.needs_reset |= failure not in failures.NOT_RUN
        elif isinstance(call, sessions.RunPrepared):
            self.needs_reset |= failure is failures.Failure.NO_STATEMENT

    def _record_success(self, call: sessions.UpstreamCall) -> None:
        match call:
            case sessions.Reset():
                self.values.clear()
                self.prepared.clear()
                self.needs_reset = False
            case sessions.SetValue():
                self.values[call.name] = call.value
            case sessions.Prepare():
                self.prepared.add(call.name)


def is_setup_call(call: sessions.UpstreamCall) -> bool:
    """Returns whether `call` only prepares a connection for a statement."""
    return isinstance(
        call, sessions.Reset | sessions.SetValue | sessions.Prepare
    )
