"""How answers to operators are printed."""

from __future__ import annotations

import sys

from fescueshunt import errors
from fescueshunt.core import statements
from fescueshunt_cli._internal.commands import base
from fescueshunt_cli._internal.language import output, parse


def show(answer: statements.OperatorAnswer, form: parse.Format) -> int:
    """Prints an answer and returns the exit code for it."""
    if answer.table is not None:
        print(output.text_of(answer.table, form))
    if answer.silent:
        print(f"no answer from {', '.join(answer.silent)}", file=sys.stderr)
    if answer.not_asked:
        print(f"{answer.not_asked} proxies not asked", file=sys.stderr)
    if answer.conflict is not None:
        print(_conflict(answer), file=sys.stderr)
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


def _conflict(answer: statements.OperatorAnswer) -> str:
    other = answer.conflict
    return (
        f"revision {other.revision} is by {other.author} "
        f"(signed in as {other.operator}): {other.statement}\n"
        f"reason: {other.reason or '-'}"
    )


def _exit_code(error: errors.FescueshuntError) -> int:
    if isinstance(error, errors.SettingsError):
        return base.INVALID
    return base.exit_code(error.outcome)
