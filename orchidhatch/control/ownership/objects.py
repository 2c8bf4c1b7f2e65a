"""The objects of the claims table: sessions, claims, records and registered gateways.

The wire and the disk use older field names than the attributes have; `rename` maps them.
"""

import json
from enum import StrEnum

import msgspec


class ObjectKind(StrEnum):
    """The kinds of objects; the values are the names that are stored."""

    SESSION = "session"
    CLAIM = "claim"
    RECORD = "record"
    GATEWAY = "door"


class Session(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"incarnation": "life"}):
    """A process that may hold claims: `id` is the holder's name, `incarnation` identifies one run of it."""

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

    - `holder` is "" if the claim is not held; `epoch` is the one at which it was last taken.
    - `handed_to`: the only holder that may take the claim next, as long as it has a session.
    - `released_by`: the holder that released the claim after failures; it may not take it next unless no
      other holder has a session.
    - `reason`: why the claim was released or suspended.
    - `suspended`: the claim cannot be taken until an operator resumes it.
    - `lost_holders`: the number of consecutive holders whose sessions expired.
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
    """A named text in which an owner stores its progress; `version` is the number of its last change."""

    name: str
    text: str
    version: int = 0


class Gateway(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"incarnation": "life"}):
    """A gateway to which policies apply; `incarnation` is that of the agent that manages it."""

    name: str
    incarnation: str
    zone: str


class Fence(msgspec.Struct, frozen=True):
    """The fencing token of a write, which is carried out only while the claim is held at that epoch."""

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
    """Return the name under which an object is stored."""
    return owned.id if isinstance(owned, Session) else owned.name


def encode_object(owned: OwnedObject) -> str:
    """Return the stored form of an object, over which the store computes its checksums."""
    return json.dumps(msgspec.to_builtins(owned), sort_keys=True)


def decode_object(kind: ObjectKind, name: str, text: str) -> OwnedObject:
    """Return the object in a stored text.

    Raises ValueError if the text is not an object of that kind, or if the object has another name.
    """
    owned = msgspec.convert(json.loads(text), TYPE_OF_KIND[kind])
    if name_of(owned) != name:
        raise ValueError(f"{kind} {name!r:.80} contains an object named {name_of(owned)!r:.80}")
    return owned
