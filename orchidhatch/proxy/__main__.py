"""The entry point of a gateway process."""

import signal
import sys

if __name__ == "__main__":
    # A SIGHUP during the start, which takes a quarter of a second, has to wait until it can be handled: it
    # would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from orchidhatch.proxy.main import main

    sys.exit(main())
