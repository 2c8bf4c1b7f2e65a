"""What a backend's answer to a command means."""

import logging
import math
from dataclasses import fields

from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.settings_codec import read_report
from orchidhatch.proxy.resp import ReplyError

log = logging.getLogger(__name__)


def read_reply(reply: object) -> tuple[AttemptResult, bytes | None, LoadReport | None]:
    """What a backend's answer means."""
    if isinstance(reply, ReplyError):
        text = reply
        report = text.rpartition(" ")[2].encode()
        busy = text == "BUSY" or text.startswith("BUSY ")
        if not busy and not text.startswith("ERR"):
            log.error("a backend answers %s", text)
        return (AttemptResult.REJECTED if busy else AttemptResult.ERROR), None, read_load(report)
    if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
        return AttemptResult.OK, reply[0], read_load(reply[2] if len(reply) > 2 else None)
    log.error("a backend's answer is of no known form: %.60r", reply)
    return AttemptResult.ERROR, None, None  # in doubt: it may have run


def read_load(text: object) -> LoadReport | None:
    """A load report `name=value,...`; one that is malformed says nothing."""
    if not isinstance(text, bytes) or b"=" not in text:
        return None
    try:
        report = read_report(part.split("=", 1) for part in text.decode().split(","))
    except ValueError:
        return None
    figures = [getattr(report, field.name) for field in fields(report)]
    return report if all(figure is None or 0 <= figure < math.inf for figure in figures) else None
