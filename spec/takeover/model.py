"""Runs the model checker on the takeover specification and its invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING

import minicheck

from spec.takeover import rules, states, steps
from spec.takeover.rules import Property, Rule

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 2_000_000
WRITES = (0, 1)


def check(
    bounds: steps.Bounds,
    active_rules: frozenset[Rule] = rules.ALL,
    stop_at: Property | None = None,
) -> dict:
    """Checks every property in every reachable state.

    Args:
      bounds: the limits of the model.
      active_rules: the rules that the protocol follows.
      stop_at: the property whose first violation ends the search, or None to
        search all states.

    Returns:
      A dictionary with the result for each property under "properties", the
      number of "reachable_states", and whether the search was "exhaustive".
    """
    system = steps.System(bounds, active_rules)

    is_stopped = False

    def to_predicate(prop: Property) -> Callable[[dict], bool]:
        def holds(fields: dict) -> bool:
            nonlocal is_stopped
            is_kept = INVARIANTS[prop](states.State(**fields))
            is_stopped = is_stopped or (prop is stop_at and not is_kept)
            return is_kept

        return holds

    def transitions(fields: tuple) -> list[steps.Step]:
        if is_stopped:
            return []
        return system.steps(states.State(*fields))

    protocol = minicheck.Protocol(
        name="fescueshunt-takeover",
        candidate=False,
        fields=states.State._fields,
        initial=bounds.initial(),
        transitions=transitions,
        invariants={prop.name: to_predicate(prop) for prop in INVARIANTS},
    )
    return minicheck.check_safety(protocol, MAX_STATES)


def _keeps_acked_writes(state: states.State) -> bool:
    highest_term = states.highest_term(state)
    primaries = [
        m for m in state.members if m.is_primary and m.term == highest_term
    ]
    return all(
        member.has_write(write)
        for member in primaries
        for write in WRITES
        if state.acked >> write & 1
    )


def _has_no_stale_acks(state: states.State) -> bool:
    return not state.stale_commits & state.acked


def _has_no_stale_reads(state: states.State) -> bool:
    may_read = state.reader.trusts_record or state.reader.confirmed
    first_primary = state.members[states.FIRST_PRIMARY]
    return (
        not may_read or not state.acked >> 1 & 1 or first_primary.has_write(1)
    )


def _tokens_never_decrease(state: states.State) -> bool:
    return list(state.promotions) == sorted(state.promotions)


INVARIANTS = {
    Property.KEPT: _keeps_acked_writes,
    Property.CURRENT: _has_no_stale_acks,
    Property.FRESH: _has_no_stale_reads,
    Property.TOKENS: _tokens_never_decrease,
}
