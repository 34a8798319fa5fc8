"""Results of single requests in a bench, and their JSON lines files."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The result of one request.

    Attributes:
      stream: the name of the stream.
      due_s: the scheduled send time, in seconds from the start of the phase.
      latency_s: the time from `due_s` until the caller had the answer, in
        seconds.
      code: "done", or the code of the error.
      from_replica: whether a replica served the request.
      has_token: whether the session had a token when the request was sent.
      missed_own_write: whether a read missed an acknowledged write of its
        session.
    """

    stream: str
    due_s: float
    latency_s: float
    code: str
    from_replica: bool
    has_token: bool
    missed_own_write: bool = False

    @property
    def done(self) -> bool:
        """Whether the request succeeded."""
        return self.code == "done"


def write(path: pathlib.Path, samples: Iterable[Sample]) -> None:
    """Writes the samples to the file at `path`, as JSON lines."""
    with path.open("w", encoding="utf-8") as stream:
        for sample in samples:
            stream.write(json.dumps(dataclasses.astuple(sample)) + "\n")


def read(path: pathlib.Path) -> list[Sample]:
    """Returns the samples in the JSON lines file at `path`."""
    with path.open(encoding="utf-8") as stream:
        return [Sample(*json.loads(line)) for line in stream]
