"""The program's first step."""

import signal
import sys

if __name__ == "__main__":
    # The platform may ask for the configuration to be read again while the start is under way, which takes a
    # quarter of a second: until it can be answered the signal has to wait, as it would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from orchidhatch.proxy.main import main

    sys.exit(main())
