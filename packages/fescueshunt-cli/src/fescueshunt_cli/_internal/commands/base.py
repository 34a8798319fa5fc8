"""Base class of the commands, and their exit codes."""

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
    """Base class of a command of `fescueshunt`.

    The arguments and the help text on the command line are generated from the
    parameters and the docstring of `run`.

    Exit codes: 0 done, 1 not done, 2 invalid input, 3 outcome unknown.

    Attributes:
      name: the name of the command on the command line.
    """

    name: ClassVar[str]

    @abc.abstractmethod
    def run(self, *args: Any, **kwargs: Any) -> int:
        """Runs the command and returns its exit code."""


def run_async(coroutine: Coroutine[Any, Any, int]) -> int:
    """Runs `coroutine` and returns its exit code.

    A `FescueshuntError` is printed and mapped to an exit code.
    """
    try:
        return asyncio.run(coroutine)
    except (errors.SettingsError, errors.StatementSyntaxError) as exc:
        print(exc.detail, file=sys.stderr)
        return INVALID
    except errors.FescueshuntError as exc:
        print(exc, file=sys.stderr)
        return exit_code(exc.outcome)


def exit_code(outcome: errors.Outcome) -> int:
    """Returns the exit code for `outcome`; FAILURE if not run or failed."""
    return _EXIT_CODES.get(outcome, FAILURE)
