"""Messages by which an operator signs in to a proxy's admin listener."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SignIn:
    """The first message of an operator; the token shows who asks."""

    token: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class SignedIn:
    """The token is known: the operator's name and what it may do."""

    operator: str
    may_change: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReadMetrics:
    """Asks for the proxy's counters and latencies."""
