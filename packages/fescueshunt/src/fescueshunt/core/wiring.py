"""Checks that the pipes of a process and its border fit together.

Items reach a pipe by their type alone. So an item that nothing emits, or that
nothing takes, would not fail; what depends on it would just never happen.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from fescueshunt.core import filters


@dataclasses.dataclass(frozen=True, slots=True)
class Border:
    """The items that pass between the core of a process and its border.

    Attributes:
      sources: the item types that the border feeds to the core.
      sinks: the item types of the core that the border takes.
    """

    sources: frozenset[type[filters.Item]]
    sinks: frozenset[type[filters.Item]]


def check(pipes: Mapping[str, filters.Pipe], border: Border) -> None:
    """Checks that each item that passes between parts is made and is taken.

    Args:
      pipes: the pipes of a process by their names.
      border: the border of the process.

    Raises:
      errors.WiringError: if an item is made or taken by one side only.
    """
    problems = [*_without_source(pipes, border), *_without_taker(pipes, border)]
    if problems:
        raise errors.WiringError("; ".join(sorted(problems)))


def _without_source(
    pipes: Mapping[str, filters.Pipe], border: Border
) -> Iterator[str]:
    emitted = _union(pipe.emits for pipe in pipes.values())
    for name, pipe in pipes.items():
        for item_type in pipe.accepts - emitted - border.sources:
            yield f"{name} accepts {item_type.__name__}, which nothing emits"
    for item_type in border.sinks - emitted:
        yield f"the border takes {item_type.__name__}, which nothing emits"


def _without_taker(
    pipes: Mapping[str, filters.Pipe], border: Border
) -> Iterator[str]:
    accepted = _union(pipe.accepts for pipe in pipes.values())
    for name, pipe in pipes.items():
        for item_type in pipe.emits - accepted - border.sinks:
            yield f"{name} emits {item_type.__name__}, which nothing accepts"
    for item_type in border.sources - accepted:
        yield f"the border feeds {item_type.__name__}, which nothing accepts"


def _union(
    sets: Iterable[frozenset[type[filters.Item]]],
) -> frozenset[type[filters.Item]]:
    return frozenset().union(*sets)
