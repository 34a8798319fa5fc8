"""Limits on what clients may use of a host, whatever they send.

A client holds memory with what it has sent and is not answered, and with
answers that it does not read. Where all clients together hold too much, those
that hold most are dropped. So are, after some time, the connections of clients
that don't start a session, don't end a message or don't read.
"""

from __future__ import annotations

import dataclasses
import enum

MB = 1_000_000
# What a host needs for itself.
OWN_MEMORY_BYTES = 64 * MB
# The part of the rest that clients may hold. Python's objects and its allocator
# take more than their contents.
CLIENT_MEMORY_SHARE = 0.4
MIN_CLIENT_BYTES = 8 * MB
MAX_CLIENT_BYTES = 256 * MB
# For a host whose memory is not limited by its settings.
DEFAULT_CLIENT_BYTES = 64 * MB
# The platform counts so many of a process's descriptors for files.
FILE_DESCRIPTORS = 200
# The part of the other descriptors that clients may use.
CLIENT_DESCRIPTOR_SHARE = 0.7
DEFAULT_MAX_CLIENTS = 10_000
# A message that is being run exists several times: decoded, in fields, and
# encoded for the upstream, some of these more than once on the way.
RUNNING_COPIES = 8
# A message of this size is run however little memory is left.
SMALL_MESSAGE_BYTES = 16 << 10


class Wait(enum.Enum):
    """What a host waits for a client to do.

    START: to start its session. MESSAGE: to send the rest of a message. READ:
    to read an answer.
    """

    START = "start"
    MESSAGE = "message"
    READ = "read"


class DropReason(enum.Enum):
    """Why the connection of a client is dropped."""

    TOO_MANY_CLIENTS = "too_many_clients"
    TOO_MUCH_MEMORY = "too_much_memory"
    START_TIMEOUT = "start_timeout"
    MESSAGE_TIMEOUT = "message_timeout"
    READ_TIMEOUT = "read_timeout"


_TIMEOUT_REASONS = {
    Wait.START: DropReason.START_TIMEOUT,
    Wait.MESSAGE: DropReason.MESSAGE_TIMEOUT,
    Wait.READ: DropReason.READ_TIMEOUT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What clients may use.

    Attributes:
      max_bytes: the memory that all clients may hold, in bytes.
      max_clients: how many connections clients may have.
      start_timeout_s: how long a client may take to start its session.
      message_timeout_s: how long it may take to send a message.
      read_timeout_s: how long it may go without reading any of an answer.
    """

    max_bytes: int = DEFAULT_CLIENT_BYTES
    max_clients: int = DEFAULT_MAX_CLIENTS
    start_timeout_s: float = 10.0
    message_timeout_s: float = 30.0
    read_timeout_s: float = 30.0

    @property
    def timeouts_s(self) -> dict[Wait, float]:
        """The time-outs by what the host waits for."""
        return {
            Wait.START: self.start_timeout_s,
            Wait.MESSAGE: self.message_timeout_s,
            Wait.READ: self.read_timeout_s,
        }


def memory_limit(memory_bytes: int) -> int:
    """Returns how much clients may hold of a host's memory, in bytes.

    `memory_bytes` is 0 if the memory is not limited.
    """
    if not memory_bytes:
        return DEFAULT_CLIENT_BYTES
    rest = (memory_bytes - OWN_MEMORY_BYTES) * CLIENT_MEMORY_SHARE
    return int(min(max(rest, MIN_CLIENT_BYTES), MAX_CLIENT_BYTES))


def client_limit(max_descriptors: int) -> int:
    """Returns how many connections clients may have.

    `max_descriptors` is 0 if the number of descriptors is not limited.
    """
    if not max_descriptors:
        return DEFAULT_MAX_CLIENTS
    rest = max_descriptors - FILE_DESCRIPTORS
    return max(int(rest * CLIENT_DESCRIPTOR_SHARE), 1)


@dataclasses.dataclass(slots=True)
class ClientUse:
    """What one client uses.

    Attributes:
      held_bytes: the memory that it holds.
      wait: what the host waits for it to do; None for nothing.
      since: since when; local clock, seconds.
    """

    held_bytes: int = 0
    wait: Wait | None = Wait.START
    since: float = 0.0


class ClientLimiter:
    """Counts what clients use, and says which of them to drop."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._clients: dict[int, ClientUse] = {}
        self._waiting: dict[int, ClientUse] = {}
        self._held_bytes = 0
        self._running_large: set[int] = set()

    @property
    def held_bytes(self) -> int:
        """The memory that all clients hold."""
        return self._held_bytes

    def open(self, client: int, now: float) -> int | None:
        """Adds a client; returns one to drop if there are too many.

        That is the oldest one without a session, or else the new one.
        """
        use = ClientUse(since=now)
        self._clients[client] = self._waiting[client] = use
        if len(self._clients) <= self.limits.max_clients:
            return None
        for other, other_use in self._waiting.items():
            if other_use.wait is Wait.START:
                return other
        return client

    def close(self, client: int) -> None:
        """Removes a client."""
        use = self._clients.pop(client, None)
        self._waiting.pop(client, None)
        self._running_large.discard(client)
        if use is not None:
            self._held_bytes -= use.held_bytes

    def try_run(self, client: int, message_bytes: int) -> bool:
        """Returns whether there is memory to run a client's message.

        A small message always runs, and so does one that no other large one
        runs beside.
        """
        if message_bytes <= SMALL_MESSAGE_BYTES:
            return True
        more_bytes = message_bytes * RUNNING_COPIES
        has_room = self._held_bytes + more_bytes <= self.limits.max_bytes
        if self._running_large and not has_room:
            return False
        self._running_large.add(client)
        return True

    def end_run(self, client: int) -> None:
        """Records that a client's message does not run any more."""
        self._running_large.discard(client)

    def update(
        self, client: int, held_bytes: int, wait: Wait | None, now: float
    ) -> None:
        """Records what a client holds, and what the host waits for.

        The time counts from when a wait began; for `Wait.READ`, from when the
        client last read something.
        """
        use = self._clients.get(client)
        if use is None:
            return
        has_read = wait is Wait.READ and held_bytes < use.held_bytes
        if wait is not use.wait or has_read:
            use.wait, use.since = wait, now
            if wait is None:
                self._waiting.pop(client, None)
            else:
                self._waiting[client] = use
        self._held_bytes += held_bytes - use.held_bytes
        use.held_bytes = held_bytes

    def largest(self) -> int | None:
        """Returns the client to drop if all hold too much; the largest holder.

        Of several, the newest goes first.
        """
        if self._held_bytes <= self.limits.max_bytes:
            return None
        return max(
            self._clients,
            key=lambda client: (self._clients[client].held_bytes, client),
        )

    def overdue(self, now: float) -> list[tuple[int, DropReason]]:
        """Returns the clients that take too long, and why."""
        timeouts_s = self.limits.timeouts_s
        return [
            (client, _TIMEOUT_REASONS[use.wait])
            for client, use in self._waiting.items()
            if now - use.since > timeouts_s[use.wait]
        ]
