"""What goes over HTTP, as JSON: the list as the protocol gives it, and writes, checked field by field."""

import ipaddress
import json
import math
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NoReturn

from orchidhatch.control.ownership.claims import Door, Enter, Fence, Give, Hold, Keep, Open, Session, Take
from orchidhatch.control.registry.store import DELETED, LIFECYCLES, Change, Entry, Register, Remove

MOST_BODY = 8192  # bytes; an entry takes some 300, a policy's document up to 5,000
MOST_TEXT = 64
MOST_CELL, MOST_WEIGHT = 1_000_000, 1000.0
LEAST_LEASE_MS, MOST_LEASE_MS = 100, 24 * 3600 * 1000
MOST_WHY, MOST_RECORD = 300, 6000  # characters of a reason; bytes of a record
MOST_READY = 8  # documents that a door's agent may say that it has
MOST_TIME_MS = 1 << 53  # what JSON's numbers hold exactly in any language
ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
DIGEST = re.compile(r"([0-9a-f]{16})?")
ADDRESS = re.compile(r"([0-9.]{7,15}):([1-9][0-9]{0,4})")


class InvalidRequestError(Exception):
    """What came is not in form; the text is one plain line that names the field."""


# --- out ---


def instance(entry: Entry) -> dict[str, Any]:
    """An entry as the protocol's page has it."""
    return {
        "instanceId": entry.id,
        "hostPort": entry.address,
        "zone": entry.zone,
        "machineType": entry.kind,
        "cell": entry.cell,
        "lifecycle": entry.lifecycle,
        "weight": entry.weight,
        "startedAtMs": entry.started_ms,
    }


def listing(generation: int, reset: bool, entries: Iterable[Entry], leases: bool = False) -> bytes:
    """The whole list, or the changes to it, on a line; with `leases` in the form that followers ask for."""
    form = written if leases else instance
    value = {"generation": generation, "reset": reset, "instances": list(map(form, entries))}
    return json.dumps(value, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def written(entry: Entry) -> dict[str, Any]:
    """What a writer is told: the entry, and the version and life to name in the next write."""
    return {**instance(entry), "version": entry.version, "life": entry.life, "leaseMs": entry.lease_ms}


# --- in ---


def wrong(field: str, needed: str) -> NoReturn:
    raise InvalidRequestError(f"{field}: {needed}")


def no_constant(name: str) -> NoReturn:
    raise InvalidRequestError(f"{name} is no number")


def no_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) != len(pairs):
        raise InvalidRequestError("a field is given twice")
    return values


def read_body(body: bytes) -> dict[str, Any]:
    """A JSON object of bounded size; a number that is none is an error already here."""
    if len(body) > MOST_BODY:
        raise InvalidRequestError(f"the body is longer than {MOST_BODY} bytes")
    try:
        values = json.loads(body, parse_constant=no_constant, object_pairs_hook=no_repeats)
    except (ValueError, RecursionError) as error:  # not UTF-8 is a ValueError too, and so is a huge integer
        raise InvalidRequestError(f"the body is not JSON: {' '.join(str(error).split()):.120}") from error
    if not isinstance(values, dict):
        raise InvalidRequestError("the body is not a JSON object")
    return values


def text(field: str, value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MOST_TEXT or not value.isprintable():
        wrong(field, f"a text of 1 to {MOST_TEXT} printable characters is needed")
    return value


def name(field: str, value: object) -> str:
    if not isinstance(value, str) or not ID.fullmatch(value):
        wrong(field, f"1 to {MOST_TEXT} of letters, digits, '.', '_', '-' are needed, no sign first")
    return value


def address(field: str, value: object) -> str:
    found = ADDRESS.fullmatch(value) if isinstance(value, str) else None
    try:
        good = found and ipaddress.IPv4Address(found[1]) and int(found[2]) <= 65535
    except ValueError:
        good = False
    if not good:  # a name would be of no use to a front door, which has no DNS
        wrong(field, "an IPv4 address and a port from 1 to 65535 are needed, as 10.0.0.4:6379")
    return value


def whole(most: int) -> Callable[[str, object], int]:
    def read(field: str, value: object) -> int:
        if type(value) is not int or not 0 <= value <= most:
            wrong(field, f"a whole number from 0 to {most} is needed")
        return value

    return read


def weight(field: str, value: object) -> float:
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 < value <= MOST_WEIGHT:
        wrong(field, f"a number above 0, and {MOST_WEIGHT:g} at most, is needed")
    return float(value)


def lifecycle(field: str, value: object) -> str:
    if value not in LIFECYCLES:
        wrong(field, f"one of {', '.join(LIFECYCLES)} is needed")
    return str(value)


def flag(field: str, value: object) -> bool:
    if not isinstance(value, bool):
        wrong(field, "true or false is needed")
    return value


def lease(field: str, value: object) -> int:
    if type(value) is not int or not LEAST_LEASE_MS <= value <= MOST_LEASE_MS:
        wrong(field, f"a whole number from {LEAST_LEASE_MS} to {MOST_LEASE_MS} is needed")
    return value


def line(field: str, value: object) -> str:
    if not isinstance(value, str) or len(value) > MOST_WHY or not value.isprintable():
        wrong(field, f"a line of at most {MOST_WHY} printable characters is needed")
    return value


def long_text(field: str, value: object) -> str:
    if not isinstance(value, str) or len(value.encode(errors="replace")) > MOST_RECORD:
        wrong(field, f"a text of at most {MOST_RECORD} bytes is needed")
    return value


def state(field: str, value: object) -> str:
    return DELETED if value == DELETED else lifecycle(field, value)


Readers = Mapping[str, Callable[[str, object], Any]]

ENTRY: Readers = {
    "instanceId": name,
    "hostPort": address,
    "zone": text,
    "machineType": text,
    "cell": whole(MOST_CELL),
    "lifecycle": lifecycle,
    "weight": weight,
    "startedAtMs": whole(MOST_TIME_MS),
}
DEFAULTS = {"cell": 0, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0}
LEASE: Readers = {"leaseMs": whole(MOST_LEASE_MS)}
CONDITION: Readers = {"ifVersion": whole(MOST_TIME_MS)}
LIFE: Readers = {"life": whole(MOST_TIME_MS)}
FENCE: Readers = {"claim": name, "epoch": whole(MOST_TIME_MS)}


def fields(values: Mapping[str, Any], readers: Readers, optional: Iterable[str]) -> dict[str, Any]:
    """The fields read; one that is unknown or lacking is an error."""
    unknown = sorted(set(values) - set(readers))
    if unknown:
        raise InvalidRequestError(f"{unknown[0]!r:.80} is no field here; there are {', '.join(readers)}")
    for field in readers:
        if field not in values and field not in optional:
            wrong(field, "is needed")
    return {field: read(field, values[field]) for field, read in readers.items() if field in values}


def read_register(body: bytes) -> Register:
    """A backend that enters the list, or enters it anew."""
    given = fields(read_body(body), {**ENTRY, **LEASE, **CONDITION}, {*DEFAULTS, *LEASE, *CONDITION})
    found = {**DEFAULTS, **given}
    entry = Entry(
        found["instanceId"],
        found["hostPort"],
        found["zone"],
        found["machineType"],
        found["cell"],
        found["lifecycle"],
        found["weight"],
        found["startedAtMs"],
        lease_ms=found.get("leaseMs", 0),
    )
    return Register(entry, found.get("ifVersion"))


def read_instance(value: object, leases: bool = False) -> Entry:
    """An entry of a list that another service gives, with life and lease if it tells them and they are asked
    for; there may be fields here unknown."""
    if not isinstance(value, dict):
        raise InvalidRequestError("an entry is not a JSON object")
    extra = {**LIFE, **LEASE} if leases else {}
    readers = {**ENTRY, "lifecycle": state, **extra}
    found = fields({key: value[key] for key in value if key in readers}, readers, extra)
    return Entry(
        found["instanceId"],
        found["hostPort"],
        found["zone"],
        found["machineType"],
        found["cell"],
        found["lifecycle"],
        found["weight"],
        found["startedAtMs"],
        life=found.get("life", 0),
        lease_ms=found.get("leaseMs", 0),
    )


def fence_of(found: Mapping[str, Any]) -> Fence | None:
    """In whose name a write is made; one of claim and epoch alone makes no sense."""
    if ("claim" in found) != ("epoch" in found):
        wrong("claim" if "epoch" in found else "epoch", "is needed, as the other is given")
    return Fence(found["claim"], found["epoch"]) if "claim" in found else None


def read_backup(body: bytes) -> Fence | None:
    return fence_of(fields(read_body(body or b"{}"), FENCE, FENCE))


def read_owner(body: bytes) -> Fence:
    """In whose name a call is made that nobody else may make."""
    found = fields(read_body(body), FENCE, ())
    return Fence(found["claim"], found["epoch"])


def read_act(body: bytes) -> tuple[Fence, int]:
    """In whose name an act at a receiver that is no list service is done, and its number among the acts."""
    found = fields(read_body(body), {**FENCE, "act": whole(MOST_TIME_MS)}, ())
    return Fence(found["claim"], found["epoch"]), found["act"]


def read_change(id_: str, body: bytes) -> Change:
    found = fields(read_body(body), {"lifecycle": lifecycle, **CONDITION, **FENCE}, {*CONDITION, *FENCE})
    return Change(name("instanceId", id_), found["lifecycle"], found.get("ifVersion"), fence_of(found))


def read_remove(id_: str, body: bytes) -> Remove:
    found = fields(read_body(body or b"{}"), {**CONDITION, **LIFE, **FENCE}, {*CONDITION, *LIFE, *FENCE})
    return Remove(name("instanceId", id_), found.get("ifVersion"), found.get("life"), fence_of(found))


def read_open(body: bytes) -> Open:
    found = fields(read_body(body), {"holder": name, "life": name, "leaseMs": lease}, ())
    return Open(Session(found["holder"], found["life"], found["leaseMs"]))


def read_life(body: bytes) -> str:
    """Of a session that is renewed or ended."""
    return str(fields(read_body(body), {"life": name}, ())["life"])


def read_take(claim: str, body: bytes) -> Take:
    found = fields(read_body(body), {"holder": name, "life": name, "what": text}, {"what"})
    return Take(name("claim", claim), found["holder"], found["life"], found.get("what", ""))


def read_give(claim: str, body: bytes) -> Give:
    readers = {"holder": name, "life": name, "epoch": whole(MOST_TIME_MS), "to": name, "why": line}
    found = fields(read_body(body), readers, {"to", "why"})
    return Give(
        name("claim", claim),
        found["holder"],
        found["life"],
        found["epoch"],
        found.get("to", ""),
        found.get("why", ""),
    )


def read_hold(claim: str, body: bytes) -> Hold:
    return Hold(name("claim", claim), fields(read_body(body), {"on": flag}, ())["on"])


def read_keep(record: str, body: bytes) -> Keep:
    found = fields(read_body(body), {"text": long_text, **CONDITION, **FENCE}, {*CONDITION, *FENCE})
    return Keep(name("record", record), found["text"], found.get("ifVersion"), fence_of(found))


def read_door(body: bytes) -> Enter:
    found = fields(read_body(body), {"name": name, "life": name, "zone": text}, ())
    return Enter(Door(found["name"], found["life"], found["zone"]))


def digest(field: str, value: object) -> str:
    if not isinstance(value, str) or not DIGEST.fullmatch(value):
        wrong(field, "the 16 hex digits of a document, or nothing, are needed")
    return value


def digests(field: str, value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > MOST_READY:
        wrong(field, f"a list of at most {MOST_READY} documents is needed")
    return tuple(digest(field, one) for one in value)


def counts(field: str, value: object) -> tuple[int, ...]:
    if not isinstance(value, list) or len(value) != 3:
        wrong(field, "three counts are needed")
    return tuple(whole(MOST_TIME_MS)(field, one) for one in value)


def left(field: str, value: object) -> int:
    if type(value) is not int or abs(value) > MOST_LEASE_MS:
        wrong(field, f"a whole number of at most {MOST_LEASE_MS} is needed")
    return value


REPORT: Readers = {
    "life": name,
    "has": digest,
    "number": whole(MOST_TIME_MS),
    "digest": digest,
    "leftMs": left,
    "ready": digests,
    "flaw": line,
    "counts": counts,
    "serves": flag,
    "text": long_text,
}


def read_report(body: bytes) -> dict[str, Any]:
    """What a door's agent tells with each renewal; the moment and a document only where it knows them."""
    return fields(read_body(body), REPORT, {"leftMs", "text"})


def read_renewal(body: bytes) -> int:
    """The life that goes on."""
    return int(fields(read_body(body), LIFE, ())["life"])


def read_promotion(body: bytes) -> bool:
    """Whether it is to be done though the followed service still answers."""
    return bool(fields(read_body(body or b"{}"), {"force": flag}, {"force"}).get("force", False))


def read_after(value: str) -> int:
    """The generation that a watch goes on from; 0 for one that knows none."""
    if not (value.isascii() and value.isdigit()) or len(value) > 16:
        wrong("after", "a generation is needed")
    return int(value)
