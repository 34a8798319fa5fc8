"""Questions within a proxy, and between proxies, behind one statement."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, peer

if TYPE_CHECKING:
    from fescueshunt.core import statements


@dataclasses.dataclass(frozen=True, slots=True)
class LocalQuery(filters.Item):
    """A SHOW, without its conditions, or an EXPLAIN, for this proxy alone."""

    number: int
    statement: statements.Show | statements.Explain


@dataclasses.dataclass(frozen=True, slots=True)
class LocalReply(filters.Item):
    """This proxy's answer to a question."""

    number: int
    answer: statements.OperatorAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class PeerQuestion(peer.PeerMessage):
    """Asks another proxy what it knows; one of the two is given."""

    seq: int
    show: statements.Show | None = None
    explain: statements.Explain | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReply(peer.PeerMessage):
    """What the other proxy knows."""

    seq: int
    answer: statements.OperatorAnswer
