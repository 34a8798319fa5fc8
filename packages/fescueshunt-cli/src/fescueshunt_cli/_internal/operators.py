"""The client of a proxy's admin listener."""

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

TOKEN_VARIABLE = "FESCUESHUNT_TOKEN_FILE"
TIMEOUT_S = 10.0


class Operator:
    """An operator's connection to one proxy, signed in."""

    def __init__(self, calls: channel.Channel) -> None:
        self._calls = calls

    async def ask(
        self, statement: statements.Statement
    ) -> statements.OperatorAnswer:
        """Sends a statement and returns its answer, also when it is an error.

        A change without an operation gets a fresh one.
        """
        is_change = isinstance(statement, statements.Change)
        if is_change and not statement.operation:
            operation = os.urandom(statements.OPERATION_BYTES)
            statement = dataclasses.replace(statement, operation=operation)
        return await self._send(statement)

    async def metrics(self) -> statements.OperatorAnswer:
        """Returns the proxy's counters and latencies."""
        return await self._send(admin.ReadMetrics())

    async def _send(self, message: object) -> statements.OperatorAnswer:
        try:
            return await self._calls.call(message, TIMEOUT_S)
        except errors.FescueshuntError as exc:
            return statements.OperatorAnswer(error=exc)


@contextlib.asynccontextmanager
async def connect(address: str, token: str) -> AsyncIterator[Operator]:
    """Signs in at the admin listener at `address`.

    Raises:
      AccessDeniedError: if the token isn't known there.
      ConnectionLostError: if the address can't be reached.
    """
    async with channel.connect(address) as calls:
        await calls.call(admin.SignIn(token), TIMEOUT_S)
        yield Operator(calls)


def read_token(path: pathlib.Path | None) -> str:
    """Returns the token in the file at `path`, or in $FESCUESHUNT_TOKEN_FILE.

    Raises:
      SettingsError: if there is no such file.
    """
    name = path or os.environ.get(TOKEN_VARIABLE)
    if not name:
        raise errors.SettingsError(
            f"expected --token-file, or a path in {TOKEN_VARIABLE}"
        )
    try:
        return pathlib.Path(name).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f"{name}: {type(exc).__name__}") from exc
