"""Rendezvous hashing, which assigns keys to members of a changing set.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_WEIGHT_BYTES = 8
_MAX_WEIGHT = 2 ** (8 * _WEIGHT_BYTES) - 1


def sort_by_weight(key: str, names: Iterable[str]) -> list[str]:
    """Returns `names` ordered by their weight for `key`, highest first."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def pick_highest(key: str, names: Iterable[str]) -> str:
    """Returns the name with the highest weight for `key`, or "" if none."""
    return max(names, key=lambda name: _weight(key, name), default="")


def pick_weighted(key: str, weights: Mapping[str, float]) -> str:
    """Returns a name that each key picks in proportion to the weights, or "".

    Source: Schindelhauer and Schomaker, "Weighted distributed hash tables",
    SPAA 2005 (the logarithmic method).
    """

    def score(name: str) -> float:
        number = int.from_bytes(_weight(key, name))
        uniform = (number + 1) / (_MAX_WEIGHT + 2)
        return -weights[name] / math.log(uniform)

    return max(weights, key=score, default="")


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(
        f"{key}\0{name}".encode(), digest_size=_WEIGHT_BYTES
    ).digest()
