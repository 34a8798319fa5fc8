"""Quotas of client accounts, shared by all hosts.

Each host may use a share of an account's quota, a fraction of it. It fills a
token bucket of its own at that share of the rate, up to that share of what may
come at once. As long as all shares together are at most one, the operations of
all hosts in any window stay within the bound, however shares move.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer_items

if TYPE_CHECKING:
    from fescueshunt.core import accounts

# How long a share is valid after the host asked for it. A host that is cut off
# goes on for so long, and its share can't be given to others before.
SHARE_TTL_S = 8.0
# The part of what may run in a window that comes at a steady rate; the rest may
# come at once.
RATE_SHARE = 0.8
# The part of that rest that the buckets of hosts may hold.
BUCKET_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """How many operations of an account may run in a window.

    They are (rate x window + burst) x (1 + overage) + slack.

    Attributes:
      window_s: the length of the window, in seconds.
      overage: the permitted excess, as a fraction.
      slack: the permitted excess, in operations.
    """

    window_s: float = 1.0
    overage: float = 0.0
    slack: float = 0.0

    def rate_per_s(self, quota: accounts.Quota) -> float:
        """Returns the rate of all hosts' buckets together, in tokens a second.

        It is higher than the quota's own rate, as far as the window permits:
        the quota counts operations, and each statement of one takes a token.
        """
        if not quota.rate_per_s:
            return 0.0
        return self._allowed(quota) * RATE_SHARE / self.window_s

    def max_tokens(self, quota: accounts.Quota) -> float:
        """Returns what the buckets of all hosts may hold together."""
        return self._burst(quota) * BUCKET_SHARE

    def initial_tokens(self, quota: accounts.Quota) -> float:
        """Returns what a new coordinator may grant at once.

        It can't know what its predecessor's hosts have used just before.
        """
        return self._burst(quota) * (1 - BUCKET_SHARE)

    def _burst(self, quota: accounts.Quota) -> float:
        """Returns what may run in a window beyond its length times the rate."""
        return self._allowed(quota) * (1 - RATE_SHARE)

    def _allowed(self, quota: accounts.Quota) -> float:
        """Returns what may run in a window."""
        base = quota.rate_per_s * self.window_s + quota.burst
        return base * (1 + self.overage) + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class ShareWish:
    """What a host has of an account's quota, and what it would have.

    Attributes:
      account: the name of the account.
      wanted: the share that the host needs, from 0 to 1.
      held: the share that it has.
      left_s: how long it may still use that, in seconds.
      missing: how many operations wait for tokens.
      returned: tokens that the host gives back.
    """

    account: str
    wanted: float
    held: float
    left_s: float
    missing: int = 0
    returned: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareGrant:
    """The share of an account's quota that a host has from now on.

    Attributes:
      account: the name of the account.
      fraction: the share, from 0 to 1.
      tokens: operations that the host may run in addition at once.
    """

    account: str
    fraction: float
    tokens: float


class RefusalCause(enum.Enum):
    """Why an operation of an account with a quota was refused."""

    USED_UP = "used_up"
    NO_SHARE = "no_share"


# Messages between hosts.


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReport(peer_items.PeerMessage):
    """A host's wishes, to the coordinator.

    Attributes:
      incarnation: the incarnation of the host.
      number: the number of the report on this link, from 1.
      seen: the number of the last `QuotaShares` that the host received on this
        link; 0 if none.
    """

    incarnation: int
    number: int
    seen: int
    wishes: tuple[ShareWish, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaShares(peer_items.PeerMessage):
    """Shares of a host, from the coordinator.

    Attributes:
      epoch: the coordinator's fencing token.
      number: the number of the message on this link, from 1.
      answers: the number of the report that the coordinator knew of. The shares
        are valid from when the host sent that.
      ttl_s: how long they are valid, in seconds.
    """

    epoch: int
    number: int
    answers: int
    grants: tuple[ShareGrant, ...]
    ttl_s: float = SHARE_TTL_S


# Items between pipes.


@dataclasses.dataclass(frozen=True, slots=True)
class ShareNeeded(filters.Item):
    """This host needs another share of an account's quota.

    Attributes:
      wanted: the share that it needs, from 0 to 1.
      missing: how many operations wait for tokens.
    """

    account: str
    wanted: float
    missing: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShareChanged(filters.Item):
    """This host has another share of an account's quota.

    Attributes:
      fraction: the share, from 0 to 1.
      tokens: operations that may run in addition at once.
      valid_until: until when the share may be used; local clock, seconds.
    """

    account: str
    fraction: float
    tokens: float
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShareShrunk(filters.Item):
    """This host uses the smaller share that it was given.

    Attributes:
      returned: the tokens that don't fit into it.
    """

    account: str
    returned: float


@dataclasses.dataclass(frozen=True, slots=True)
class OperationRefused(filters.Item):
    """An operation was refused for the quota of its account.

    Attributes:
      cause: `USED_UP` if this host has a valid share or an answer of the
        coordinator, but no token; `NO_SHARE` if it has neither.
    """

    account: str
    cause: RefusalCause
