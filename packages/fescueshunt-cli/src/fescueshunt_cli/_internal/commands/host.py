"""`fescueshunt host`: reads the metrics of one host."""

from __future__ import annotations

from fescueshunt import errors
from fescueshunt.core import statements
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse
from fescueshunt_wire import http

METRICS_PATH = "/metrics"
ANSWER_TIMEOUT_S = 5.0
HTTP_OK = 200
COLUMNS = ("metric", "value")


class HostCommand(base.Command):
    """The command `host`, which reads the metrics of a host."""

    name = "host"

    def run(self, address: str, *, match: str = "", form: str = "table") -> int:
        """Prints the metrics of a host, which include its view of the system.

        Args:
          address: the host's metrics address, as IP:port.
          match: print only the metrics whose names contain this text.
          form: the output format: table, json or csv.
        """
        return base.run_async(_run(address, match, parse.Format(form)))


async def _run(address: str, match: str, form: parse.Format) -> int:
    with http.open_client(address) as client:
        response = await client.call("GET", METRICS_PATH, ANSWER_TIMEOUT_S)
    if response.status != HTTP_OK:
        raise errors.ConnectionLostError(
            f"the host answered with HTTP status {response.status}"
        )
    rows = tuple(
        row for row in parse_metrics(response.body.decode()) if match in row[0]
    )
    table = statements.Table(COLUMNS, rows)
    return answers.print_answer(statements.OperatorAnswer(table), form)


def parse_metrics(text: str) -> list[tuple[str, str]]:
    """Returns pairs of name and value from Prometheus' text format."""
    lines = (line for line in text.splitlines() if not line.startswith("#"))
    rows = (line.rpartition(" ") for line in lines if line)
    return [(name, value) for name, _, value in rows]
