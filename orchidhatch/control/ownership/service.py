"""The calls about sessions, claims and records, as a list service answers them.

Sessions' leases are kept by the monotonic clock and begin anew with the process. Where most sessions would
run out together, rather the network or we are what failed: they are held for a while more, and that is told.
"""

import logging
from collections.abc import Iterable
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from orchidhatch.control.http_server import Connection, Response, error_body, unavailable
from orchidhatch.control.leases import Leases
from orchidhatch.control.ownership.claims import Claim, End, Record, Session
from orchidhatch.control.schemas import read_give, read_hold, read_keep, read_life, read_open, read_take

if TYPE_CHECKING:
    from orchidhatch.control.registry.service import Registry

log = logging.getLogger("orchidhatch.ownership")

HELD_SHARE, HELD_FEW = 0.5, 2  # of all sessions, that may run out together unheld
HELD_S = 10.0  # for how long more are held: about one more lease


class Ownership:
    """Sessions and claims of one list service."""

    def __init__(self, registry: "Registry") -> None:
        self.registry, self.book = registry, registry.store.book
        self.waiting: set[Connection] = set()  # who is told of the next change, or of none after a beat
        self.taken = self.refused = self.ended = 0  # claims taken; writes refused; sessions that ran out
        self.begin()

    def begin(self) -> None:
        """Leases begin anew: nobody could renew them here before."""
        self.leases = Leases(self.book.sessions.values(), self.registry.clock(), HELD_SHARE, HELD_FEW, HELD_S)

    def call(self, connection: Connection, method: str, path: tuple[str, ...], body: bytes) -> bool:
        """Whether it is one of these calls; then it is answered, or waits for the disk."""
        queue = self.registry.queue
        match method, path:
            case "POST", ("sessions",):
                queue(read_open(body), connection)
            case "POST", ("sessions", holder, "renew"):
                connection.answer(self.renew(holder, read_life(body)))
            case "DELETE", ("sessions", holder):
                queue(End(holder, read_life(body)), connection)
            case "GET", ("claims",):
                connection.answer(self.all())
            case "GET", ("claims", "after", known):
                self.wait(connection, known)
            case "POST", ("claims", claim, "take"):
                queue(read_take(claim, body), connection)
            case "POST", ("claims", claim, "give"):
                queue(read_give(claim, body), connection)
            case "POST", ("claims", claim, "hold"):
                queue(read_hold(claim, body), connection)
            case "GET", ("records",):
                connection.answer(Response(200, {"records": list(map(asdict, self.book.records.values()))}))
            case "GET", ("records", record):
                known = self.book.records.get(record)
                connection.answer(
                    Response(200, asdict(known)) if known else Response(404, error_body("no such record"))
                )
            case "POST", ("records", record):
                queue(read_keep(record, body), connection)
            case _:
                return False
        return True

    # --- reads ---

    def version(self) -> str:
        """Of all that is told here: a promoted or rebuilt store begins another count."""
        return f"{self.registry.store.identity}-{self.registry.store.term}-{self.book.last}"

    def all(self) -> Response:
        return Response(
            200,
            {
                "version": self.version(),
                "sessions": [
                    {"holder": one.id, "life": one.life, "leaseMs": one.lease_ms}
                    for one in self.book.sessions.values()
                ],
                "claims": [asdict(one) for one in self.book.claims.values()],
            },
        )

    def wait(self, connection: Connection, known: str) -> None:
        """All of it once it is no more as known; told again after a beat all the same."""
        if known != self.version():
            connection.answer(self.all())
        else:
            self.waiting.add(connection)

    def tell(self) -> None:
        waiting, self.waiting = self.waiting, set()
        answer = self.all() if waiting else None
        for connection in waiting:
            connection.answer(answer)

    # --- leases ---

    def renew(self, holder: str, life: str) -> Response:
        if refusal := self.registry.no_writes():
            return refusal
        if not self.registry.sure():
            return unavailable("it did not run for a while, and asks its peers first")
        if not self.leases.renew(holder, life, self.registry.clock()):
            known = self.book.sessions.get(holder)
            return Response(
                409 if known else 404,
                error_body(f"{holder} is in another life since" if known else f"{holder} has no session"),
            )
        held = {
            one.name: one.epoch
            for one in self.book.claims.values()
            if one.holder == holder and one.life == life
        }
        return Response(200, {"version": self.version(), "claims": held})

    def wrote(self, outcomes: Iterable[object]) -> None:
        """After a batch: what is durable now begins its lease, and who waits is told."""
        changed = False
        for outcome in outcomes:
            if isinstance(outcome, Session):
                changed = True
                if self.book.sessions.get(outcome.id) == outcome:
                    self.leases.begin(outcome, self.registry.clock())
                else:
                    self.leases.forget(outcome.id)
            elif isinstance(outcome, Claim):
                changed = True
                self.taken += bool(outcome.holder)
                if outcome.held:
                    log.error("ALARM: claim %s is put aside: %s", outcome.name, outcome.why)
        if changed:
            self.tell()

    def look(self) -> None:
        """End the sessions whose leases have run out."""
        held = self.leases.held
        for session in self.leases.overdue(self.registry.clock()):
            log.warning("%s did not renew its session of %d ms", session.id, session.lease_ms)
            self.ended += 1
            self.leases.forget(session.id)
            self.registry.queue(End(session.id, session.life, lost=True), None)
        if self.leases.held and not held:
            log.error(
                "ALARM: %d of %d sessions would run out together; they are held for %g s more",
                self.leases.held,
                len(self.leases.due),
                HELD_S,
            )
        self.tell()

    def figures(self) -> dict[str, float]:
        claims = self.book.claims.values()
        return {
            "sessions": len(self.book.sessions),
            "sessions_ended_total": self.ended,
            "sessions_held": self.leases.held,
            "claims": len(claims),
            "claims_taken_total": self.taken,
            "claims_free": sum(not one.holder for one in claims),
            "claims_aside": sum(one.held for one in claims),
            "records": len(self.book.records),
            "refused_total": self.refused,
        }


def written(outcome: Session | Claim | Record) -> dict[str, Any]:
    """What a writer is told."""
    if isinstance(outcome, Session):
        return {"holder": outcome.id, "life": outcome.life, "leaseMs": outcome.lease_ms}
    return asdict(outcome)
