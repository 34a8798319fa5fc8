"""The binary `fescueshunt`."""

from __future__ import annotations

import sys

from fescueshunt_cli._internal import main as entry


def main() -> None:
    """Runs the command line."""
    sys.exit(entry.main(sys.argv[1:]))


if __name__ == "__main__":
    main()
