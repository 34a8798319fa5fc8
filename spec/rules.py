"""The protocol's rules, each of which can be removed, and its properties."""

from __future__ import annotations

import enum


class Rule(enum.StrEnum):
    """A rule that the protocol follows."""

    PROMISE_RISES = "an upstream promises only a higher term than before"
    QUORUM = "a promotion needs the promises of a majority"
    NEWEST_TERM = "logs are compared by term before index"
    NEWEST_INDEX = "among logs of equal term the longest is chosen"
    EXACT_PROMISE = (
        "only an upstream that promised exactly the ballot is promoted"
    )
    FENCED_COMMITS = "a fenced primary commits nothing"
    FENCED_REPLICATES = "a fenced upstream accepts no entry of a lower term"
    FOLLOW_RISES = "an upstream follows no term below its promise"
    TAIL_CUT = "a replica truncates entries that its primary lacks"
    MAJORITY_HOLDS = "a write is acknowledged once a majority holds it"
    HOLDER_PROMISE = "a holder that promised a higher term no longer counts"
    SUPPORT_AFTER = "support counts only if seen after the commit"
    TOKEN_TERM = (
        "a token's index counts only on a history that has its term there"
    )
    LEDGER = "a request id is claimed in the transaction of its write"
    TOMBSTONE = "a request is reported as not run only behind a tombstone"
    TOMBSTONE_HELD = (
        "not run is reported only once a majority holds the tombstone"
    )
    REPEAT_HELD = "a repeat is answered once a majority holds its ledger row"


class Property(enum.StrEnum):
    """A safety property, which must hold in every reachable state."""

    DURABLE = "an acknowledged write is never lost"
    CURRENT_PRIMARY = "no write is acknowledged by a replaced primary"
    READ_YOUR_WRITES = "a read with a token always sees the token's write"
    AT_MOST_ONCE = "a request id runs at most once"
    NOT_RUN_FINAL = "a request that was reported as not run never runs"


ALL = frozenset(Rule)
