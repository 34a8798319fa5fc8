"""The rules that clients rely on, and violations of them."""

from __future__ import annotations

import dataclasses
import enum

# The client may assume that no write of it is kept.
NO_EFFECT_CODES = frozenset(
    ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT")
)
# The upstream has not executed the statement.
NOT_EXECUTED_CODES = frozenset(
    (
        "BUSY",
        "NOSTMT",
        "LAGGING",
        "READONLY",
        "MALFORMED",
        "MISROUTED",
        "CONNLIMIT",
    )
)


class Rule(enum.Enum):
    """What clients may rely on.

    The names are those of the rules in the operator's incident reports.

    MIXED: an answer belongs to its statement, with its receipt and rows.
    PINNED: a statement runs in its client's transaction and session.
    UNASKED: upstreams run only what clients sent.
    TWICE: a write takes effect once.
    REFUSED: nothing is kept of what was answered with one of NO_EFFECT_CODES.
    """

    MIXED = "mixed"
    PINNED = "pinned"
    UNASKED = "unasked"
    TWICE = "twice"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with what was seen."""

    rule: Rule
    detail: str
