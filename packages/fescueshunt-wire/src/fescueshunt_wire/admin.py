"""Messages of the admin listener for signing in and for reading metrics."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SignIn:
    """The first message of an operator; the token identifies the operator."""

    token: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class SignedIn:
    """The answer to a `SignIn` with a valid token.

    Attributes:
      operator: the name of the operator.
      may_change: whether the operator may change the settings.
    """

    operator: str
    may_change: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReadMetrics:
    """Requests the counters and latencies of the proxy."""
