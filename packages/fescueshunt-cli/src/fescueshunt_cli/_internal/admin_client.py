"""Client for a proxy's admin listener, used by the operators' commands."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import statements
from fescueshunt_wire import admin, channel

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TOKEN_FILE_VARIABLE = "FESCUESHUNT_TOKEN_FILE"
ANSWER_TIMEOUT_S = 10.0


class AdminClient:
    """An operator's authenticated connection to one proxy."""

    def __init__(self, proxy_channel: channel.Channel) -> None:
        self._channel = proxy_channel

    async def execute(
        self, statement: statements.Statement
    ) -> statements.OperatorAnswer:
        """Sends a statement and returns the answer, which may contain an error.

        A change without an operation id gets a new random one.
        """
        is_change = isinstance(statement, statements.Change)
        if is_change and not statement.operation:
            operation = os.urandom(statements.OPERATION_BYTES)
            statement = dataclasses.replace(statement, operation=operation)
        return await self._send(statement)

    async def metrics(self) -> statements.OperatorAnswer:
        """Reads the proxy's counters and latencies."""
        return await self._send(admin.ReadMetrics())

    async def _send(self, message: object) -> statements.OperatorAnswer:
        try:
            return await self._channel.call(message, ANSWER_TIMEOUT_S)
        except errors.FescueshuntError as exc:
            return statements.OperatorAnswer(error=exc)


@contextlib.asynccontextmanager
async def connect(address: str, token: str) -> AsyncIterator[AdminClient]:
    """Connects and signs in to the admin listener at `address`.

    Raises:
      AccessDeniedError: if the proxy does not know the token.
      ConnectionLostError: if the address can't be reached.
    """
    async with channel.connect(address) as proxy_channel:
        await proxy_channel.call(admin.SignIn(token), ANSWER_TIMEOUT_S)
        yield AdminClient(proxy_channel)


def read_token(path: pathlib.Path | None) -> str:
    """Returns the operator's token.

    Args:
      path: the file with the token; if None, the file that the environment
        variable FESCUESHUNT_TOKEN_FILE names.

    Raises:
      SettingsError: if no file is given, or the file can't be read.
    """
    file = path or os.environ.get(TOKEN_FILE_VARIABLE)
    if not file:
        raise errors.SettingsError(
            f"expected --token-file, or a path in {TOKEN_FILE_VARIABLE}"
        )
    try:
        return pathlib.Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f"{file}: {type(exc).__name__}") from exc
