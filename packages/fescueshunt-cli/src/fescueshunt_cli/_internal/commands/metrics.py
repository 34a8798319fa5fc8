"""`fescueshunt metrics`: counters and latencies of one proxy."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal import operators
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse


class MetricsCommand(base.Command):
    """Reads a proxy's metrics."""

    name = "metrics"

    def run(
        self,
        address: str,
        *,
        form: str = "table",
        token_file: pathlib.Path | None = None,
    ) -> int:
        """Prints counters, and latencies in microseconds by rank and outcome.

        Args:
          address: the proxy's admin listener, as IP number:port.
          form: table, json or csv.
          token_file: a file with the operator's token; by default the one that
            FESCUESHUNT_TOKEN_FILE names.
        """
        return base.finish(_run(address, parse.Format(form), token_file))


async def _run(
    address: str, form: parse.Format, token_file: pathlib.Path | None
) -> int:
    token = operators.read_token(token_file)
    async with operators.connect(address, token) as operator:
        answer = await operator.metrics()
    return answers.show(answer, form)
