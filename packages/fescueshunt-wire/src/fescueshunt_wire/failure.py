"""How errors travel."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fescueshunt import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The answer to a frame that could not be served."""

    error: errors.FescueshuntError
