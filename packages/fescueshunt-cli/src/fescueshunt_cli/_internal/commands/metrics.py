"""`fescueshunt metrics`: reads the counters and latencies of one proxy."""

from __future__ import annotations

import pathlib

from fescueshunt_cli._internal import admin_client
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse


class MetricsCommand(base.Command):
    """The command `metrics`, which reads the metrics of a proxy."""

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
          address: the proxy's admin listener, as IP:port.
          form: the output format: table, json or csv.
          token_file: the file with the operator's token; by default, the file
            that the environment variable FESCUESHUNT_TOKEN_FILE names.
        """
        return base.run_async(_run(address, parse.Format(form), token_file))


async def _run(
    address: str, form: parse.Format, token_file: pathlib.Path | None
) -> int:
    token = admin_client.read_token(token_file)
    async with admin_client.connect(address, token) as client:
        answer = await client.metrics()
    return answers.print_answer(answer, form)
