"""The rules that clients rely on, and violations of them."""

from __future__ import annotations

import dataclasses
import enum


class Rule(enum.Enum):
    """What clients may rely on.

    MIXED: an answer belongs to the client's statement, with its receipt and
    rows. PINNED: a statement runs in its client's transaction and session.
    UNASKED: upstreams run only what clients sent. TWICE: a write takes effect
    once. REFUSED: nothing is kept after a promise to keep nothing.
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
