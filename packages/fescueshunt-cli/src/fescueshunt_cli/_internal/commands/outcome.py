"""`fescueshunt outcome`: what became of an earlier write."""

from __future__ import annotations

from fescueshunt_cli import caller
from fescueshunt_cli._internal.commands import base, query


class OutcomeCommand(base.Command):
    """Asks any proxy for the outcome of a request id."""

    name = "outcome"

    def run(
        self, address: str, service: str, database: str, request_id: str
    ) -> int:
        """Settles a write: it ran, and this is its answer, or it never will.

        Args:
          address: a proxy, as IP number:port.
          service: the service of the write.
          database: the database of the write.
          request_id: the id of the write, 32 hex digits.
        """
        asked = bytes.fromhex(request_id)
        return base.finish(_ask(address, service, database, asked))


async def _ask(
    address: str, service: str, database: str, request_id: bytes
) -> int:
    async with caller.session(address, "outcome") as session:
        answer = await session.outcome(service, database, request_id)
    return query.show(answer)
