"""Entry point of the executable `fescueshuntd`."""

from __future__ import annotations

import signal
import sys

HOSTED = "hosted"


def main() -> None:
    """Runs the process with the arguments from the command line.

    If the first argument is `hosted`, the process runs as a host of the
    platform. Each mode imports only the modules that it needs. A process that
    has not read its settings yet ignores SIGHUP.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if sys.argv[1:2] == [HOSTED]:
        from fescueshunt_proxy._internal.hosted import daemon as hosted_daemon

        sys.exit(hosted_daemon.main(sys.argv[2:]))
    from fescueshunt_proxy._internal import daemon

    sys.exit(daemon.main(sys.argv[1:]))


if __name__ == "__main__":
    main()
