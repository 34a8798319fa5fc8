"""Prints the answers to operators' statements."""

from __future__ import annotations

import sys

from fescueshunt import errors
from fescueshunt.core import statements
from fescueshunt_cli._internal.commands import base
from fescueshunt_cli._internal.language import output, parse


def print_answer(answer: statements.OperatorAnswer, form: parse.Format) -> int:
    """Prints `answer` in the format `form` and returns the exit code for it."""
    if answer.table is not None:
        print(output.format_table(answer.table, form))
    if answer.silent:
        print(f"no answer from {', '.join(answer.silent)}", file=sys.stderr)
    if answer.not_asked:
        print(f"{answer.not_asked} proxies not asked", file=sys.stderr)
    if answer.conflict is not None:
        print(_format_conflict(answer), file=sys.stderr)
    if answer.error is not None:
        print(answer.error, file=sys.stderr)
        return _exit_code(answer.error)
    if answer.revision:
        print(
            f"in the store as revision {answer.revision}, "
            f"operation {answer.operation.hex()}",
            file=sys.stderr,
        )
    return base.SUCCESS


def _format_conflict(answer: statements.OperatorAnswer) -> str:
    change = answer.conflict
    return (
        f"revision {change.revision} is by {change.author} "
        f"(signed in as {change.operator}): {change.statement}\n"
        f"reason: {change.reason or '-'}"
    )


def _exit_code(error: errors.FescueshuntError) -> int:
    if isinstance(error, errors.SettingsError):
        return base.INVALID
    return base.exit_code(error.outcome)
