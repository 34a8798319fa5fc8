"""`fescueshunt script`: a file of statements."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal import operators
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse


class ScriptCommand(base.Command):
    """Runs a file of statements, up to the first that fails."""

    name = "script"

    def run(
        self,
        address: str,
        file: pathlib.Path,
        *,
        token_file: pathlib.Path | None = None,
    ) -> int:
        """Checks every statement of a file, then runs them in order.

        Args:
          address: the proxy's admin listener, as IP number:port.
          file: statements, each ended by a semicolon.
          token_file: a file with the operator's token; by default the one that
            FESCUESHUNT_TOKEN_FILE names.
        """
        return base.finish(_run(address, file, token_file))


async def _run(
    address: str, file: pathlib.Path, token_file: pathlib.Path | None
) -> int:
    parsed = parse.parse_script(file.read_text(encoding="utf-8"))
    token = operators.read_token(token_file)
    async with operators.connect(address, token) as operator:
        for entry in parsed:
            answer = await operator.ask(entry.statement)
            code = answers.show(answer, entry.format)
            if code != base.SUCCESS:
                return code
    return base.SUCCESS
