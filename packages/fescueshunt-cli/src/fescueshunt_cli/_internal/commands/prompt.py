"""`fescueshunt prompt`: statements one after another, with completion."""

from __future__ import annotations

import pathlib
import sys

import prompt_toolkit
from prompt_toolkit import history

from fescueshunt import errors
from fescueshunt_cli._internal import operators
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import complete, parse

LEAVE = frozenset({"exit", "quit"})


class PromptCommand(base.Command):
    """Reads statements from a terminal."""

    name = "prompt"

    def run(
        self,
        address: str,
        *,
        token_file: pathlib.Path | None = None,
        history_file: pathlib.Path | None = None,
    ) -> int:
        """Reads and runs statements until the end of input, or "exit".

        Args:
          address: the proxy's admin listener, as IP number:port.
          token_file: a file with the operator's token; by default the one that
            FESCUESHUNT_TOKEN_FILE names.
          history_file: where statements are kept; by default nowhere.
        """
        return base.finish(_run(address, token_file, history_file))


async def _run(
    address: str,
    token_file: pathlib.Path | None,
    history_file: pathlib.Path | None,
) -> int:
    kept = history.InMemoryHistory()
    if history_file is not None:
        kept = history.FileHistory(str(history_file))
    terminal = prompt_toolkit.PromptSession(
        history=kept, completer=complete.Completer()
    )
    token = operators.read_token(token_file)
    async with operators.connect(address, token) as operator:
        while True:
            try:
                text = await terminal.prompt_async(f"{address}> ")
            except (EOFError, KeyboardInterrupt):
                return base.SUCCESS
            if text.strip().lower() in LEAVE:
                return base.SUCCESS
            if text.strip():
                await run_line(operator, text)


async def run_line(operator: operators.Operator, text: str) -> int:
    """Runs one line and prints its answer, or where it is wrong."""
    try:
        parsed = parse.parse_line(text)
    except errors.StatementSyntaxError as exc:
        print(exc.detail, file=sys.stderr)
        return base.INVALID
    answer = await operator.ask(parsed.statement)
    return answers.show(answer, parsed.format)
