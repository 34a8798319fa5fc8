"""The checker's view of the specification: models and what they must keep."""

from __future__ import annotations

from typing import TYPE_CHECKING

import minicheck

from spec.takeover import rules, states, steps
from spec.takeover.rules import Property, Rule

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 2_000_000
WRITES = (0, 1)


def check(bounds: steps.Bounds, in_force: frozenset[Rule] = rules.ALL) -> dict:
    """Checks every property in every state within `bounds`."""
    system = steps.System(bounds, in_force)

    def transitions(fields: tuple) -> list[steps.Step]:
        return system.steps(states.State(*fields))

    protocol = minicheck.Protocol(
        name="fescueshunt-takeover",
        candidate=False,
        fields=states.State._fields,
        initial=bounds.initial(),
        transitions=transitions,
        invariants={
            name.name: _over_state(keeps) for name, keeps in INVARIANTS.items()
        },
    )
    return minicheck.check_safety(protocol, MAX_STATES)


def _over_state(
    keeps: Callable[[states.State], bool],
) -> Callable[[dict], bool]:
    return lambda fields: keeps(states.State(**fields))


def _is_kept(state: states.State) -> bool:
    newest = states.newest_term(state)
    leading = [m for m in state.members if m.leads and m.term == newest]
    return all(
        member.has(write)
        for member in leading
        for write in WRITES
        if state.acked >> write & 1
    )


def _is_current(state: states.State) -> bool:
    return not state.late & state.acked


def _is_fresh(state: states.State) -> bool:
    reads = state.reader.believes or state.reader.confirmed
    first = state.members[states.FIRST_PRIMARY]
    return not reads or not state.acked >> 1 & 1 or first.has(1)


def _tokens_rise(state: states.State) -> bool:
    return list(state.promotions) == sorted(state.promotions)


INVARIANTS = {
    Property.KEPT: _is_kept,
    Property.CURRENT: _is_current,
    Property.FRESH: _is_fresh,
    Property.TOKENS: _tokens_rise,
}
