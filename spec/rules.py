"""The rules of the protocol; each can be taken out to see what breaks."""

from __future__ import annotations

import enum


class Rule(enum.StrEnum):
    """One rule of the protocol."""

    PROMISE_RISES = "an upstream promises only a higher term than before"
    QUORUM = "a promotion needs the promises of a majority"
    NEWEST_TERM = "the newest log is chosen by term before index"
    NEWEST_INDEX = "among equal terms the longest log is chosen"
    EXACT_PROMISE = "only who promised exactly the ballot is promoted"
    FENCED_COMMITS = "a fenced primary commits nothing"
    FENCED_REPLICATES = "a fenced upstream takes no entry of a lower term"
    FOLLOW_RISES = "an upstream follows no term below its promise"
    TAIL_CUT = "an upstream that follows cuts off what the primary lacks"
    MAJORITY_HOLDS = "a write is acknowledged once a majority holds it"
    HOLDER_PROMISE = "a holder that promised a higher term counts no more"
    SUPPORT_AFTER = "support counts only if seen after the commit"
    TOKEN_TERM = "a token's index counts only on its own term's history"
    LEDGER = "a request id is claimed in the transaction of its write"
    TOMBSTONE = "not run is said only behind a tombstone"
    TOMBSTONE_HELD = "not run is said only once a majority holds it"
    REPEAT_HELD = "a repeat is answered once a majority holds its row"


class Property(enum.StrEnum):
    """What must always hold."""

    KEPT = "an acknowledged write is never lost"
    CURRENT = "no acknowledgement by a replaced primary"
    FRESH = "a token read never misses its write"
    ONCE = "an id runs at most once"
    NOT_RUN = "what was said not run never runs"


ALL = frozenset(Rule)
