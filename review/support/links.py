"""A TCP link that can be cut and healed, as a network partition would do it."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import select
import socket
import struct
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READ_BYTES = 1 << 16
FIND_TRIES = 20
FIND_PAUSE_S = 0.01
RESET = struct.pack("ii", 1, 0)


class Link:
    """Forwards connections to a target; while it is cut, nothing passes.

    What a sender has handed to its system before or during a cut is held up,
    and delivered after it, unless the sender has reset the connection. A
    connection that was opened during the cut and closed in it never reaches the
    target, as no packet of it has passed.

    Attributes:
      address: the address to which the host connects.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.address = ""
        self._passable = asyncio.Event()
        self._passable.set()
        self._cut_pids: frozenset[int] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def cut(self, pids: frozenset[int] | None = None) -> None:
        """Stops the traffic of some processes, or of all, in both directions.

        Args:
          pids: the processes that are cut off; None for all.
        """
        self._cut_pids = pids
        self._passable.clear()

    def heal(self) -> None:
        """Lets traffic pass again."""
        self._passable.set()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[Link]:
        """Accepts connections until the context exits."""
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(100)
            listener.setblocking(False)
            self.address = f"127.0.0.1:{listener.getsockname()[1]}"
            accepting = loop.create_task(self._accept(listener))
            try:
                yield self
            finally:
                accepting.cancel()
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(
                    accepting, *self._tasks, return_exceptions=True
                )

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(listener)
            client.setblocking(False)
            task = loop.create_task(self._forward(client))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with client:
            try:
                pid = await asyncio.to_thread(find_peer, client.getpeername())
            except OSError:
                return
            if self._is_cut(pid):
                await self._passable.wait()
                if _has_ended(client):
                    return
            with socket.socket() as server:
                server.setblocking(False)
                await loop.sock_connect(server, self._target)
                await asyncio.gather(
                    self._pump(client, server, pid),
                    self._pump(server, client, pid),
                )

    def _is_cut(self, pid: int) -> bool:
        is_meant = self._cut_pids is None or pid in self._cut_pids
        return is_meant and not self._passable.is_set()

    async def _pump(
        self, source: socket.socket, sink: socket.socket, pid: int
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                await _readable(source)
                if self._is_cut(pid):
                    await self._passable.wait()
                if _is_reset(source):
                    sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    sink.close()
                    return
                data = await loop.sock_recv(source, READ_BYTES)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(sink, data)
        except OSError:
            return


def find_peer(address: tuple[str, int]) -> int:
    """Returns the process that has the socket at `address`.

    Raises:
      OSError: if there is none.
    """
    host, port = address
    octets = bytes(reversed(socket.inet_aton(host))).hex().upper()
    name = f"{octets}:{port:04X}"
    for _ in range(FIND_TRIES):
        rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        for row in rows:
            if row.split()[1] == name:
                pid = _find_owner(f"socket:[{row.split()[9]}]")
                if pid:
                    return pid
        time.sleep(FIND_PAUSE_S)
    raise ConnectionResetError(f"no process has the socket {address}")


def _find_owner(link: str) -> int:
    for folder in pathlib.Path("/proc").glob("[0-9]*/fd"):
        with contextlib.suppress(OSError):
            for fd in folder.iterdir():
                with contextlib.suppress(OSError):
                    if str(fd.readlink()) == link:
                        return int(folder.parent.name)
    return 0


async def _readable(sock: socket.socket) -> None:
    """Waits until `sock` can be read, without reading from it."""
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(sock, lambda: ready.done() or ready.set_result(None))
    try:
        await ready
    finally:
        loop.remove_reader(sock)


def _events(sock: socket.socket) -> int:
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLRDHUP)
    return next((events for _, events in poller.poll(0)), 0)


def _is_reset(sock: socket.socket) -> bool:
    return bool(_events(sock) & select.POLLERR)


def _has_ended(sock: socket.socket) -> bool:
    ended = select.POLLERR | select.POLLHUP | select.POLLRDHUP
    return bool(_events(sock) & ended)
