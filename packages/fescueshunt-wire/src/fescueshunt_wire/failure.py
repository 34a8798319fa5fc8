"""The message that reports an error to the peer of a connection."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Reports that a message or a frame could not be processed."""

    error: errors.FescueshuntError
