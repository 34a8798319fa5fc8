"""`fescueshunt explain`: from a statement's id to its cause, from logs."""

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
    """Explains a statement from the logs of hosts."""

    name = "explain"

    def run(self, statement: str, *files: pathlib.Path) -> int:
        """Prints what decided a statement, and what its host believed.

        Exit code 1 if no line names the statement: it succeeded, or its line
        was left out for want of room, or the log of its host is missing.

        Args:
          statement: the id that the client sent.
          files: logs of hosts; "-" or none for standard input.
        """
        with contextlib.ExitStack() as opened:
            lines = host_log.read(_texts(files, opened))
            found = host_log.explain(lines, statement)
        for text in report(found, statement):
            print(text)
        return base.SUCCESS if found.lines else base.FAILURE


def report(found: host_log.Explanation, statement: str) -> Iterator[str]:
    """Yields the report, line by line."""
    if not found.lines:
        yield f"no line names {statement}"
        return
    for line in found.lines:
        yield f"{line.timestamp} {line.host} {line.event}"
        yield from _details(line)
    yield f"what {found.lines[0].host} believed then:"
    for belief in found.beliefs:
        age = ""
        if belief.age_s is not None:
            age = f" {round(belief.age_s, AGE_DIGITS)} s before"
        yield f"  {belief.line.event}{age}: {_row(belief.line)}"


def _texts(
    files: tuple[pathlib.Path, ...], opened: contextlib.ExitStack
) -> Iterator[str]:
    for file in files or (pathlib.Path(STANDARD_INPUT),):
        if str(file) == STANDARD_INPUT:
            yield from sys.stdin
        else:
            stream = file.open(encoding="utf-8", errors="replace")
            yield from opened.enter_context(stream)


def _details(line: host_log.Line) -> Iterator[str]:
    for key, value in line.details.items():
        yield f"  {key}: {value}"


def _row(line: host_log.Line) -> str:
    return ", ".join(f"{key} {value}" for key, value in line.details.items())
