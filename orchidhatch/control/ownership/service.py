"""Sessions and claims of one registry: their leases, the requests that wait for changes, and metrics.

Sessions' leases are kept by the monotonic clock and begin anew with the process. Where most sessions would
run out together, rather the network or this registry failed: their end is withheld for a while.
"""

import logging
from collections.abc import Callable, Sequence
from typing import Protocol

from orchidhatch.control.error_signs import OTHER_INCARNATION_SIGN
from orchidhatch.control.errors import ConflictError, NotFoundError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.lease_table import LeaseTable, MassExpiryLimit
from orchidhatch.control.ownership.objects import Claim, Session
from orchidhatch.control.ownership.writes import ClaimsWrite, EndSession
from orchidhatch.control.registry.store import Outcome, Store
from orchidhatch.control.responses import OwnershipResponse, SessionRenewalResponse, session_response

log = logging.getLogger("orchidhatch.ownership")

WITHHELD_S = 10.0  # for how long more sessions are kept that run out together: about one more lease
SESSION_LIMIT = MassExpiryLimit(share=0.5, few=2, withheld_s=WITHHELD_S)


class InternalWriter(Protocol):
    """The write pipeline, as this service uses it."""

    def enqueue_internal(self, write: ClaimsWrite) -> bool:
        """Queue a write of the registry itself; whether it is queued."""


class OwnershipService:
    """Sessions and claims of one registry."""

    def __init__(self, store: Store, writes: InternalWriter, now_s: Callable[[], float]) -> None:
        self.claims_taken = 0
        self.writes_refused = 0
        self.sessions_expired = 0
        self._store = store
        self._table = store.claims_table
        self._writes = writes
        self._now_s = now_s
        self._waiting: set[Connection] = set()  # answered after the next change, or the next check
        self.restart()

    def restart(self) -> None:
        """Begin all leases anew: nobody could renew them here before."""
        self.leases = LeaseTable(self._table.sessions.values(), self._now_s(), SESSION_LIMIT)

    # --- reads ---

    def version(self) -> str:
        """The version of sessions and claims; a promoted or rebuilt store begins another count."""
        return f"{self._store.identity}-{self._store.term}-{self._table.last_change}"

    def snapshot(self) -> OwnershipResponse:
        """All sessions and claims."""
        sessions = [session_response(session) for session in self._table.sessions.values()]
        return OwnershipResponse(self.version(), sessions, list(self._table.claims.values()))

    def answer_after(self, connection: Connection, known_version: str) -> None:
        """Answer with a snapshot once it is newer than the known version, or unchanged at the next check."""
        if known_version != self.version():
            connection.answer(Response(200, self.snapshot()))
        else:
            self._waiting.add(connection)

    def _answer_waiting(self) -> None:
        waiting = self._waiting
        self._waiting = set()
        response = Response(200, self.snapshot()) if waiting else None
        for connection in waiting:
            connection.answer(response)

    # --- leases ---

    def renew(self, holder: str, incarnation: str) -> SessionRenewalResponse:
        """Renew a session's lease. Raises NotFoundError, or ConflictError for another incarnation."""
        if not self.leases.renew(holder, incarnation, self._now_s()):
            if holder in self._table.sessions:
                raise ConflictError(f"{holder} is in {OTHER_INCARNATION_SIGN} since")
            raise NotFoundError(f"{holder} has no session")
        epochs = {
            claim.name: claim.epoch
            for claim in self._table.claims.values()
            if claim.holder == holder and claim.incarnation == incarnation
        }
        return SessionRenewalResponse(self.version(), epochs)

    def check(self) -> None:
        """End the sessions whose leases have run out, and answer whoever waits."""
        withheld_before = self.leases.withheld
        for session in self.leases.take_overdue(self._now_s()):
            self._expire(session)
        if self.leases.withheld and not withheld_before:
            log.error(
                "ALARM: sessions would run out together, their end is withheld: "
                "overdue=%d sessions=%d withheld_s=%g",
                self.leases.withheld,
                len(self.leases.leases),
                WITHHELD_S,
            )
        self._answer_waiting()

    def _expire(self, session: Session) -> None:
        log.warning("session expired: holder=%s lease_ms=%d", session.id, session.lease_ms)
        self.sessions_expired += 1
        self.leases.forget(session.id)
        self._writes.enqueue_internal(EndSession(session.id, session.incarnation, expired=True))

    # --- what was written ---

    def batch_written(self, writes: Sequence[object], outcomes: Sequence[Outcome]) -> None:
        """Begin and end leases by what is durable, and answer whoever waits for a change."""
        for outcome in outcomes:
            if isinstance(outcome, Session):
                self._follow_session(outcome)
            elif isinstance(outcome, Claim):
                self._follow_claim(outcome)
            elif isinstance(outcome, ConflictError):
                self.writes_refused += 1
        if any(isinstance(outcome, Session | Claim) for outcome in outcomes):
            self._answer_waiting()

    def batch_failed(self, writes: Sequence[object]) -> None:
        """Nothing was changed, and so no lease is."""

    def _follow_session(self, session: Session) -> None:
        if self._table.sessions.get(session.id) == session:
            self.leases.begin(session, self._now_s())
        else:
            self.leases.forget(session.id)

    def _follow_claim(self, claim: Claim) -> None:
        self.claims_taken += bool(claim.holder)
        if claim.suspended:
            log.error("ALARM: claim suspended: claim=%s reason=%s", claim.name, claim.reason)

    # --- metrics ---

    def metrics(self) -> dict[str, float]:
        """Metrics by name, without the registry's prefix."""
        claims = self._table.claims.values()
        return {
            "sessions": len(self._table.sessions),
            "sessions_ended_total": self.sessions_expired,
            "sessions_held": self.leases.withheld,
            "claims": len(claims),
            "claims_taken_total": self.claims_taken,
            "claims_free": sum(not claim.holder for claim in claims),
            "claims_aside": sum(claim.suspended for claim in claims),
            "records": len(self._table.records),
            "refused_total": self.writes_refused,
        }
