"""Runs `fescueshuntd` from this source tree without installing it."""

from __future__ import annotations

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
PACKAGES = ("fescueshunt", "fescueshunt-wire", "fescueshunt-proxy")

if __name__ == "__main__":
    sys.path[:1] = [
        str(ROOT / "packages" / package / "src") for package in PACKAGES
    ]
    from fescueshunt_proxy import __main__ as entry_point

    entry_point.main()
