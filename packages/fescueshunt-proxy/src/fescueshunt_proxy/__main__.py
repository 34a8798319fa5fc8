"""The binary `fescueshuntd`."""

from __future__ import annotations

import sys

HOSTED = "hosted"


def main() -> None:
    """Runs the proxy with arguments from the command line.

    The argument `hosted` runs it as a host of the platform; what that doesn't
    need is not loaded.
    """
    if sys.argv[1:2] == [HOSTED]:
        from fescueshunt_proxy._internal.hosted import daemon as hosted_daemon

        sys.exit(hosted_daemon.main(sys.argv[2:]))
    from fescueshunt_proxy._internal import daemon

    sys.exit(daemon.main(sys.argv[1:]))


if __name__ == "__main__":
    main()
