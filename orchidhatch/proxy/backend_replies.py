"""Interpretation of a backend's reply to a command."""

import logging
import math
from dataclasses import fields

from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.settings_codec import read_report
from orchidhatch.proxy.resp import ReplyError, ReplyLine

log = logging.getLogger(__name__)


def read_reply(reply: object) -> tuple[AttemptResult, bytes | None, LoadReport | None]:
    """Return the attempt's result by its reply, with the value and the load report if there are any."""
    if isinstance(reply, ReplyError):
        return read_error(reply)
    if isinstance(reply, list) and reply and is_bulk_string(reply[0]):
        return AttemptResult.OK, reply[0], read_load(reply[2] if len(reply) > 2 else None)
    log.error("backend reply has an unknown form: reply=%.60r", reply)
    return AttemptResult.ERROR, None, None  # ERROR, as the command may have run


def is_bulk_string(element: object) -> bool:
    """Return whether the element of a reply is a bulk string that is not null."""
    return isinstance(element, bytes) and not isinstance(element, ReplyLine)


def read_error(text: ReplyError) -> tuple[AttemptResult, None, LoadReport | None]:
    """Return the attempt's result by its error line, whose last word may be a load report."""
    report = read_load(text.rpartition(" ")[2].encode())
    if text == "BUSY" or text.startswith("BUSY "):
        return AttemptResult.REJECTED, None, report
    if not text.startswith("ERR"):
        log.error("backend reply has an unknown error code: error=%s", text)
    return AttemptResult.ERROR, None, report


def read_load(text: object) -> LoadReport | None:
    """Parse a load report `name=value,...`; return None if it is absent or malformed."""
    if not isinstance(text, bytes) or b"=" not in text:
        return None
    try:
        report = read_report(item.split("=", 1) for item in text.decode().split(","))
    except ValueError:
        return None
    values = [getattr(report, field.name) for field in fields(report)]
    return report if all(value is None or 0 <= value < math.inf for value in values) else None
