"""When sessions close while this host stops."""

from __future__ import annotations

# The balancer asks once a second and needs two misses; a client that it still
# sent here then opens its session and says what it wants.
OUT_OF_ROTATION_S = 2.5
# An open transaction has the first half of the grace to end.
TRANSACTION_SHARE = 0.52
END_MARGIN_S = 0.7


class Shutdown:
    """A graceful stop: who may still finish what, until when."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._begun_at: float | None = None
        self._cut_off_at: float | None = None

    def begin(self, now: float) -> None:
        """Starts the stop, once."""
        if self._begun_at is None:
            self._begun_at = now

    def set_cut_off(self, cut_off: bool, now: float) -> None:
        """Notes whether this host is cut off, so that others serve better."""
        if not cut_off:
            self._cut_off_at = None
        elif self._cut_off_at is None:
            self._cut_off_at = now

    @property
    def is_idle(self) -> bool:
        """Whether no session is to be closed."""
        return self._begun_at is None and self._cut_off_at is None

    def should_close(
        self, now: float, idle: bool, in_transaction: bool
    ) -> bool:
        """Tells whether a session is to be closed now."""
        if self._begun_at is None:
            return (
                idle
                and not in_transaction
                and self._cut_off_at is not None
                and now - self._cut_off_at > OUT_OF_ROTATION_S
            )
        passed_s = now - self._begun_at
        if not idle:
            return passed_s > self._grace_s - END_MARGIN_S
        if in_transaction:
            return passed_s > self._grace_s * TRANSACTION_SHARE
        return passed_s > OUT_OF_ROTATION_S

    def is_over(self, now: float, sessions: int) -> bool:
        """Tells whether nothing is left to wait for."""
        if self._begun_at is None:
            return False
        passed_s = now - self._begun_at
        return passed_s > OUT_OF_ROTATION_S and not sessions
