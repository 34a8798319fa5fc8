"""The record of a case: what was sent, answered, run and disturbed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


class Record:
    """Writes one line for each event to a file, with the time since its start.

    Args:
      path: the file; what it held is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def note(self, what: str, **fields: object) -> None:
        """Writes one event."""
        elapsed_s = time.monotonic() - self._started_at
        texts = [f"{name}={value}" for name, value in fields.items()]
        self._file.write(f"{elapsed_s:9.3f} {what} {' '.join(texts)}".rstrip())
        self._file.write("\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
