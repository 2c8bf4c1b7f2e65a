"""How late the loop that carries all relays is: a trial on a machine that is too slow says nothing."""

import asyncio
import contextlib
import time

from orchidhatch.faults.events import Recorder

TICK_S = 0.02
STALL_S = 0.03
"""By which a tick is late where the loop stood still: what it relayed meanwhile came late."""


class LoopMonitor:
    """Measures by how much a short sleep takes longer, and records the distribution at the end."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.late_s: list[float] = []
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to measure."""
        self.task = asyncio.ensure_future(self._measure())

    async def _measure(self) -> None:
        while True:
            began_ns = time.monotonic_ns()
            await asyncio.sleep(TICK_S)
            late_s = max(0.0, (time.monotonic_ns() - began_ns) / 1e9 - TICK_S)
            self.late_s.append(late_s)
            if late_s > STALL_S:
                self.recorder.note("relay-stall", "loop", from_ns=began_ns)

    async def close(self) -> None:
        """Stop, and record what was measured, in milliseconds."""
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        late_ms = [late_s * 1e3 for late_s in sorted(self.late_s) or [0.0]]
        self.recorder.note(
            "relay",
            "loop",
            ticks=len(late_ms),
            median_ms=late_ms[len(late_ms) // 2],
            p99_ms=late_ms[len(late_ms) * 99 // 100],
            most_ms=late_ms[-1],
        )
