"""The log, written by a thread of its own, so that a reader that stops reading stops nothing else."""

import contextlib
import logging
import os
import signal
import threading
import time
from collections import deque

from orchidhatch.proxy.wait_queues import QueueStatus, WaitHistogram

STANDARD_ERROR_DESCRIPTOR = 2
# Some minutes of an ordinary day's, or what a failing one writes in a second.
MAX_QUEUED_LINES = 1000
# For the lines that are left to be read at the end.
CLOSE_TIMEOUT_S = 1.0


class LogWriter(logging.Handler):
    """Queues log lines at once, and drops and counts them while `max_lines` wait."""

    def __init__(
        self, descriptor: int = STANDARD_ERROR_DESCRIPTOR, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        """Start the thread, which writes to the open file `descriptor`."""
        super().__init__()
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.lines: deque[tuple[float, str]] = deque()
        """The queued lines, each with the monotonic time in seconds at which it came."""
        self.changed = threading.Condition()
        self.is_closing = False
        self.dropped = 0
        """Lines dropped since the start."""
        self.reported_drops = 0
        """Of them, those that a line in the log stands for."""
        self.waits = WaitHistogram()
        self.thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop it where too many wait."""
        line = self.format(record)
        with self.changed:
            if len(self.lines) >= self.max_lines:
                self.dropped += 1
                return
            self.lines.append((time.monotonic(), line))
            self.changed.notify()

    def _write_lines(self) -> None:
        """Run the thread: write one line after another, however long the reader takes.

        It takes no signal: one that the main thread takes wakes the event loop before the loop runs on.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            entry = self._wait_for_line()
            if entry is None:
                return
            queued_s, text = entry
            # Nobody reads any more, or nothing can be written: the line is lost, and the program lives.
            with contextlib.suppress(OSError):
                self._write(text.encode(errors="replace") + b"\n")
            with self.changed:
                self.lines.popleft()  # only now, so that a line that cannot leave counts as waiting
                self.waits.note(round((time.monotonic() - queued_s) * 1e6))

    def _wait_for_line(self) -> tuple[float, str] | None:
        """The time and the text of the oldest line, behind a report of drops; None at the end."""
        with self.changed:
            while not self.lines and not self.is_closing:
                self.changed.wait()
            if not self.lines:
                return None
            queued_s, line = self.lines[0]
            new_drops = self.dropped - self.reported_drops
            self.reported_drops = self.dropped
        if new_drops:
            line = f"log lines dropped: reason=not_read count={new_drops}\n{line}"
        return queued_s, line

    def _write(self, data: bytes) -> None:
        """Write past Python's streams: a blocked thread that held their locks would end the program."""
        while data:
            written = os.write(self.descriptor, data)
            data = data[written:]

    def queue_status(self) -> QueueStatus:
        """The queue of lines, as it is now."""
        with self.changed:
            oldest_us = 0
            if self.lines:
                queued_s, _ = self.lines[0]
                oldest_us = round((time.monotonic() - queued_s) * 1e6)
            return QueueStatus("log", self.max_lines, len(self.lines), oldest_us, self.dropped, self.waits)

    def close(self) -> None:
        """Write what is left, for CLOSE_TIMEOUT_S at most."""
        with self.changed:
            self.is_closing = True
            self.changed.notify()
        self.thread.join(CLOSE_TIMEOUT_S)
        super().close()
