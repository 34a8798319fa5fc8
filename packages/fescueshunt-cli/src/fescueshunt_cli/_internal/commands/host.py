"""`fescueshunt host`: what a host believes and measures."""

from __future__ import annotations

from fescueshunt import errors
from fescueshunt.core import statements
from fescueshunt_cli._internal.commands import answers, base
from fescueshunt_cli._internal.language import parse
from fescueshunt_wire import http

TARGET = "/metrics"
TIMEOUT_S = 5.0
OK = 200
COLUMNS = ("metric", "value")


class HostCommand(base.Command):
    """Reads the metrics of a host."""

    name = "host"

    def run(self, address: str, *, match: str = "", form: str = "table") -> int:
        """Prints what a host believes and measures.

        Args:
          address: its metrics address, as IP number:port.
          match: only metrics whose names have this in them.
          form: table, json or csv.
        """
        return base.finish(_run(address, match, parse.Format(form)))


async def _run(address: str, match: str, form: parse.Format) -> int:
    client = http.Client(address)
    response = await client.call("GET", TARGET, TIMEOUT_S)
    if response.status != OK:
        raise errors.ConnectionLostError(f"status {response.status}")
    rows = tuple(row for row in read(response.body.decode()) if match in row[0])
    table = statements.Table(COLUMNS, rows)
    return answers.show(statements.OperatorAnswer(table), form)


def read(text: str) -> list[tuple[str, str]]:
    """Returns the metrics in a text of the exposition format, with values."""
    lines = (line for line in text.splitlines() if not line.startswith("#"))
    rows = (line.rpartition(" ") for line in lines if line)
    return [(name, value) for name, _, value in rows]
