"""Sessions and claims of one registry: session leases, requests that wait for changes, and metrics.

Session leases are measured by the monotonic clock and restart with the process. If most sessions would expire
at about the same time, a failure of the network or of this registry is the likely cause, so their expiry is
withheld for a limited time.
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

# How long a mass expiry of sessions is withheld: about one more lease.
MAX_WITHHELD_S = 10.0
SESSION_EXPIRY_LIMIT = MassExpiryLimit(share=0.5, few=2, withheld_s=MAX_WITHHELD_S)


class InternalWriter(Protocol):
    """The part of the write pipeline that this service uses."""

    def enqueue_internal(self, write: ClaimsWrite) -> bool:
        """Queue a write of the registry itself, and return whether it was queued."""


class OwnershipService:
    """The sessions and claims of one registry."""

    def __init__(self, store: Store, writes: InternalWriter, now_s: Callable[[], float]) -> None:
        self.claims_taken = 0
        self.writes_refused = 0
        self.sessions_expired = 0
        self._store = store
        self._table = store.claims_table
        self._writes = writes
        self._now_s = now_s
        self._waiting_connections: set[Connection] = set()  # answered after the next change or check
        self.restart()

    def restart(self) -> None:
        """Restart all leases, because no holder could renew its lease here before."""
        self.leases = LeaseTable(self._table.sessions.values(), self._now_s(), SESSION_EXPIRY_LIMIT)

    # --- reads ---

    def version(self) -> str:
        """Return the version of the sessions and claims.

        It includes the store's identity and term, as a promoted or rebuilt store starts another change count.
        """
        return f"{self._store.identity}-{self._store.term}-{self._table.last_change}"

    def snapshot(self) -> OwnershipResponse:
        """Return all sessions and claims."""
        sessions = [session_response(session) for session in self._table.sessions.values()]
        return OwnershipResponse(self.version(), sessions, list(self._table.claims.values()))

    def answer_after(self, connection: Connection, known_version: str) -> None:
        """Send a snapshot once the version differs from the known one, or at the next check."""
        if known_version != self.version():
            connection.answer(Response(200, self.snapshot()))
        else:
            self._waiting_connections.add(connection)

    def _answer_waiting(self) -> None:
        connections = self._waiting_connections
        self._waiting_connections = set()
        response = Response(200, self.snapshot()) if connections else None
        for connection in connections:
            connection.answer(response)

    # --- leases ---

    def renew(self, holder: str, incarnation: str) -> SessionRenewalResponse:
        """Renew a session's lease and return the epochs of its claims.

        Raises NotFoundError if there is no such session, ConflictError if it has another incarnation.
        """
        if not self.leases.renew(holder, incarnation, self._now_s()):
            if holder in self._table.sessions:
                raise ConflictError(f"the session {holder} now belongs to {OTHER_INCARNATION_SIGN}")
            raise NotFoundError(f"{holder} has no session")
        epochs = {
            claim.name: claim.epoch
            for claim in self._table.claims.values()
            if claim.holder == holder and claim.incarnation == incarnation
        }
        return SessionRenewalResponse(self.version(), epochs)

    def check(self) -> None:
        """End the sessions whose leases have expired, and answer all waiting requests."""
        withheld_before = self.leases.withheld
        for session in self.leases.take_overdue(self._now_s()):
            self._expire(session)
        if self.leases.withheld and not withheld_before:
            log.error(
                "ALARM: mass expiry of sessions withheld: overdue=%d sessions=%d withheld_s=%g",
                self.leases.withheld,
                len(self.leases.leases),
                MAX_WITHHELD_S,
            )
        self._answer_waiting()

    def _expire(self, session: Session) -> None:
        log.warning("session expired: holder=%s lease_ms=%d", session.id, session.lease_ms)
        self.sessions_expired += 1
        self.leases.forget(session.id)
        self._writes.enqueue_internal(EndSession(session.id, session.incarnation, expired=True))

    # --- completed writes ---

    def batch_written(self, writes: Sequence[object], outcomes: Sequence[Outcome]) -> None:
        """Update leases after a durable batch, and answer waiting requests if sessions or claims changed."""
        for outcome in outcomes:
            if isinstance(outcome, Session):
                self._session_written(outcome)
            elif isinstance(outcome, Claim):
                self._claim_written(outcome)
            elif isinstance(outcome, ConflictError):
                self.writes_refused += 1
        if any(isinstance(outcome, Session | Claim) for outcome in outcomes):
            self._answer_waiting()

    def batch_failed(self, writes: Sequence[object]) -> None:
        """Do nothing: a failed batch changed no session and so no lease."""

    def _session_written(self, session: Session) -> None:
        if self._table.sessions.get(session.id) == session:
            self.leases.begin(session, self._now_s())
        else:
            self.leases.forget(session.id)

    def _claim_written(self, claim: Claim) -> None:
        self.claims_taken += bool(claim.holder)
        if claim.suspended:
            log.error("ALARM: claim suspended: claim=%s reason=%s", claim.name, claim.reason)

    # --- metrics ---

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name, without the registry's prefix."""
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
