"""A process whose call of an HTTP server is not answered, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from typing import TYPE_CHECKING

from fescueshunt_wire import http

if TYPE_CHECKING:
    from collections.abc import Iterator

# More than the peer receives, and less than the kernel holds for the sender.
BODY = bytes(256 * 1024) + b"END"
CALL_TIMEOUT_S = 60.0


@contextlib.contextmanager
def calling(address: str) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a process that calls the HTTP server at `address`."""
    command = [sys.executable, __file__, address]
    with subprocess.Popen(command) as process:
        try:
            yield process
        finally:
            process.kill()


def main() -> None:
    """Calls the server whose address is the first argument."""
    client = http.Client(sys.argv[1])
    asyncio.run(client.call("POST", "/", CALL_TIMEOUT_S, BODY))


if __name__ == "__main__":
    main()
