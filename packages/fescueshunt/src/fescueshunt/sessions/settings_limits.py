"""Limits on the values and prepared statements that sessions may keep.

They are kept for as long as a session lasts, and its values are set again on
each connection that it uses. Each session may keep a little at any time; what
is beyond that counts towards a limit of the host.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import failures, sessions

if TYPE_CHECKING:
    from fescueshunt.sessions import session as client_session

MAX_VALUES_PER_SESSION = 100
MAX_PREPARED_PER_SESSION = 1000
MAX_SESSION_CHARS = 4 << 20
MAX_HOST_CHARS = 32 << 20
# What a session may keep without counting towards the limit of the host.
FREE_CHARS_PER_SESSION = 16 << 10


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a session may not keep a value or a statement."""

    failure: failures.Failure
    detail: str


TOO_MANY_VALUES = Refusal(
    failures.Failure.INVALID, "too many values in the session"
)
TOO_MANY_PREPARED = Refusal(
    failures.Failure.INVALID, "too many prepared statements in the session"
)
SESSION_FULL = Refusal(
    failures.Failure.INVALID, "values and statements of the session too long"
)
# Other sessions may end, so that there is room later.
HOST_FULL = Refusal(
    failures.Failure.BUSY, "values and statements of all sessions too long"
)


class SettingsLimits:
    """Counts the characters that the sessions of a host keep."""

    def __init__(self) -> None:
        self._session_chars: dict[int, int] = {}
        self._host_chars = 0

    def try_add_value(
        self, session: client_session.Session, name: str, value: str
    ) -> Refusal | None:
        """Counts a value that replaces the one of this name, if any.

        Returns why the session may not keep it, or None if it may.
        """
        old_value = session.values.get(name)
        if old_value is None and len(session.values) >= MAX_VALUES_PER_SESSION:
            return TOO_MANY_VALUES
        old_chars = 0 if old_value is None else len(name) + len(old_value)
        return self._add(session, len(name) + len(value) - old_chars)

    def try_add_prepared(
        self,
        session: client_session.Session,
        name: str,
        prepared: sessions.Prepared,
    ) -> Refusal | None:
        """Counts a statement that replaces the one of this name, if any.

        Returns why the session may not keep it, or None if it may.
        """
        old = session.prepared.get(name)
        if old is None and len(session.prepared) >= MAX_PREPARED_PER_SESSION:
            return TOO_MANY_PREPARED
        old_chars = 0 if old is None else len(name) + len(old.shape)
        return self._add(session, len(name) + len(prepared.shape) - old_chars)

    def remove_prepared(
        self, client: int, name: str, prepared: sessions.Prepared
    ) -> None:
        """Stops counting a prepared statement."""
        chars = self._session_chars[client]
        self._set_session_chars(client, chars - len(name) - len(prepared.shape))

    def remove_session(self, client: int) -> None:
        """Stops counting a session that has ended."""
        self._set_session_chars(client, 0)
        self._session_chars.pop(client, None)

    def _add(
        self, session: client_session.Session, chars: int
    ) -> Refusal | None:
        """Counts `chars` more, or returns why there is no room for them."""
        before = self._session_chars.get(session.client, 0)
        after = before + chars
        if chars > 0:
            added = _counted(after) - _counted(before)
            if after > MAX_SESSION_CHARS:
                return SESSION_FULL
            if added and self._host_chars + added > MAX_HOST_CHARS:
                return HOST_FULL
        self._set_session_chars(session.client, after)
        return None

    def _set_session_chars(self, client: int, chars: int) -> None:
        before = self._session_chars.get(client, 0)
        self._host_chars += _counted(chars) - _counted(before)
        self._session_chars[client] = chars


def _counted(session_chars: int) -> int:
    return max(session_chars - FREE_CHARS_PER_SESSION, 0)
