"""The entry point of a gateway process."""

import signal
import sys

if __name__ == "__main__":
    # Blocks SIGHUP during the start, which takes a quarter of a second: without a handler it would terminate
    # the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from orchidhatch.proxy.main import main

    sys.exit(main())
