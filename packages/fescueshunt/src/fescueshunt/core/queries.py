"""Queries that a proxy runs to answer an operator's SHOW or EXPLAIN.

The proxy queries its own pipes. If these have only part of the information, it
also queries its peers.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer

if TYPE_CHECKING:
    from fescueshunt.core import statements


@dataclasses.dataclass(frozen=True, slots=True)
class LocalQuery(filters.Item):
    """Requests the information that the pipes of this proxy have.

    Attributes:
      number: the id of the query, which the reply repeats.
      statement: an EXPLAIN, or a SHOW without conditions, order and limit.
    """

    number: int
    statement: statements.Show | statements.Explain


@dataclasses.dataclass(frozen=True, slots=True)
class LocalReply(filters.Item):
    """The answer of this proxy to a `LocalQuery` with the same `number`."""

    number: int
    answer: statements.OperatorAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class PeerQuestion(peer.PeerMessage):
    """Asks another proxy; exactly one of `show` and `explain` is set."""

    seq: int
    show: statements.Show | None = None
    explain: statements.Explain | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReply(peer.PeerMessage):
    """The answer to a `PeerQuestion` with the same `seq`."""

    seq: int
    answer: statements.OperatorAnswer
