"""The log, where nobody reads it."""

import contextlib
import logging
import os
import re

from orchidhatch.proxy.log_writer import LogWriter
from tests.proxy.gateway_scripts import (
    waits_count,
)


def test_unread_log_drops_and_counts_lines() -> None:
    """A log that nobody reads stops nothing, and keeps the lines that fit."""
    out, into = os.pipe()
    os.set_blocking(into, False)
    with contextlib.suppress(BlockingIOError):
        while os.write(into, b"." * 4096):
            pass  # until the pipe holds no more
    os.set_blocking(into, True)
    writer = LogWriter(into, max_lines=10)
    log = logging.getLogger("tests.log")
    log.propagate = False
    log.addHandler(writer)
    try:
        for number in range(40):
            log.warning("line %d", number)
        found = writer.queue_status()
        assert (found.depth, found.bound, found.rejected) == (10, 10, 30)
        with os.fdopen(out, "rb") as reader:
            text = b""
            while b"line 9\n" not in text:
                text += reader.readline()
            assert sum(map(int, re.findall(rb"log lines dropped: reason=not_read count=(\d+)", text))) == 30
            assert re.findall(rb"line (\d+)", text) == [b"%d" % number for number in range(10)]
            log.warning("last")
            assert reader.readline() == b"last\n"
            writer.close()
            assert waits_count(writer.queue_status().waits) == 11
            os.close(into)
            assert reader.read() == b""
    finally:
        log.removeHandler(writer)


def test_log_to_a_closed_pipe_loses_the_line_only() -> None:
    out, into = os.pipe()
    os.close(out)
    writer = LogWriter(into)
    writer.handle(logging.makeLogRecord({"msg": "lost"}))
    writer.close()
    assert not writer.thread.is_alive() and writer.queue_status().depth == 0
    os.close(into)
