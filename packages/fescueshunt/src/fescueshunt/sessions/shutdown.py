"""Decides which sessions close while this host stops or is isolated."""

from __future__ import annotations

# The load balancer checks the health of this host once a second and takes it
# out of rotation after two failed checks. A client that was sent here just
# before then needs time to open its session and to send its first statement.
OUT_OF_ROTATION_S = 2.5
# Open transactions may continue during the first half of the grace period.
TRANSACTION_GRACE_SHARE = 0.52
STATEMENT_MARGIN_S = 0.7


class Shutdown:
    """Decides how long sessions may continue during a graceful stop."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._started_at: float | None = None
        self._isolated_at: float | None = None

    def start(self, now: float) -> None:
        """Starts the graceful stop; later calls have no effect."""
        if self._started_at is None:
            self._started_at = now

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

    def should_close(
        self, now: float, idle: bool, in_transaction: bool
    ) -> bool:
        """Returns whether a session has to close now.

        Args:
          now: the current time; local clock, seconds.
          idle: whether the session has no statement in flight.
          in_transaction: whether its transaction is open or failed.
        """
        if self._started_at is None:
            return (
                idle
                and not in_transaction
                and self._isolated_at is not None
                and now - self._isolated_at > OUT_OF_ROTATION_S
            )
        elapsed_s = now - self._started_at
        if not idle:
            return elapsed_s > self._grace_s - STATEMENT_MARGIN_S
        if in_transaction:
            return elapsed_s > self._grace_s * TRANSACTION_GRACE_SHARE
        return elapsed_s > OUT_OF_ROTATION_S

    def is_complete(self, now: float, session_count: int) -> bool:
        """Returns whether the graceful stop is complete.

        It is complete when all sessions are closed and the load balancer has
        had time to take this host out of rotation.
        """
        if self._started_at is None:
            return False
        elapsed_s = now - self._started_at
        return elapsed_s > OUT_OF_ROTATION_S and not session_count
