"""`fescueshunt ask`: one statement of the operators' language."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal import operators
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse


class AskCommand(base.Command):
    """Runs one statement."""

    name = "ask"

    def run(
        self,
        address: str,
        statement: str,
        *,
        token_file: pathlib.Path | None = None,
    ) -> int:
        """Runs one statement on a proxy and prints its answer.

        Args:
          address: the proxy's admin listener, as IP number:port.
          statement: for example "SHOW upstreams WHERE lag > 0 AS json".
          token_file: a file with the operator's token; by default the one that
            FESCUESHUNT_TOKEN_FILE names.
        """
        return base.finish(_ask(address, statement, token_file))


async def _ask(address: str, text: str, token_file: pathlib.Path | None) -> int:
    parsed = parse.parse_line(text)
    token = operators.read_token(token_file)
    async with operators.connect(address, token) as operator:
        answer = await operator.ask(parsed.statement)
    return answers.show(answer, parsed.format)
