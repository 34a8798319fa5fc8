"""`fescueshunt prompt`: an interactive prompt for operators' statements."""

from __future__ import annotations

import pathlib
import sys

import prompt_toolkit
from prompt_toolkit import history

from fescueshunt import errors
from fescueshunt_cli._internal import admin_client
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import complete, parse

EXIT_WORDS = frozenset({"exit", "quit"})


class PromptCommand(base.Command):
    """The command `prompt`, which runs statements typed at a terminal."""

    name = "prompt"

    def run(
        self,
        address: str,
        *,
        token_file: pathlib.Path | None = None,
        history_file: pathlib.Path | None = None,
    ) -> int:
        """Reads and runs statements until the end of input, "exit" or "quit".

        Args:
          address: the proxy's admin listener, as IP:port.
          token_file: the file with the operator's token; by default, the file
            that the environment variable FESCUESHUNT_TOKEN_FILE names.
          history_file: the file in which typed statements are stored; by
            default, they are not stored.
        """
        return base.run_async(_run(address, token_file, history_file))


async def _run(
    address: str,
    token_file: pathlib.Path | None,
    history_file: pathlib.Path | None,
) -> int:
    past_statements = history.InMemoryHistory()
    if history_file is not None:
        past_statements = history.FileHistory(str(history_file))
    prompt_session = prompt_toolkit.PromptSession(
        history=past_statements, completer=complete.Completer()
    )
    token = admin_client.read_token(token_file)
    async with admin_client.connect(address, token) as client:
        while True:
            try:
                text = await prompt_session.prompt_async(f"{address}> ")
            except (EOFError, KeyboardInterrupt):
                return base.SUCCESS
            if text.strip().lower() in EXIT_WORDS:
                return base.SUCCESS
            if text.strip():
                await run_line(client, text)


async def run_line(client: admin_client.AdminClient, text: str) -> int:
    """Runs the statement in `text` and prints its answer or syntax error.

    Returns:
      The exit code that the statement would have as a command.
    """
    try:
        parsed = parse.parse_line(text)
    except errors.StatementSyntaxError as exc:
        print(exc.detail, file=sys.stderr)
        return base.INVALID
    answer = await client.execute(parsed.statement)
    return answers.print_answer(answer, parsed.format)
