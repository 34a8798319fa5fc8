"""Decides which client account a session belongs to.

The key of a session is looked up again for each transaction and each single
statement, so that a key that the operator withdraws ends the access of sessions
that are already open.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt.core import accounts, routes

NO_ACCOUNT = ""


class AccessControl:
    """Identifies clients by the accounts in force."""

    def __init__(self) -> None:
        self._directory: accounts.Directory | None = None

    def update(self, view: routes.RoutesView) -> None:
        """Puts the accounts of the operator's document in force."""
        self._directory = view.accounts

    def identify(
        self, key: accounts.KeyDigest, route: routes.Route
    ) -> str | None:
        """Returns the name of the account that holds `key`.

        Returns "" if clients of the route need no account, and None if the key
        is unknown and access has to be denied.
        """
        if self._directory is None:
            return NO_ACCOUNT
        account = self._directory.find(key)
        if account is not None:
            return account.name
        return NO_ACCOUNT if route.is_public else None
