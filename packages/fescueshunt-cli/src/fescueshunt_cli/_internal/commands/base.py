"""The base of all commands."""

from __future__ import annotations

import abc
import asyncio
import sys
from collections.abc import Coroutine
from typing import Any, ClassVar

from fescueshunt import errors

SUCCESS = 0
FAILURE = 1
INVALID = 2
UNKNOWN = 3

_EXIT_CODES = {
    errors.Outcome.DONE: SUCCESS,
    errors.Outcome.UNKNOWN: UNKNOWN,
}


class Command(abc.ABC):
    """One command. `run` takes what the command line offers.

    Exit codes: 0 done, 1 not done, 2 invalid input, 3 outcome unknown.
    """

    name: ClassVar[str]

    @abc.abstractmethod
    def run(self, *args: Any, **kwargs: Any) -> int:
        """Runs the command and returns its exit code."""


def finish(coroutine: Coroutine[Any, Any, int]) -> int:
    """Runs `coroutine`; an error is printed and becomes an exit code."""
    try:
        return asyncio.run(coroutine)
    except (errors.SettingsError, errors.StatementSyntaxError) as exc:
        print(exc.detail, file=sys.stderr)
        return INVALID
    except errors.FescueshuntError as exc:
        print(exc, file=sys.stderr)
        return exit_code(exc.outcome)


def exit_code(outcome: errors.Outcome) -> int:
    """Returns the exit code for an outcome."""
    return _EXIT_CODES.get(outcome, FAILURE)
