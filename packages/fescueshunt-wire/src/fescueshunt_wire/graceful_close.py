"""Closes a connection so that its peer receives everything that was sent.

A connection that is closed with unread bytes is reset, and its peer loses what
is still on the way. The stream is therefore ended first, and what the peer
sends is read until it ends its stream as well. The stream ends only once all
is sent: the end would wait behind the rest, and the peer would go on meanwhile.
"""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# What arrives behind the end of a stream is read and ignored for this long.
LINGER_S = 0.1
# How often data that has just arrived is handled before the stream ends. Time
# could run out while the process stands still and reads nothing.
MAX_FINAL_READS = 100
# How often a stream whose end has to wait is looked at.
SENDING_CHECK_S = 0.01
# Linux's request for the bytes of a socket that are not sent yet; see tcp(7).
SIOCOUTQNSD = 0x894B
# The end of a stream counts as one byte that the other end has to acknowledge.
END_OF_STREAM_BYTES = 1


class GracefulClose:
    """The close of one connection.

    Its protocol reports what it reads, also before the close begins.

    Args:
      transport: the transport of the connection.
      ignore: called when what is read from then on is not handled any more.
    """

    def __init__(
        self, transport: asyncio.Transport, ignore: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._ignore = ignore
        self._timer: asyncio.TimerHandle | None = None
        self._final_reads = 0
        self._has_received = False
        self._has_peer_ended = False
        self._is_lingering = False

    def record_received(self) -> None:
        """Records that the protocol has read bytes."""
        self._has_received = True

    def record_end_of_stream(self) -> bool:
        """Records that the peer has ended its stream.

        Returns whether the transport has to stay open for what is still to be
        sent.
        """
        self._has_peer_ended = True
        return not self._is_lingering

    def begin(self, *, reads_first: bool) -> None:
        """Begins the close; later calls have no effect.

        Args:
          reads_first: whether what has already arrived is handled before the
            stream ends.
        """
        if not reads_first:
            self._ignore()
        if self._has_peer_ended:
            self._transport.close()
        elif self._timer is None:
            self._read_before_end()

    def cancel(self) -> None:
        """Cancels the timers of a connection that is lost."""
        if self._timer is not None:
            self._timer.cancel()

    def _read_before_end(self) -> None:
        """Reads what has arrived, then ends the stream if that was nothing."""
        self._final_reads += 1
        self._has_received = False
        self._transport.resume_reading()
        # Timers run after what is ready to be read has been read.
        self._call_later(0, self._end_stream)

    def _end_stream(self) -> None:
        """Ends the stream, unless more is to be read or sent before.

        What arrives between the last look and the end is ignored, so nothing
        stands between the two.
        """
        may_wait = self._final_reads < MAX_FINAL_READS
        if may_wait and self._is_sending():
            self._wait_while_sending()
            return
        is_arriving = self._has_received or self._has_unread_bytes()
        if may_wait and is_arriving:
            self._read_before_end()
            return
        if self._has_peer_ended:
            self._ignore()
            self._transport.close()
            return
        # A peer that reset its connection also makes `connection_lost` be
        # called.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._is_lingering = True
        self._ignore()
        self._call_later(LINGER_S, self._stop_lingering)

    def _wait_while_sending(self) -> None:
        """Goes on reading until the rest is sent."""
        if self._has_received:
            self._final_reads += 1
            self._has_received = False
        self._call_later(SENDING_CHECK_S, self._end_stream)

    def _stop_lingering(self) -> None:
        if self._has_unsent_bytes():
            self._call_later(LINGER_S, self._stop_lingering)
        else:
            self._transport.close()

    def _call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, call)

    def _has_unread_bytes(self) -> bool:
        """Returns whether bytes have arrived since the loop last looked."""
        return self._count_bytes(termios.FIONREAD) > 0

    def _is_sending(self) -> bool:
        """Returns whether the end of the stream would have to wait."""
        if self._has_peer_ended:
            return False
        is_buffering = self._transport.get_write_buffer_size() > 0
        return is_buffering or self._count_bytes(SIOCOUTQNSD) > 0

    def _has_unsent_bytes(self) -> bool:
        """Returns whether the peer's system has yet to receive bytes."""
        return (
            self._transport.get_write_buffer_size() > 0
            or self._count_bytes(termios.TIOCOUTQ) > END_OF_STREAM_BYTES
        )

    def _count_bytes(self, queue: int) -> int:
        """Returns how many bytes are in a queue of the connection's socket.

        Returns 0 if the system does not say.

        Args:
          queue: FIONREAD for bytes that are unread, SIOCOUTQNSD for those that
            are not sent, TIOCOUTQ for those that the peer's system has not
            received.
        """
        sock = self._transport.get_extra_info("socket")
        count = array.array("i", [0])
        with contextlib.suppress(OSError):
            fcntl.ioctl(sock.fileno(), queue, count)
        return count[0]
