"""Reloads the configuration on SIGHUP, with retries while it cannot be read.

The file may be temporarily unreadable, for lack of a descriptor, or only partly written. A retry is needed as
the operator does not repeat the signal, and the old address of discovery is about to close.
"""

import asyncio
import logging
from collections.abc import Callable

from orchidhatch.proxy.config import Config, ConfigError

log = logging.getLogger(__name__)

RETRY_S = 0.1
MAX_ATTEMPTS = 20
"""With RETRY_S this gives 2 s, well before the endpoint list of the new address is required."""


class ReloadSignal:
    """Reads the configuration after each signal until it is usable; a new signal restarts the retries."""

    def __init__(self, read: Callable[[], Config], apply: Callable[[Config], None]) -> None:
        self._read = read
        self._apply = apply
        self._attempts = 0
        self._timer: asyncio.TimerHandle | None = None

    def handle(self) -> None:
        """Handle the signal: read the configuration now, and restart the retries."""
        self._attempts = 0
        self._try_reload()

    def close(self) -> None:
        """Cancel a scheduled retry."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _try_reload(self) -> None:
        self.close()
        self._attempts += 1
        try:
            config = self._read()
        except ConfigError as error:
            self._handle_failure(error)
        else:
            self._apply(config)

    def _handle_failure(self, error: ConfigError) -> None:
        if self._attempts in (1, MAX_ATTEMPTS):
            log.error("kept the old configuration after %d attempts: %s", self._attempts, error)
        if self._attempts < MAX_ATTEMPTS:
            self._timer = asyncio.get_running_loop().call_later(RETRY_S, self._try_reload)
