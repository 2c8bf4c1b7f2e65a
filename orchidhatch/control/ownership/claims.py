"""Ownership of fleet-wide work: sessions, claims with fencing tokens, and records written under a claim.

A session represents a process (holder and incarnation) and has a lease; one renewal covers all the claims
that it holds. A claim has at most one holder. Each time a claim is taken it gets a new epoch, higher than any
earlier one: the upper bits are the store's term, so that a promoted replica's epochs exceed all that the
replaced registry may still have granted, and the lower bits are a durable change count. A fenced write names
a claim and an epoch, and is rejected unless both are current in the transaction that carries it out.

This module does no I/O: a transaction collects the changes of a batch of writes, the store makes them
durable, and then the table applies them.
"""

from collections.abc import Callable, Iterator

from msgspec.structs import replace

from orchidhatch.control.error_signs import CLAIM_SIGN, OTHER_INCARNATION_SIGN
from orchidhatch.control.errors import ConflictError, NotFoundError
from orchidhatch.control.ownership.claims_table import ClaimsTable, ObjectChanges
from orchidhatch.control.ownership.objects import (
    Claim,
    Fence,
    Gateway,
    ObjectKind,
    OwnedObject,
    Record,
    Session,
    name_of,
)
from orchidhatch.control.ownership.writes import (
    ClaimsWrite,
    EndSession,
    OpenSession,
    PutRecord,
    RegisterGateway,
    ReleaseClaim,
    RemoveGateway,
    SuspendClaim,
    TakeClaim,
)

NAMES_IN_ERRORS = {
    ObjectKind.SESSION: "sessions",
    ObjectKind.CLAIM: "claims",
    ObjectKind.RECORD: "records",
    ObjectKind.GATEWAY: "gateways",
}
MAX_OBJECTS = {
    ObjectKind.SESSION: 1_000,
    ObjectKind.CLAIM: 10_000,
    ObjectKind.RECORD: 10_000,
    ObjectKind.GATEWAY: 1_000,
}
EPOCH_COUNT_BITS = 32  # the lower bits of an epoch, which hold the change count; the upper bits hold the term
# A claim is suspended once the sessions of this many consecutive holders have expired.
MAX_LOST_HOLDERS = 3


class ClaimsTransaction:
    """The effect of a batch of writes on the claims table, which the transaction itself does not change.

    `changed` holds the objects that the batch changes, with None for those that it removes. The module is
    longer than 250 lines because each type of write has a method here.
    """

    def __init__(self, table: ClaimsTable, term: int) -> None:
        self.last_change = table.last_change
        self.changed: ObjectChanges = {}
        self._table = table
        self._term = term
        self._handlers: dict[type[ClaimsWrite], Callable[..., OwnedObject]] = {
            OpenSession: self._open_session,
            EndSession: self._end_session,
            TakeClaim: self._take_claim,
            ReleaseClaim: self._release_claim,
            SuspendClaim: self._suspend_claim,
            PutRecord: self.put_record,
            RegisterGateway: self._register_gateway,
            RemoveGateway: self._remove_gateway,
        }

    # --- reads ---

    def find(self, kind: ObjectKind, name: str) -> OwnedObject | None:
        """Return the object of that name after the writes so far; None if there is none."""
        key = kind, name
        return self.changed[key] if key in self.changed else self._table.objects(kind).get(name)

    def all_objects(self, kind: ObjectKind) -> Iterator[OwnedObject]:
        """Yield all objects of a kind as they are after the writes so far."""
        for name, owned in list(self._table.objects(kind).items()):
            if (kind, name) not in self.changed:
                yield owned
        changed = [owned for (changed_kind, _), owned in self.changed.items() if changed_kind == kind]
        yield from [owned for owned in changed if owned is not None]

    def check_fence(self, fence: Fence | None) -> None:
        """Raise ConflictError unless the claim is held at the epoch of the fence and is not suspended.

        None stands for a write without a fence, which always passes.
        """
        if fence is None:
            return
        claim = self._require_claim(fence.claim)
        if not claim.holder or claim.epoch != fence.epoch:
            holder_note = "" if claim.holder else " and has no holder"
            raise ConflictError(
                f"{CLAIM_SIGN}{fence.claim} is at epoch {claim.epoch}{holder_note}, not {fence.epoch}"
            )
        if claim.suspended:
            raise ConflictError(f"{CLAIM_SIGN}{fence.claim} is suspended")

    # --- writes ---

    def write(self, write: ClaimsWrite) -> OwnedObject:
        """Add a write and return the object that results from it.

        Raises ConflictError, and changes nothing, if the write conflicts with the current state.
        """
        previous_change = self.last_change
        self.last_change += 1
        try:
            return self._handlers[type(write)](write)
        except ConflictError:
            self.last_change = previous_change
            raise

    def put_record(self, write: PutRecord) -> Record:
        """Write or remove a record under its fence.

        A fenced write resets the claim's count of lost holders: it shows that the holder makes progress, so
        earlier holders were not lost because of the work itself.
        """
        self.check_fence(write.fence)
        existing = self.find(ObjectKind.RECORD, write.name)
        version = existing.version if existing else 0
        if write.if_version is not None and write.if_version != version:
            raise ConflictError(f"record {write.name} is at version {version}, not {write.if_version}")
        if existing is None and write.text:
            self._check_capacity(ObjectKind.RECORD)
        record = Record(write.name, write.text, self.last_change)
        self.changed[ObjectKind.RECORD, write.name] = record if write.text else None
        if write.fence:
            claim = self._require_claim(write.fence.claim)
            if claim.lost_holders:
                self._put(ObjectKind.CLAIM, replace(claim, lost_holders=0))
        return record

    def _put(self, kind: ObjectKind, owned: OwnedObject) -> OwnedObject:
        self.changed[kind, name_of(owned)] = owned
        return owned

    def _unchanged(self, owned: OwnedObject) -> OwnedObject:
        """Return the result of a write that was carried out before and resent because its reply was lost."""
        self.last_change -= 1
        return owned

    def _check_capacity(self, kind: ObjectKind) -> None:
        """Raise ConflictError if the maximum number of objects of a kind is reached."""
        if sum(1 for _ in self.all_objects(kind)) >= MAX_OBJECTS[kind]:
            raise ConflictError(f"the limit of {MAX_OBJECTS[kind]} {NAMES_IN_ERRORS[kind]} is reached")

    # --- sessions ---

    def _open_session(self, write: OpenSession) -> Session:
        existing = self.find(ObjectKind.SESSION, write.session.id)
        if existing and existing.incarnation != write.session.incarnation:
            raise ConflictError(
                f"the session {existing.id} is held by {OTHER_INCARNATION_SIGN} of it until its lease expires"
            )
        if existing is None:
            self._check_capacity(ObjectKind.SESSION)
        return self._put(ObjectKind.SESSION, write.session)

    def _end_session(self, write: EndSession) -> Session:
        session = self._require_session(write.id, write.incarnation)
        for claim in list(self.all_objects(ObjectKind.CLAIM)):
            if claim.holder == session.id and claim.incarnation == session.incarnation:
                self._free(claim, lost_holders=claim.lost_holders + 1 if write.expired else 0)
        self.changed[ObjectKind.SESSION, session.id] = None
        return session

    def _require_session(self, holder: str, incarnation: str) -> Session:
        """Return the session of a holder.

        Raises NotFoundError if there is none, ConflictError if it belongs to another incarnation.
        """
        existing = self.find(ObjectKind.SESSION, holder)
        if existing is None:
            raise NotFoundError(f"{holder} has no session")
        if existing.incarnation != incarnation:
            raise ConflictError(f"the session {holder} now belongs to {OTHER_INCARNATION_SIGN}")
        return existing

    # --- claims ---

    def _require_claim(self, name: str) -> Claim:
        existing = self.find(ObjectKind.CLAIM, name)
        if existing is None:
            raise NotFoundError(f"there is no {CLAIM_SIGN}{name}")
        return existing

    def _take_claim(self, write: TakeClaim) -> Claim:
        session = self._require_session(write.holder, write.incarnation)
        claim = self.find(ObjectKind.CLAIM, write.name)
        if claim is None:
            self._check_capacity(ObjectKind.CLAIM)
            claim = Claim(write.name)
        if claim.suspended:
            raise ConflictError(f"{CLAIM_SIGN}{claim.name} is suspended: {claim.reason}")
        if claim.holder == session.id and claim.incarnation == session.incarnation:
            return self._unchanged(claim)
        self._check_may_take(claim, session)
        taken = replace(
            claim,
            holder=session.id,
            incarnation=session.incarnation,
            epoch=self._term << EPOCH_COUNT_BITS | self.last_change,
            purpose=write.purpose,
            # A claim that was handed to a specific holder stays reserved for that holder.
            handed_to=claim.handed_to if claim.handed_to == session.id else "",
            released_by="",
            reason="",
        )
        return self._put(ObjectKind.CLAIM, taken)

    def _check_may_take(self, claim: Claim, session: Session) -> None:
        """Raise ConflictError unless the session may take the claim.

        It must have no holder, and must not be reserved for another holder that has a session. If this
        session's holder released it after failures, there must be no other session.
        """
        if claim.holder:
            raise ConflictError(f"{CLAIM_SIGN}{claim.name} is held by {claim.holder} at epoch {claim.epoch}")
        is_handed_to_other = claim.handed_to not in ("", session.id)
        if is_handed_to_other and self.find(ObjectKind.SESSION, claim.handed_to):
            raise ConflictError(f"{CLAIM_SIGN}{claim.name} was handed to {claim.handed_to}")
        has_other_sessions = any(other.id != session.id for other in self.all_objects(ObjectKind.SESSION))
        if claim.released_by == session.id and has_other_sessions:
            raise ConflictError(
                f"{CLAIM_SIGN}{claim.name} was released by {claim.released_by}: {claim.reason}"
            )

    def _release_claim(self, write: ReleaseClaim) -> Claim:
        self._require_session(write.holder, write.incarnation)
        existing = self._require_claim(write.name)
        current = (existing.holder, existing.incarnation, existing.epoch)
        if current != (write.holder, write.incarnation, write.epoch):
            raise ConflictError(
                f"{CLAIM_SIGN}{write.name} is at epoch {existing.epoch} of {existing.holder or 'no holder'}, "
                f"not {write.epoch} of {write.holder}"
            )
        released = replace(
            existing,
            handed_to=write.handed_to,
            reason=write.reason,
            released_by=write.holder if write.reason else "",
        )
        return self._free(released, lost_holders=0)

    def _free(self, claim: Claim, lost_holders: int) -> Claim:
        """Remove a claim's holder, and suspend the claim if too many consecutive holders were lost."""
        freed = replace(claim, holder="", incarnation="", lost_holders=lost_holders)
        if lost_holders >= MAX_LOST_HOLDERS:
            freed = replace(freed, suspended=True, reason=f"{lost_holders} owners in a row were lost")
        return self._put(ObjectKind.CLAIM, freed)

    def _suspend_claim(self, write: SuspendClaim) -> Claim:
        existing = self._require_claim(write.name)
        reason = "by hand" if write.suspended else ""
        claim = replace(existing, suspended=write.suspended, reason=reason, lost_holders=0)
        return self._put(ObjectKind.CLAIM, claim)

    # --- gateways ---

    def _register_gateway(self, write: RegisterGateway) -> Gateway:
        existing = self.find(ObjectKind.GATEWAY, write.gateway.name)
        if existing == write.gateway:
            return self._unchanged(existing)
        if existing is None:
            self._check_capacity(ObjectKind.GATEWAY)
        return self._put(ObjectKind.GATEWAY, write.gateway)

    def _remove_gateway(self, write: RemoveGateway) -> Gateway:
        existing = self.find(ObjectKind.GATEWAY, write.name)
        if existing is None:
            raise NotFoundError(f"there is no gateway {write.name}")
        self.changed[ObjectKind.GATEWAY, write.name] = None
        return existing
