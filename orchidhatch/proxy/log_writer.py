"""The log: written by a thread of its own, so that a reader who stops reading stops nothing else."""

import contextlib
import logging
import os
import threading
import time
from collections import deque

from orchidhatch.proxy.wait_queues import Line, Waits

STANDARD_ERROR = 2
MOST_LINES = 1000  # some minutes of an ordinary day's, or what a failing one writes in a second
LAST_S = 1.0  # how long the end waits for lines to be read


class LogWriter(logging.Handler):
    """Takes lines at once, and drops and counts them while as many as may wait do."""

    def __init__(self, descriptor: int = STANDARD_ERROR, most: int = MOST_LINES) -> None:
        super().__init__()
        self.descriptor, self.most = descriptor, most
        self.lines: deque[tuple[float, str]] = deque()  # when each came
        self.ready = threading.Condition()
        self.ending = False
        self.dropped, self.told = 0, 0  # lines since the start, and those that the log itself tells of
        self.waits = Waits()
        self.thread = threading.Thread(target=self.write, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record)
        with self.ready:
            if len(self.lines) >= self.most:
                self.dropped += 1
                return
            self.lines.append((time.monotonic(), line))
            self.ready.notify()

    def write(self) -> None:
        """The thread: one line after another, however long its reader takes."""
        while True:
            with self.ready:
                while not self.lines and not self.ending:
                    self.ready.wait()
                if not self.lines:
                    return
                came, line = self.lines[0]
                missing, self.told = self.dropped - self.told, self.dropped
            if missing:
                line = f"... {missing} lines were dropped, as nobody read the log\n{line}"
            # Nobody reads any more, or nothing can be written: the line is lost, and the program lives.
            with contextlib.suppress(OSError):
                self.put(line.encode(errors="replace") + b"\n")
            with self.ready:
                self.lines.popleft()  # only now, so that one that cannot leave counts as waiting
                self.waits.note(round((time.monotonic() - came) * 1e6))

    def put(self, data: bytes) -> None:
        """Past Python's streams, whose locks, held by a thread that cannot go on, would end the program."""
        while data:
            data = data[os.write(self.descriptor, data) :]

    def line(self) -> Line:
        with self.ready:
            oldest_us = round((time.monotonic() - self.lines[0][0]) * 1e6) if self.lines else 0
            return Line("log", self.most, len(self.lines), oldest_us, self.dropped, self.waits)

    def close(self) -> None:
        """Write what is left, within a bounded time."""
        with self.ready:
            self.ending = True
            self.ready.notify()
        self.thread.join(LAST_S)
        super().close()
