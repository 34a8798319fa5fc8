"""`fescueshunt script`: runs a file of operators' statements."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal import admin_client
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse


class ScriptCommand(base.Command):
    """The command `script`, which runs the statements in a file."""

    name = "script"

    def run(
        self,
        address: str,
        file: pathlib.Path,
        *,
        token_file: pathlib.Path | None = None,
    ) -> int:
        """Runs the statements of a file in order, up to the first that fails.

        The syntax of all statements is checked before the first is run.

        Args:
          address: the proxy's admin listener, as IP:port.
          file: the file with the statements, each ended by a semicolon.
          token_file: the file with the operator's token; by default, the file
            that the environment variable FESCUESHUNT_TOKEN_FILE names.
        """
        return base.run_async(_run(address, file, token_file))


async def _run(
    address: str, file: pathlib.Path, token_file: pathlib.Path | None
) -> int:
    script = parse.parse_script(file.read_text(encoding="utf-8"))
    token = admin_client.read_token(token_file)
    async with admin_client.connect(address, token) as client:
        for parsed in script:
            answer = await client.execute(parsed.statement)
            code = answers.print_answer(answer, parsed.format)
            if code != base.SUCCESS:
                return code
    return base.SUCCESS
