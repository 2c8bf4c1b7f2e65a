"""Whether a front door that is under a policy may let clients in: only while somebody sees to it that the
policy that it goes by is the one that holds.

It starts barred, and bars itself when it stood still or discovery was silent, since whoever keeps it may then
have been cut off, and another policy may hold by now; and when the time is over for which its own holds,
should nobody have put it under the next. The call `healthcheck/ok` ends that.
"""

import asyncio
import logging
import time
from collections.abc import Callable

from orchidhatch.proxy.config import Policy

log = logging.getLogger(__name__)

TICK_S = 0.2
LAPSE_S = 1.0  # that it may have stood still for: longer than a full core keeps a turn of the loop waiting


class Watchfulness:
    """`told` is the policy that it was put under, None for a front door that is under none."""

    def __init__(
        self,
        told: Policy | None,
        heard_s: Callable[[], float],
        barred: Callable[[bool], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.told, self.heard_s, self.tell, self.clock = told, heard_s, barred, clock
        self.barred = False
        self.ticked_s = clock()
        self.ticking = False

    def begin(self, barred: bool) -> None:
        """From the start on, or from when it was put under a policy while it served."""
        if self.told and not self.ticking:
            self.ticking, self.ticked_s = True, self.clock()
            self.tick()
            if barred:
                self.bar("it has just started")

    def tick(self) -> None:
        self.look()
        asyncio.get_running_loop().call_later(TICK_S, self.tick)

    def look(self) -> None:
        """To be asked before a client is let in, too: after a stop that comes before any timer."""
        if not self.told:
            return
        now_s = self.clock()
        stood_s, self.ticked_s = now_s - self.ticked_s, now_s
        if stood_s > LAPSE_S:
            self.bar(f"it stood still for {stood_s:.1f} s")
        elif why := self.lacks(now_s):
            self.bar(why)

    def lacks(self, now_s: float) -> str:
        """Why its policy may hold no more by now, if so."""
        if self.told and 0 < self.told.until_us <= now_s * 1e6:
            return "another policy holds from now on"
        if self.told and now_s - self.heard_s() > self.told.silent_s:
            return "discovery is silent"
        return ""

    def bar(self, why: str) -> None:
        if not self.barred:
            log.warning("lets nobody in: %s", why)
            self.barred = True
            self.tell(True)

    def lift(self) -> bool:
        """Whoever keeps it says that it goes by what holds; whether that can be."""
        self.look()
        if self.lacks(self.clock()):
            return False
        if self.barred:
            self.barred = False
            self.tell(False)
        return True

    def shown(self) -> str:
        return f"; {self.told.shown()}" if self.told else ""
