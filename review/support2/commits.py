"""Checks that the acknowledged commits are in the log that is promoted."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from support2 import backends, clients


class CommitCheck:
    """Compares what writers were told with the log of each new primary.

    Only commits count that were acknowledged before the promotion took effect.

    Attributes:
      lost: the values that were acknowledged and are not in such a log.
    """

    def __init__(
        self, service: backends.Service, writers: Sequence[clients.Writer]
    ) -> None:
        self.lost: list[str] = []
        self._writers = writers
        self._record = service.record
        service.on_promoted = self._check

    def _check(self, leader: backends.Backend) -> None:
        held = {data for entry in leader.log for _, data in entry.writes}
        for writer in self._writers:
            for value in writer.acknowledged:
                if value not in held and value not in self.lost:
                    self.lost.append(value)
                    self._record.note("LOST", value=value, promoted=leader.name)

    @property
    def acknowledged_count(self) -> int:
        """How many commits were acknowledged."""
        return sum(len(writer.acknowledged) for writer in self._writers)
