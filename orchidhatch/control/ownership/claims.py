"""Who does what on behalf of the fleet: sessions, claims with fencing tokens, and records of their owners.

A session is a process (holder and incarnation) with a lease, renewed by one message however much it holds. A
claim has one holder at a time. Each time it is taken its epoch is new, and above all before it: the store's
term comes first in it, so that a promoted replica's epochs are above those of the registry that it replaced,
whatever that one granted meanwhile; then a count that is durable. A write on behalf of the fleet names its
claim and epoch, and is rejected unless they are current in that same transaction.

All is pure: a transaction collects the changes of a batch of writes, the store makes them durable, then the
table applies them.
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
EPOCH_COUNT_BITS = 32  # of an epoch; the term is above them
MAX_LOST_HOLDERS = 3  # holders in a row whose sessions expired: then the claim is suspended


class ClaimsTransaction:
    """The table as a batch of writes leaves it; the table itself stays as it is.

    `changed` has the objects that the batch changes, None for those that it removes. The module is longer
    than 250 lines because each kind of write is a method here.
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
        """An object by name, as the writes so far leave it."""
        key = kind, name
        return self.changed[key] if key in self.changed else self._table.objects(kind).get(name)

    def all(self, kind: ObjectKind) -> Iterator[OwnedObject]:
        """All objects of a kind, as the writes so far leave them."""
        for name, owned in list(self._table.objects(kind).items()):
            if (kind, name) not in self.changed:
                yield owned
        changed = [owned for (changed_kind, _), owned in self.changed.items() if changed_kind == kind]
        yield from [owned for owned in changed if owned is not None]

    def check(self, fence: Fence | None) -> None:
        """Raise ConflictError unless the claim is held at that epoch."""
        if fence is None:
            return
        claim = self._claim(fence.claim)
        if not claim.holder or claim.epoch != fence.epoch:
            unheld = "" if claim.holder else " and held by nobody"
            raise ConflictError(
                f"{CLAIM_SIGN}{fence.claim} is at epoch {claim.epoch}{unheld}, not {fence.epoch}"
            )
        if claim.suspended:
            raise ConflictError(f"{CLAIM_SIGN}{fence.claim} is suspended")

    # --- writes ---

    def write(self, write: ClaimsWrite) -> OwnedObject:
        """Add a write; the object as it leaves it. Raises ConflictError where it does not fit; then nothing
        is changed.
        """
        previous_change = self.last_change
        self.last_change += 1
        try:
            return self._handlers[type(write)](write)
        except ConflictError:
            self.last_change = previous_change
            raise

    def put_record(self, write: PutRecord) -> Record:
        """Write or remove a record under its fence. The owner of the fence gets on with its work: whoever was
        lost before was not lost over it.
        """
        self.check(write.fence)
        known = self.find(ObjectKind.RECORD, write.name)
        version = known.version if known else 0
        if write.if_version is not None and write.if_version != version:
            raise ConflictError(f"record {write.name} is at version {version}, not {write.if_version}")
        if known is None and write.text:
            self._check_room(ObjectKind.RECORD)
        record = Record(write.name, write.text, self.last_change)
        self.changed[ObjectKind.RECORD, write.name] = record if write.text else None
        if write.fence:
            claim = self._claim(write.fence.claim)
            if claim.lost_holders:
                self._put(ObjectKind.CLAIM, replace(claim, lost_holders=0))
        return record

    def _put(self, kind: ObjectKind, owned: OwnedObject) -> OwnedObject:
        self.changed[kind, name_of(owned)] = owned
        return owned

    def _unchanged(self, owned: OwnedObject) -> OwnedObject:
        """The result of a write that was carried out before, and is sent again as its response was lost."""
        self.last_change -= 1
        return owned

    def _check_room(self, kind: ObjectKind) -> None:
        """Raise ConflictError where no object of a kind may be added."""
        if sum(1 for _ in self.all(kind)) >= MAX_OBJECTS[kind]:
            raise ConflictError(f"there are {MAX_OBJECTS[kind]} {NAMES_IN_ERRORS[kind]}, and no more")

    # --- sessions ---

    def _open_session(self, write: OpenSession) -> Session:
        known = self.find(ObjectKind.SESSION, write.session.id)
        if known and known.incarnation != write.session.incarnation:
            raise ConflictError(
                f"{known.id} is held by {OTHER_INCARNATION_SIGN} of it until that one's lease ends"
            )
        if known is None:
            self._check_room(ObjectKind.SESSION)
        return self._put(ObjectKind.SESSION, write.session)

    def _end_session(self, write: EndSession) -> Session:
        session = self._session(write.id, write.incarnation)
        for claim in list(self.all(ObjectKind.CLAIM)):
            if claim.holder == session.id and claim.incarnation == session.incarnation:
                self._free(claim, lost_holders=claim.lost_holders + 1 if write.expired else 0)
        self.changed[ObjectKind.SESSION, session.id] = None
        return session

    def _session(self, holder: str, incarnation: str) -> Session:
        """The session of a holder; raises NotFoundError, or ConflictError for another incarnation."""
        known = self.find(ObjectKind.SESSION, holder)
        if known is None:
            raise NotFoundError(f"{holder} has no session")
        if known.incarnation != incarnation:
            raise ConflictError(f"{holder} is in {OTHER_INCARNATION_SIGN} since")
        return known

    # --- claims ---

    def _claim(self, name: str) -> Claim:
        known = self.find(ObjectKind.CLAIM, name)
        if known is None:
            raise NotFoundError(f"there is no {CLAIM_SIGN}{name}")
        return known

    def _take_claim(self, write: TakeClaim) -> Claim:
        session = self._session(write.holder, write.incarnation)
        known = self.find(ObjectKind.CLAIM, write.name)
        if known is None:
            self._check_room(ObjectKind.CLAIM)
            known = Claim(write.name)
        if known.suspended:
            raise ConflictError(f"{CLAIM_SIGN}{known.name} is suspended: {known.reason}")
        if known.holder == session.id and known.incarnation == session.incarnation:
            return self._unchanged(known)
        self._check_may_take(known, session)
        taken = replace(
            known,
            holder=session.id,
            incarnation=session.incarnation,
            epoch=self._term << EPOCH_COUNT_BITS | self.last_change,
            purpose=write.purpose,
            # One that was handed over on purpose stays with its holder.
            handed_to=known.handed_to if known.handed_to == session.id else "",
            released_by="",
            reason="",
        )
        return self._put(ObjectKind.CLAIM, taken)

    def _check_may_take(self, claim: Claim, session: Session) -> None:
        """Raise ConflictError unless the claim is free for this session."""
        if claim.holder:
            raise ConflictError(f"{CLAIM_SIGN}{claim.name} is held by {claim.holder} at epoch {claim.epoch}")
        is_for_other = claim.handed_to not in ("", session.id)
        if is_for_other and self.find(ObjectKind.SESSION, claim.handed_to):
            raise ConflictError(f"{CLAIM_SIGN}{claim.name} was handed to {claim.handed_to}")
        has_others = any(other.id != session.id for other in self.all(ObjectKind.SESSION))
        if claim.released_by == session.id and has_others:
            raise ConflictError(
                f"{CLAIM_SIGN}{claim.name} was released by {claim.released_by}: {claim.reason}"
            )

    def _release_claim(self, write: ReleaseClaim) -> Claim:
        self._session(write.holder, write.incarnation)
        known = self._claim(write.name)
        current = (known.holder, known.incarnation, known.epoch)
        if current != (write.holder, write.incarnation, write.epoch):
            raise ConflictError(
                f"{CLAIM_SIGN}{write.name} is at epoch {known.epoch} of {known.holder or 'nobody'}, "
                f"not {write.epoch} of {write.holder}"
            )
        released = replace(
            known,
            handed_to=write.handed_to,
            reason=write.reason,
            released_by=write.holder if write.reason else "",
        )
        return self._free(released, lost_holders=0)

    def _free(self, claim: Claim, lost_holders: int) -> Claim:
        """Take a claim from its holder; it is suspended where too many holders in a row were lost."""
        freed = replace(claim, holder="", incarnation="", lost_holders=lost_holders)
        if lost_holders >= MAX_LOST_HOLDERS:
            freed = replace(freed, suspended=True, reason=f"{lost_holders} owners in a row were lost")
        return self._put(ObjectKind.CLAIM, freed)

    def _suspend_claim(self, write: SuspendClaim) -> Claim:
        known = self._claim(write.name)
        reason = "by hand" if write.suspended else ""
        claim = replace(known, suspended=write.suspended, reason=reason, lost_holders=0)
        return self._put(ObjectKind.CLAIM, claim)

    # --- gateways ---

    def _register_gateway(self, write: RegisterGateway) -> Gateway:
        known = self.find(ObjectKind.GATEWAY, write.gateway.name)
        if known == write.gateway:
            return self._unchanged(known)
        if known is None:
            self._check_room(ObjectKind.GATEWAY)
        return self._put(ObjectKind.GATEWAY, write.gateway)

    def _remove_gateway(self, write: RemoveGateway) -> Gateway:
        known = self.find(ObjectKind.GATEWAY, write.name)
        if known is None:
            raise NotFoundError(f"there is no gateway {write.name}")
        self.changed[ObjectKind.GATEWAY, write.name] = None
        return known
