"""Client accounts: who a client is by its key, and how much it may use.

A key is compared by its digest, and only the digest goes beyond the decoder of
a client's message. So no key can reach an upstream, a log or a metric.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from fescueshunt.core import texts

KEY_DIGEST_BYTES = 16

KeyDigest = NewType("KeyDigest", bytes)

NO_KEY = KeyDigest(b"")


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """How many operations an account may run, over all hosts.

    Attributes:
      rate_per_s: the sustained rate, in operations per second.
      burst: the number of operations beyond it that may come at once.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
      name: the name that upstreams are told.
      quota: the limit of its operations; None if there is none.
    """

    name: texts.Word
    quota: Quota | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """The accounts in force, and the keys that identify them.

    Attributes:
      accounts: the accounts by name.
      account_by_key: the name of the account that holds a key.
      ambiguous: the digests of the keys that several accounts hold. They
        identify none of these.
    """

    accounts: Mapping[str, Account]
    account_by_key: Mapping[KeyDigest, str]
    ambiguous: frozenset[KeyDigest] = frozenset()

    def find(self, key: KeyDigest) -> Account | None:
        """Returns the account that holds `key`, or None."""
        name = self.account_by_key.get(key)
        return None if name is None else self.accounts[name]


def find_quota(directory: Directory | None, name: str) -> Quota | None:
    """Returns the quota of the account `name`; None if it has no limit.

    `directory` is None if accounts are not in use.
    """
    if directory is None:
        return None
    account = directory.accounts.get(name)
    return None if account is None else account.quota


def digest_key(key: str) -> KeyDigest:
    """Returns the digest under which a client's key is known."""
    if not key:
        return NO_KEY
    data = key.encode(errors="surrogateescape")
    digest = hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).digest()
    return KeyDigest(digest)


def build_directory(
    accounts: Iterable[tuple[Account, Iterable[str]]],
) -> Directory:
    """Returns the directory of accounts, each given with its keys.

    An empty key identifies nobody. A key of several accounts doesn't either, as
    statements of one could run under the name of another.
    """
    by_name: dict[str, Account] = {}
    by_key: dict[KeyDigest, str] = {}
    ambiguous: set[KeyDigest] = set()
    for account, keys in accounts:
        by_name[account.name] = account
        for digest in map(digest_key, filter(None, keys)):
            if by_key.setdefault(digest, account.name) != account.name:
                ambiguous.add(digest)
    for digest in ambiguous:
        del by_key[digest]
    return Directory(by_name, by_key, frozenset(ambiguous))
