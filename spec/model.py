"""The checker's view of the specification: models and what they must keep."""

from __future__ import annotations

from typing import TYPE_CHECKING

import minicheck

from spec import rules, states, steps
from spec.rules import Property, Rule
from spec.states import Kind, Role, Stage

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 2_000_000


def check(bounds: steps.Bounds, in_force: frozenset[Rule] = rules.ALL) -> dict:
    """Checks every property in every state within `bounds`."""
    return minicheck.check_safety(build(bounds, in_force), MAX_STATES)


def build(
    bounds: steps.Bounds, in_force: frozenset[Rule]
) -> minicheck.Protocol:
    """Returns the protocol under the rules in force.

    Writes that wait for the support of their term only may be lost at a
    failover; they promise no more than Property.CURRENT.
    """
    system = steps.System(bounds, in_force)

    def transitions(fields: tuple) -> list[steps.Step]:
        return system.steps(states.State(*fields))

    return minicheck.Protocol(
        name="fescueshunt",
        candidate=False,
        fields=states.State._fields,
        initial=bounds.initial(),
        transitions=transitions,
        invariants={
            name.name: _over_state(keeps)
            for name, keeps in invariants(in_force).items()
            if bounds.majority or name is Property.CURRENT
        },
    )


def invariants(
    in_force: frozenset[Rule],
) -> dict[Property, Callable[[states.State], bool]]:
    """Returns a predicate for each property."""

    def is_fresh(state: states.State) -> bool:
        return all(
            member.has(Kind.WRITE)
            for told in _told(state, ran=True)
            for member in state.upstreams
            if _admits(member, told.place, Rule.TOKEN_TERM in in_force)
        )

    return {
        Property.KEPT: _is_kept,
        Property.CURRENT: _is_current,
        Property.FRESH: is_fresh,
        Property.ONCE: _runs_once,
        Property.NOT_RUN: _stays_not_run,
    }


def _over_state(
    keeps: Callable[[states.State], bool],
) -> Callable[[dict], bool]:
    return lambda fields: keeps(states.State(**fields))


def _told(state: states.State, ran: bool) -> list[states.Attempt]:
    return [
        attempt
        for attempt in state.attempts
        if attempt.stage is Stage.TOLD and attempt.ran is ran
    ]


def _newest_primaries(state: states.State) -> list[states.Upstream]:
    newest = steps.newest_term(state)
    return [
        member
        for member in state.upstreams
        if member.role is Role.PRIMARY and member.term == newest
    ]


def _is_kept(state: states.State) -> bool:
    if not _told(state, ran=True):
        return True
    return all(m.has(Kind.WRITE) for m in _newest_primaries(state))


def _is_current(state: states.State) -> bool:
    return not any(told.overtaken for told in _told(state, ran=True))


def _runs_once(state: states.State) -> bool:
    return all(
        sum(entry.kind is Kind.WRITE for entry in member.log) <= 1
        for member in state.upstreams
    )


def _stays_not_run(state: states.State) -> bool:
    if not _told(state, ran=False):
        return True
    return not any(m.has(Kind.WRITE) for m in _newest_primaries(state))


def _admits(
    member: states.Upstream, place: states.Place, by_term: bool
) -> bool:
    if by_term:
        return member.holds(place)
    return len(member.log) >= place.index
