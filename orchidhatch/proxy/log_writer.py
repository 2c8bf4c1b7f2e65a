"""The log, written by a separate thread, so that a blocked log reader does not block the gateway."""

import contextlib
import logging
import os
import signal
import threading
import time
from collections import deque

from orchidhatch.proxy.wait_queues import QueueStatus, WaitHistogram

STANDARD_ERROR_DESCRIPTOR = 2
# Some minutes of a normal log, or one second of a failing gateway's.
MAX_QUEUED_LINES = 1000
# For writing the remaining lines at shutdown.
CLOSE_TIMEOUT_S = 1.0


class LogWriter(logging.Handler):
    """Queues log lines without blocking; drops and counts lines while `max_lines` are queued."""

    def __init__(
        self, descriptor: int = STANDARD_ERROR_DESCRIPTOR, max_lines: int = MAX_QUEUED_LINES
    ) -> None:
        """Start the thread, which writes to the open file `descriptor`."""
        super().__init__()
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.lines: deque[tuple[float, str]] = deque()
        """The queued lines, each with the monotonic time in seconds at which it was queued."""
        self.changed = threading.Condition()
        self.is_closing = False
        self.dropped = 0
        """Lines dropped since the start."""
        self.reported_drops = 0
        """Those of them that a line in the log has reported."""
        self.waits = WaitHistogram()
        self.thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
        line = self.format(record)
        with self.changed:
            if len(self.lines) >= self.max_lines:
                self.dropped += 1
                return
            self.lines.append((time.monotonic(), line))
            self.changed.notify()

    def _write_lines(self) -> None:
        """Run the thread: write the lines one by one, blocking while the reader does.

        It blocks all signals: only a signal handled in the main thread wakes the event loop at once.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            entry = self._wait_for_line()
            if entry is None:
                return
            queued_s, text = entry
            # If the pipe is closed or the write fails, the line is lost and the gateway continues.
            with contextlib.suppress(OSError):
                self._write(text.encode(errors="replace") + b"\n")
            with self.changed:
                self.lines.popleft()  # only now, so that a line being written counts as queued
                self.waits.note(round((time.monotonic() - queued_s) * 1e6))

    def _wait_for_line(self) -> tuple[float, str] | None:
        """Return the oldest line with its time, with a report of drops before it; None at shutdown."""
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
        """Return the current status of the queue."""
        with self.changed:
            oldest_us = 0
            if self.lines:
                queued_s, _ = self.lines[0]
                oldest_us = round((time.monotonic() - queued_s) * 1e6)
            return QueueStatus("log", self.max_lines, len(self.lines), oldest_us, self.dropped, self.waits)

    def close(self) -> None:
        """Write the remaining lines, for CLOSE_TIMEOUT_S at most."""
        with self.changed:
            self.is_closing = True
            self.changed.notify()
        self.thread.join(CLOSE_TIMEOUT_S)
        super().close()
