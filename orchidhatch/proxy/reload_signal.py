"""SIGHUP: the configuration is read again, and once more after a while where it cannot be read.

A file may be unreadable for a moment, as for want of a descriptor, or half written. The operator who sent the
signal does not send it again, and the old address of discovery is about to close.
"""

import asyncio
import logging
from collections.abc import Callable

from orchidhatch.proxy.config import Config, ConfigError

log = logging.getLogger(__name__)

RETRY_S = 0.1
MAX_ATTEMPTS = 20
"""With RETRY_S, well within the time after which the new address's endpoint list has to be known."""


class ReloadSignal:
    """Reads the configuration after each signal until it is usable; the last signal counts."""

    def __init__(self, read: Callable[[], Config], apply: Callable[[Config], None]) -> None:
        self._read = read
        self._apply = apply
        self._attempts = 0
        self._timer: asyncio.TimerHandle | None = None

    def received(self) -> None:
        """The signal came: begin anew."""
        self._attempts = 0
        self._attempt()

    def close(self) -> None:
        """Read no more."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _attempt(self) -> None:
        self.close()
        self._attempts += 1
        try:
            config = self._read()
        except ConfigError as error:
            self._failed(error)
        else:
            self._apply(config)

    def _failed(self, error: ConfigError) -> None:
        if self._attempts in (1, MAX_ATTEMPTS):
            log.error("kept the old configuration after %d attempts: %s", self._attempts, error)
        if self._attempts < MAX_ATTEMPTS:
            self._timer = asyncio.get_running_loop().call_later(RETRY_S, self._attempt)
