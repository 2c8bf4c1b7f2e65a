"""The durable sessions, claims, records and registered gateways, as readers see them."""

from orchidhatch.control.ownership.objects import (
    Claim,
    Gateway,
    ObjectKind,
    OwnedObject,
    Record,
    Session,
    decode_object,
)

# The changes of a transaction: objects by kind and name, with None for those that it removes.
ObjectChanges = dict[tuple[ObjectKind, str], OwnedObject | None]


class ClaimsTable:
    """All durable objects; `last_change` is the number of the last change to them."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.claims: dict[str, Claim] = {}
        self.records: dict[str, Record] = {}
        self.gateways: dict[str, Gateway] = {}
        self.last_change = 0

    def objects(self, kind: ObjectKind) -> dict[str, OwnedObject]:
        """Return all objects of a kind by name."""
        return {
            ObjectKind.SESSION: self.sessions,
            ObjectKind.CLAIM: self.claims,
            ObjectKind.RECORD: self.records,
            ObjectKind.GATEWAY: self.gateways,
        }[kind]

    def load(self, kind: str, name: str, text: str) -> None:
        """Add an object from its stored text. Raises ValueError if the text is not an object of that kind."""
        object_kind = ObjectKind(kind)
        self.objects(object_kind)[name] = decode_object(object_kind, name, text)

    def apply(self, changes: ObjectChanges, last_change: int) -> None:
        """Apply the changes of a durable transaction.

        A replica has two writers, so `last_change` may already be above the transaction's number.
        """
        self.last_change = max(self.last_change, last_change)
        for (kind, name), owned in changes.items():
            if owned is None:
                self.objects(kind).pop(name, None)
            else:
                self.objects(kind)[name] = owned
