"""`fescueshunt ask`: runs one statement of the operators' language."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal import admin_client
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse


class AskCommand(base.Command):
    """The command `ask`, which runs one statement."""

    name = "ask"

    def run(
        self,
        address: str,
        statement: str,
        *,
        token_file: pathlib.Path | None = None,
    ) -> int:
        """Runs one statement on a proxy and prints the answer.

        Args:
          address: the proxy's admin listener, as IP:port.
          statement: the statement, such as "SHOW upstreams WHERE lag > 0 AS
            json".
          token_file: the file with the operator's token; by default, the file
            that the environment variable FESCUESHUNT_TOKEN_FILE names.
        """
        return base.run_async(_run(address, statement, token_file))


async def _run(address: str, text: str, token_file: pathlib.Path | None) -> int:
    parsed = parse.parse_line(text)
    token = admin_client.read_token(token_file)
    async with admin_client.connect(address, token) as client:
        answer = await client.execute(parsed.statement)
    return answers.print_answer(answer, parsed.format)
