"""The rules and properties of the takeover protocol.

Each rule can be removed to find the property that depends on it.
"""

from __future__ import annotations

import enum


class Rule(enum.StrEnum):
    """A rule of the takeover protocol."""

    WHOLE_FENCE = "a promotion needs a fence of all members but one"
    SILENT_COUNTS = "a member that was dropped as silent counts for the fence"
    NEWEST = "the member with the highest position is promoted"
    FENCE_HOLDS = "each fence is confirmed right before the promotion"
    DUTY_CHECK = "the duty is confirmed right before the promotion"
    ACKNOWLEDGED = "hosts acknowledge a move or lose their lease before it"
    CONFIRM_WAIT = "a promoter waits until confirmations by status are over"
    CALL_RECORDED = "a call for a promotion is recorded before it is sent"
    ONE_TARGET = "no other member is called for while a call may take effect"
    RELY_LATE = "no primary is recorded while another may be promoted"
    NO_UNDO = "a fence is not undone once a call may have taken effect"
    FORMER_CALLS = "no call is sent while a former holder's may take effect"
    PAUSE_OLD = "a recorded primary that may be replaced is paused, too"
    CONFIRM_TWO = "without a lease two members confirm a primary"


class Property(enum.StrEnum):
    """A property that must hold in every state."""

    KEPT = "an acknowledged write is never lost"
    CURRENT = "no acknowledgement by a replaced primary"
    FRESH = "no read at a replaced primary misses an acknowledged write"
    TOKENS = "fencing tokens never go back"


ALL = frozenset(Rule)
