"""`fescueshunt explain`: finds the cause of a statement's result in logs."""

from __future__ import annotations

import contextlib
import pathlib
import sys
from collections.abc import Iterator

from fescueshunt_cli._internal import host_log
from fescueshunt_cli._internal.commands import base

STANDARD_INPUT = "-"
AGE_DIGITS = 3


class ExplainCommand(base.Command):
    """The command `explain`, which reads the logs of hosts."""

    name = "explain"

    def run(self, statement: str, *files: pathlib.Path) -> int:
        """Prints the decisions on a statement and its host's view at the time.

        The exit code is 1 if no log line names the statement. Either the
        statement succeeded, or its line was dropped by the limit on log lines,
        or the log of its host is missing.

        Args:
          statement: the statement's id, as the client sent it.
          files: the logs of the hosts; "-", or no file, for standard input.
        """
        with contextlib.ExitStack() as exit_stack:
            entries = host_log.read_entries(_read_lines(files, exit_stack))
            explanation = host_log.explain(entries, statement)
        for line in format_report(explanation, statement):
            print(_printable(line))
        return base.SUCCESS if explanation.entries else base.FAILURE


def format_report(
    explanation: host_log.Explanation, statement: str
) -> Iterator[str]:
    """Yields the lines of the report on `statement`."""
    if not explanation.entries:
        yield f"no line names {statement}"
        return
    for entry in explanation.entries:
        yield f"{entry.timestamp} {entry.host} {entry.event}"
        yield from _format_details(entry)
    yield f"view of {explanation.entries[0].host} at that time:"
    for part in explanation.view:
        age = ""
        if part.age_s is not None:
            age = f" {round(part.age_s, AGE_DIGITS)} s before"
        yield f"  {part.entry.event}{age}: {_join_details(part.entry)}"


def _printable(line: str) -> str:
    """Escapes what a terminal would interpret or can't show.

    Logs contain texts that clients have sent.
    """
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in line
    )


def _read_lines(
    files: tuple[pathlib.Path, ...], exit_stack: contextlib.ExitStack
) -> Iterator[str]:
    for file in files or (pathlib.Path(STANDARD_INPUT),):
        if str(file) == STANDARD_INPUT:
            yield from sys.stdin
        else:
            stream = file.open(encoding="utf-8", errors="replace")
            yield from exit_stack.enter_context(stream)


def _format_details(entry: host_log.LogEntry) -> Iterator[str]:
    for key, value in entry.details.items():
        yield f"  {key}: {value}"


def _join_details(entry: host_log.LogEntry) -> str:
    return ", ".join(f"{key} {value}" for key, value in entry.details.items())
