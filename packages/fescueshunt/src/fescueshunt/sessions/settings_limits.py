"""Limits on the values and prepared statements that sessions may keep.

They are kept for as long as a session lasts, and its values are set again on
each connection that it uses. Each session may keep a little at any time; what
is beyond that counts towards a limit of the host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import sessions
    from fescueshunt.sessions import session as client_session

MAX_VALUES = 100
MAX_PREPARED = 1000
MAX_SESSION_CHARS = 4 << 20
MAX_HOST_CHARS = 32 << 20
# What a session may keep without counting towards the limit of the host.
UNCOUNTED_CHARS = 16 << 10

TOO_MANY_VALUES = "too many session values"
TOO_MANY_PREPARED = "too many prepared statements"
SESSION_FULL = "session values and statements are too long"
HOST_FULL = "no memory for session values and statements"


class SettingsLimits:
    """Counts the characters that the sessions of a host keep."""

    def __init__(self) -> None:
        self._session_chars: dict[int, int] = {}
        self._host_chars = 0

    def refuse_value(
        self, session: client_session.Session, name: str, value: str
    ) -> str:
        """Counts a value that replaces the one of this name, if any.

        Returns the reason why the session may not keep it; "" if it may.
        """
        old_value = session.values.get(name)
        if old_value is None and len(session.values) >= MAX_VALUES:
            return TOO_MANY_VALUES
        old_chars = 0 if old_value is None else len(name) + len(old_value)
        return self._add(session, len(name) + len(value) - old_chars)

    def refuse_prepared(
        self,
        session: client_session.Session,
        name: str,
        prepared: sessions.Prepared,
    ) -> str:
        """Counts a statement that replaces the one of this name, if any.

        Returns the reason why the session may not keep it; "" if it may.
        """
        old = session.prepared.get(name)
        if old is None and len(session.prepared) >= MAX_PREPARED:
            return TOO_MANY_PREPARED
        old_chars = 0 if old is None else len(name) + len(old.shape)
        return self._add(session, len(name) + len(prepared.shape) - old_chars)

    def deallocate(
        self, client: int, name: str, prepared: sessions.Prepared
    ) -> None:
        """Stops counting a prepared statement."""
        chars = self._session_chars[client]
        self._set(client, chars - len(name) - len(prepared.shape))

    def remove(self, client: int) -> None:
        """Stops counting a session that has ended."""
        self._set(client, 0)
        self._session_chars.pop(client, None)

    def _add(self, session: client_session.Session, chars: int) -> str:
        """Counts `chars` more, or returns why there is no room for them."""
        before = self._session_chars.get(session.client, 0)
        after = before + chars
        if chars > 0:
            added = _counted(after) - _counted(before)
            if after > MAX_SESSION_CHARS:
                return SESSION_FULL
            if added and self._host_chars + added > MAX_HOST_CHARS:
                return HOST_FULL
        self._set(session.client, after)
        return ""

    def _set(self, client: int, chars: int) -> None:
        before = self._session_chars.get(client, 0)
        self._host_chars += _counted(chars) - _counted(before)
        self._session_chars[client] = chars


def _counted(session_chars: int) -> int:
    return max(session_chars - UNCOUNTED_CHARS, 0)
