"""HTTP request handlers for sessions, claims and records."""

from typing import Protocol

from orchidhatch.control.errors import NotFoundError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.ownership.claims_table import ClaimsTable
from orchidhatch.control.ownership.service import OwnershipService
from orchidhatch.control.ownership.writes import ClaimsWrite, EndSession
from orchidhatch.control.responses import RecordsResponse
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import (
    read_open_session,
    read_put_record,
    read_release_claim,
    read_session_incarnation,
    read_suspend_claim,
    read_take_claim,
)


class WriteQueue(Protocol):
    """The part of the write pipeline that these handlers use."""

    def enqueue(self, write: ClaimsWrite, connection: Connection | None) -> None:
        """Queue a write whose outcome is sent to the connection."""


class RenewalAccess(Protocol):
    """The part of the write access control that these handlers use."""

    def check_may_renew(self) -> None:
        """Raise ConflictError or UnavailableError if leases may not be renewed."""


class OwnershipHandlers:
    """The request handlers of one registry."""

    def __init__(
        self, table: ClaimsTable, service: OwnershipService, writes: WriteQueue, access: RenewalAccess
    ) -> None:
        self._table = table
        self._service = service
        self._writes = writes
        self._access = access

    def add_routes(self, router: Router) -> None:
        """Add the routes of this module to a router."""
        router.add("POST", "/sessions", self._open_session)
        router.add("POST", "/sessions/{}/renew", self._renew_session)
        router.add("DELETE", "/sessions/{}", self._end_session)
        router.add("GET", "/claims", self._get_claims)
        router.add("GET", "/claims/after/{}", self._wait_for_claims)
        router.add("POST", "/claims/{}/take", self._take_claim)
        router.add("POST", "/claims/{}/give", self._release_claim)
        router.add("POST", "/claims/{}/hold", self._suspend_claim)
        router.add("GET", "/records", self._get_records)
        router.add("GET", "/records/{}", self._get_record)
        router.add("POST", "/records/{}", self._put_record)

    # --- sessions ---

    def _open_session(self, request: Request) -> None:
        self._writes.enqueue(read_open_session(request.body), request.connection)

    def _renew_session(self, request: Request, holder: str) -> Response:
        incarnation = read_session_incarnation(request.body)
        self._access.check_may_renew()
        return Response(200, self._service.renew(holder, incarnation))

    def _end_session(self, request: Request, holder: str) -> None:
        write = EndSession(holder, read_session_incarnation(request.body))
        self._writes.enqueue(write, request.connection)

    # --- claims ---

    def _get_claims(self, request: Request) -> Response:
        return Response(200, self._service.snapshot())

    def _wait_for_claims(self, request: Request, known_version: str) -> None:
        self._service.answer_after(request.connection, known_version)

    def _take_claim(self, request: Request, claim: str) -> None:
        self._writes.enqueue(read_take_claim(claim, request.body), request.connection)

    def _release_claim(self, request: Request, claim: str) -> None:
        self._writes.enqueue(read_release_claim(claim, request.body), request.connection)

    def _suspend_claim(self, request: Request, claim: str) -> None:
        self._writes.enqueue(read_suspend_claim(claim, request.body), request.connection)

    # --- records ---

    def _get_records(self, request: Request) -> Response:
        return Response(200, RecordsResponse(list(self._table.records.values())))

    def _get_record(self, request: Request, name: str) -> Response:
        record = self._table.records.get(name)
        if record is None:
            raise NotFoundError("there is no record of that name")
        return Response(200, record)

    def _put_record(self, request: Request, name: str) -> None:
        self._writes.enqueue(read_put_record(name, request.body), request.connection)
