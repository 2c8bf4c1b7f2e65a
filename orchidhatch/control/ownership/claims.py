"""Who does what on behalf of the fleet: sessions, claims with epochs, and records that only an owner writes.

A session is a process (holder and life) with a lease, renewed by one message however much it holds. A claim
has one holder at a time. Each time it is taken its epoch is new, and above all before it: the store's term
comes first in it, so that a promoted follower's are above those of the service that it replaced, whatever
that one gave meanwhile; then a count that is durable. A write on behalf of the fleet names its claim and
epoch, and is refused unless they are the claim's own in that same transaction.

All is pure: writes are held against the book, the store makes them durable, then the book takes them over.
"""

import json
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace

MOST_SESSIONS, MOST_CLAIMS, MOST_RECORDS, MOST_DOORS = 1_000, 10_000, 10_000, 1_000
EPOCH_COUNT_BITS = 32  # of an epoch; the term is above them
MOST_LOST = 3  # owners that went without a word, one after another: then the claim is put aside


class ConflictError(Exception):
    """A write that does not fit what is there; nothing was changed."""


class NotFoundError(ConflictError):
    """A write to what is not there."""


@dataclass(frozen=True, slots=True)
class Session:
    """A process that may hold claims: `id` names the holder, `life` this start of it."""

    id: str
    life: str
    lease_ms: int


@dataclass(frozen=True, slots=True)
class Claim:
    """`holder` is "" where nobody holds it; `epoch` is that of its last taking."""

    name: str
    holder: str = ""
    life: str = ""
    epoch: int = 0
    what: str = ""  # what for
    to: str = ""  # who it was handed to, and may take it next
    but: str = ""  # who gave it up over failures, and may not take it next
    why: str = ""  # why it was given up, or put aside
    held: bool = False  # nobody may take it until an operator says so
    lost: int = 0  # holders in a row whose sessions ran out


@dataclass(frozen=True, slots=True)
class Record:
    """What an owner puts down between two steps: a text, and the count of its last writing."""

    name: str
    text: str
    version: int = 0


@dataclass(frozen=True, slots=True)
class Door:
    """A front door that policies hold for, by the agent that keeps it: `life` is that agent's."""

    name: str
    life: str
    zone: str


@dataclass(frozen=True, slots=True)
class Fence:
    """In whose name a write is made: it is carried out only while that claim is at that epoch, and held."""

    claim: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Open:
    """Begin a session; the same one again is no change."""

    session: Session


@dataclass(frozen=True, slots=True)
class End:
    """End a session, and free all that it holds; `lost` if it ran out."""

    id: str
    life: str
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Take:
    name: str
    holder: str
    life: str
    what: str = ""


@dataclass(frozen=True, slots=True)
class Give:
    """Give a claim up; `to` a named holder, or because of failures that are told by `why`."""

    name: str
    holder: str
    life: str
    epoch: int
    to: str = ""
    why: str = ""


@dataclass(frozen=True, slots=True)
class Hold:
    """An operator has a claim left alone, its holder included, or lets it be taken again."""

    name: str
    on: bool


@dataclass(frozen=True, slots=True)
class Keep:
    """Write a record; an empty text removes it. `if_version` 0: only if it is not there."""

    name: str
    text: str
    if_version: int | None = None
    fence: Fence | None = None


@dataclass(frozen=True, slots=True)
class Enter:
    """List a door, or an agent's next life of it; the same one again is no change."""

    door: Door


@dataclass(frozen=True, slots=True)
class Leave:
    """Take a door off the list, as it is no more."""

    name: str


BookWrite = Open | End | Take | Give | Hold | Keep | Enter | Leave
Thing = Session | Claim | Record | Door
KINDS: dict[str, type] = {"session": Session, "claim": Claim, "record": Record, "door": Door}


def name_of(thing: Thing) -> str:
    return thing.id if isinstance(thing, Session) else thing.name


def text_of(thing: Thing) -> str:
    return json.dumps(asdict(thing), sort_keys=True)


class ClaimsTable:
    """What is held now."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.claims: dict[str, Claim] = {}
        self.records: dict[str, Record] = {}
        self.doors: dict[str, Door] = {}
        self.last = 0  # the count of the last change

    def kept(self, kind: str) -> dict[str, Thing]:
        return {"session": self.sessions, "claim": self.claims, "record": self.records, "door": self.doors}[
            kind
        ]

    def read(self, kind: str, name: str, text: str) -> None:
        """A thing as it was written to disk; a ValueError or TypeError where it is none."""
        thing = KINDS[kind](**json.loads(text))
        if name_of(thing) != name:
            raise ValueError(f"{kind} {name!r:.80} calls itself {name_of(thing)!r:.80}")
        self.kept(kind)[name] = thing

    def draft(self, term: int) -> "ClaimsTransaction":
        return ClaimsTransaction(self, term)

    def take(self, draft: "ClaimsTransaction") -> None:
        """Take over what is durable."""
        self.last = max(self.last, draft.last)  # a follower has two that write
        for (kind, name), thing in draft.changed.items():
            if thing is None:
                self.kept(kind).pop(name, None)
            else:
                self.kept(kind)[name] = thing


class ClaimsTransaction:
    """The book as a batch of writes leaves it; the book itself stays as it is."""

    def __init__(self, book: ClaimsTable, term: int) -> None:
        self.book, self.term, self.last = book, term, book.last
        self.changed: dict[tuple[str, str], Thing | None] = {}

    def find(self, kind: str, name: str) -> Thing | None:
        key = kind, name
        return self.changed[key] if key in self.changed else self.book.kept(kind).get(name)

    def all(self, kind: str) -> Iterator[Thing]:
        for name in list(self.book.kept(kind)):
            if (kind, name) not in self.changed:
                yield self.book.kept(kind)[name]
        yield from [thing for (of, _), thing in self.changed.items() if of == kind and thing]

    def put(self, kind: str, thing: Thing) -> Thing:
        self.changed[kind, name_of(thing)] = thing
        return thing

    def check(self, fence: Fence | None) -> None:
        """A ConflictError unless the claim is held at that epoch."""
        if fence is None:
            return
        claim = self.find("claim", fence.claim)
        if claim is None:
            raise NotFoundError(f"there is no claim {fence.claim}")
        if not claim.holder or claim.epoch != fence.epoch:
            raise ConflictError(
                f"claim {fence.claim} is at epoch {claim.epoch}"
                f"{'' if claim.holder else ' and held by nobody'}, not {fence.epoch}"
            )
        if claim.held:
            raise ConflictError(f"claim {fence.claim} is put aside")

    def write(self, write: BookWrite) -> Thing:
        """What it comes to; a ConflictError where it does not fit, with nothing changed."""
        before = self.last
        self.last += 1
        try:
            return getattr(self, type(write).__name__.lower())(write)
        except ConflictError:
            self.last = before
            raise

    def open(self, write: Open) -> Session:
        known = self.find("session", write.session.id)
        if known and known.life != write.session.life:
            raise ConflictError(f"{known.id} is held by another life of it until that one's lease ends")
        if known is None and sum(1 for _ in self.all("session")) >= MOST_SESSIONS:
            raise ConflictError(f"there are {MOST_SESSIONS} sessions, and no more")
        return self.put("session", write.session)

    def session(self, holder: str, life: str) -> Session:
        known = self.find("session", holder)
        if known is None:
            raise NotFoundError(f"{holder} has no session")
        if known.life != life:
            raise ConflictError(f"{holder} is in another life since")
        return known

    def end(self, write: End) -> Session:
        session = self.session(write.id, write.life)
        for claim in list(self.all("claim")):
            if claim.holder == session.id and claim.life == session.life:
                self.free(claim, lost=write.lost)
        self.changed["session", session.id] = None
        return session

    def free(self, claim: Claim, lost: bool = False, **why: str) -> Claim:
        count = claim.lost + 1 if lost else 0
        aside = {"held": True, "why": f"{count} owners in a row were lost"} if count >= MOST_LOST else {}
        return self.put("claim", replace(claim, holder="", life="", lost=count, **{**why, **aside}))

    def take(self, write: Take) -> Claim:
        session = self.session(write.holder, write.life)
        known = self.find("claim", write.name)
        if known is None:
            if sum(1 for _ in self.all("claim")) >= MOST_CLAIMS:
                raise ConflictError(f"there are {MOST_CLAIMS} claims, and no more")
            known = Claim(write.name)
        if known.held:
            raise ConflictError(f"claim {known.name} is put aside: {known.why}")
        if known.holder == session.id and known.life == session.life:
            self.last -= 1
            return known  # asked again, as the answer was lost
        if known.holder:
            raise ConflictError(f"claim {known.name} is held by {known.holder} at epoch {known.epoch}")
        others = any(one.id != session.id for one in self.all("session"))
        if known.to not in ("", session.id) and self.find("session", known.to):
            raise ConflictError(f"claim {known.name} was handed to {known.to}")
        if known.but == session.id and others:
            raise ConflictError(f"claim {known.name} was given up by {known.but}: {known.why}")
        epoch = self.term << EPOCH_COUNT_BITS | self.last
        to = known.to if known.to == session.id else ""  # it stays where it was handed to on purpose
        return self.put(
            "claim",
            replace(
                known,
                holder=session.id,
                life=session.life,
                epoch=epoch,
                what=write.what,
                to=to,
                but="",
                why="",
            ),
        )

    def give(self, write: Give) -> Claim:
        self.session(write.holder, write.life)
        known = self.find("claim", write.name)
        if known is None:
            raise NotFoundError(f"there is no claim {write.name}")
        if (known.holder, known.life, known.epoch) != (write.holder, write.life, write.epoch):
            raise ConflictError(
                f"claim {write.name} is at epoch {known.epoch} of {known.holder or 'nobody'}, "
                f"not {write.epoch} of {write.holder}"
            )
        return self.free(known, to=write.to, why=write.why, but=write.holder if write.why else "")

    def hold(self, write: Hold) -> Claim:
        known = self.find("claim", write.name)
        if known is None:
            raise NotFoundError(f"there is no claim {write.name}")
        why = "by hand" if write.on else ""
        return self.put("claim", replace(known, held=write.on, why=why, lost=0))

    def enter(self, write: Enter) -> Door:
        known = self.find("door", write.door.name)
        if known == write.door:
            self.last -= 1
            return known
        if known is None and sum(1 for _ in self.all("door")) >= MOST_DOORS:
            raise ConflictError(f"there are {MOST_DOORS} doors, and no more")
        return self.put("door", write.door)

    def leave(self, write: Leave) -> Door:
        known = self.find("door", write.name)
        if known is None:
            raise NotFoundError(f"there is no door {write.name}")
        self.changed["door", write.name] = None
        return known

    def keep(self, write: Keep) -> Record:
        self.check(write.fence)
        known = self.find("record", write.name)
        version = known.version if known else 0
        if write.if_version is not None and write.if_version != version:
            raise ConflictError(f"record {write.name} is at version {version}, not {write.if_version}")
        if known is None and write.text and sum(1 for _ in self.all("record")) >= MOST_RECORDS:
            raise ConflictError(f"there are {MOST_RECORDS} records, and no more")
        record = Record(write.name, write.text, self.last)
        self.changed["record", write.name] = record if write.text else None
        if write.fence:  # its owner gets on with it: whoever was lost before was not lost over it
            claim = self.find("claim", write.fence.claim)
            if claim.lost:
                self.put("claim", replace(claim, lost=0))
        return record
