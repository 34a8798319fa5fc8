"""Entry point of the `fescueshunt` executable."""

from __future__ import annotations

import sys

from fescueshunt_cli._internal import main as command_line


def main() -> None:
    """Runs the command line and exits with its exit code."""
    sys.exit(command_line.main(sys.argv[1:]))


if __name__ == "__main__":
    main()
