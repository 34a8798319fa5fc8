"""What became of the requests of a phase."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request.

    Attributes:
      due: when it was due; seconds from the start of the phase.
      latency_s: from when it was due until its answer was with the caller.
      code: "done", or the code of the error.
      replica: whether a replica served it.
      token: whether it carried a token.
      violated: whether it missed an acknowledged write of its session.
    """

    stream: str
    due: float
    latency_s: float
    code: str
    replica: bool
    token: bool
    violated: bool = False

    @property
    def done(self) -> bool:
        """Whether the request was served."""
        return self.code == "done"


def write(path: pathlib.Path, samples: Iterable[Sample]) -> None:
    """Writes samples as JSON lines."""
    with path.open("w", encoding="utf-8") as stream:
        for sample in samples:
            stream.write(json.dumps(dataclasses.astuple(sample)) + "\n")


def read(path: pathlib.Path) -> list[Sample]:
    """Returns the samples in the file at `path`."""
    with path.open(encoding="utf-8") as stream:
        return [Sample(*json.loads(line)) for line in stream]
