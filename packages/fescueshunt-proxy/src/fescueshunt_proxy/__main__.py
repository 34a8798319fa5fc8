"""The binary `fescueshuntd`."""

from __future__ import annotations

import sys

from fescueshunt_proxy._internal import daemon


def main() -> None:
    """Runs the proxy with arguments from the command line."""
    sys.exit(daemon.main(sys.argv[1:]))


if __name__ == "__main__":
    main()
