"""What the claims table holds: sessions, claims, records and registered gateways.

Their field names on the wire and on disk are older than the attributes' names; `rename` keeps them.
"""

import json
from enum import StrEnum

import msgspec


class ObjectKind(StrEnum):
    """The kinds of objects, by the names that they are stored under."""

    SESSION = "session"
    CLAIM = "claim"
    RECORD = "record"
    GATEWAY = "door"


class Session(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"incarnation": "life"}):
    """A process that may hold claims: `id` names the holder, `incarnation` this start of it."""

    id: str
    incarnation: str
    lease_ms: int


class Claim(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "incarnation": "life",
        "purpose": "what",
        "handed_to": "to",
        "released_by": "but",
        "reason": "why",
        "suspended": "held",
        "lost_holders": "lost",
    },
):
    """A claim with its fencing token.

    - `holder` is "" where nobody holds it; `epoch` is that of its last taking.
    - `handed_to` may take it next, while that holder has a session.
    - `released_by` released it over failures, and may not take it next unless it is alone.
    - `reason` says why it was released or suspended.
    - `suspended`: nobody may take it until an operator resumes it.
    - `lost_holders` counts the holders in a row whose sessions expired.
    """

    name: str
    holder: str = ""
    incarnation: str = ""
    epoch: int = 0
    purpose: str = ""
    handed_to: str = ""
    released_by: str = ""
    reason: str = ""
    suspended: bool = False
    lost_holders: int = 0


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A text that an owner writes between two steps; `version` is the count of its last writing."""

    name: str
    text: str
    version: int = 0


class Gateway(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"incarnation": "life"}):
    """A gateway that policies hold for; `incarnation` is that of the agent that steers it."""

    name: str
    incarnation: str
    zone: str


class Fence(msgspec.Struct, frozen=True):
    """The claim and epoch that a write is made under: it is carried out only while they are current."""

    claim: str
    epoch: int


OwnedObject = Session | Claim | Record | Gateway

TYPE_OF_KIND: dict[ObjectKind, type[OwnedObject]] = {
    ObjectKind.SESSION: Session,
    ObjectKind.CLAIM: Claim,
    ObjectKind.RECORD: Record,
    ObjectKind.GATEWAY: Gateway,
}


def name_of(owned: OwnedObject) -> str:
    """The name that an object is stored under."""
    return owned.id if isinstance(owned, Session) else owned.name


def encode_object(owned: OwnedObject) -> str:
    """The stored form. Checksums are over this text."""
    return json.dumps(msgspec.to_builtins(owned), sort_keys=True)


def decode_object(kind: ObjectKind, name: str, text: str) -> OwnedObject:
    """An object in its stored form. Raises ValueError where it is none, or is another one."""
    owned = msgspec.convert(json.loads(text), TYPE_OF_KIND[kind])
    if name_of(owned) != name:
        raise ValueError(f"{kind} {name!r:.80} is stored under the name of {name_of(owned)!r:.80}")
    return owned
