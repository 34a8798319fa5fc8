"""Decides which sessions close while this host stops or is isolated.

A host that stops first leaves the load balancer's rotation. Then each session
closes behind its next answer, and the listener at the first moment without work
in progress. The process exits when no connection is left.
"""

from __future__ import annotations

# The load balancer checks the health of this host once a second and takes it
# out of rotation after two failed checks. A client that was sent here just
# before then needs time to open its session.
OUT_OF_ROTATION_S = 2.5
# The first statement of a session arrives within this time of its opening.
FIRST_STATEMENT_S = 0.25
# Open transactions may continue during the first half of the grace period, with
# a little time to spare, and the listener may stay open as long.
TRANSACTION_GRACE_SHARE = 0.52
# How long before the end of the grace period statements have to be answered.
STATEMENT_MARGIN_S = 0.7
# How long before it the process exits even if a client still reads answers.
EXIT_MARGIN_S = 0.3
NEVER = float("inf")


class Shutdown:
    """Decides how long sessions may continue during a graceful stop.

    Each filter that takes part in the stop has one of its own and updates it
    from the items that it sees.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._out_of_rotation_s = min(OUT_OF_ROTATION_S, grace_s / 2)
        self._started_at: float | None = None
        self._isolated_at: float | None = None
        self._is_listening = True

    def start(self, since: float) -> None:
        """Starts the graceful stop; later calls have no effect.

        Args:
          since: when its grace period began; local clock, seconds.
        """
        if self._started_at is None:
            self._started_at = since

    def stop_listening(self) -> None:
        """Records that no more client connections are accepted."""
        self._is_listening = False

    def set_isolated(self, isolated: bool, now: float) -> None:
        """Records whether this host is isolated.

        Clients of an isolated host are better served by another one.
        """
        if not isolated:
            self._isolated_at = None
        elif self._isolated_at is None:
            self._isolated_at = now

    def elapsed_s(self, now: float) -> float:
        """Returns the seconds since the graceful stop started; 0 before it."""
        return now - self._started_at if self._started_at is not None else 0.0

    @property
    def is_stopping(self) -> bool:
        """Whether the graceful stop has started."""
        return self._started_at is not None

    @property
    def keeps_all_sessions(self) -> bool:
        """Whether no session has to close."""
        return self._started_at is None and self._isolated_at is None

    @property
    def statement_deadline(self) -> float:
        """When the last statement must be answered; infinity before a stop."""
        if self._started_at is None:
            return NEVER
        margin_s = min(STATEMENT_MARGIN_S, self._grace_s / 2)
        return self._started_at + self._grace_s - margin_s

    def is_draining(self, now: float) -> bool:
        """Returns whether sessions close behind their next answer."""
        return self.elapsed_s(now) > self._out_of_rotation_s

    def should_stop_listening(self, now: float, busy_count: int) -> bool:
        """Returns whether the listener has to close.

        Args:
          now: the current time; local clock, seconds.
          busy_count: the number of clients with a statement in flight or an
            open transaction.
        """
        is_due = self.is_draining(now) and not busy_count
        return self._is_listening and (is_due or self._is_half_over(now))

    def should_close(
        self, now: float, opened_at: float, in_transaction: bool
    ) -> bool:
        """Returns whether a session without a statement in flight has to close.

        Args:
          now: the current time; local clock, seconds.
          opened_at: when it was opened; local clock, seconds.
          in_transaction: whether its transaction is open or failed.
        """
        if in_transaction:
            return self._is_half_over(now)
        may_close = not self._is_listening or self._is_left_out(now)
        return may_close and now - opened_at >= FIRST_STATEMENT_S

    def is_complete(self, now: float, client_count: int) -> bool:
        """Returns whether the process may exit.

        It may when no client connection is left, and it must just before the
        grace period ends.
        """
        if self._is_listening:
            return False
        time_is_up = self.elapsed_s(now) > self._grace_s - EXIT_MARGIN_S
        return time_is_up or not client_count

    def _is_left_out(self, now: float) -> bool:
        """Returns whether the load balancer left this isolated host out."""
        if self._started_at is not None or self._isolated_at is None:
            return False
        return now - self._isolated_at > OUT_OF_ROTATION_S

    def _is_half_over(self, now: float) -> bool:
        return self.elapsed_s(now) > self._grace_s * TRANSACTION_GRACE_SHARE
