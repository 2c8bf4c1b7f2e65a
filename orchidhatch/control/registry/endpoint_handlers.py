"""The requests about endpoints, their leases, backups and promotion."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine

from orchidhatch.control.errors import ConflictError, ControlError, NotFoundError, StoreError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.ownership.claims import ClaimsTransaction
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry.backups import Backups, BackupSummary
from orchidhatch.control.registry.lease_expiry import EndpointLeaseExpiry
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.promotion import Promotion
from orchidhatch.control.registry.store import Store
from orchidhatch.control.registry.write_access import WriteAccess
from orchidhatch.control.registry.write_pipeline import WritePipeline
from orchidhatch.control.responses import (
    EndpointRenewalResponse,
    LeaseExpiryResponse,
    TermResponse,
    endpoint_response,
)
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import (
    read_change_lifecycle,
    read_endpoint_incarnation,
    read_fence,
    read_is_forced,
    read_optional_fence,
    read_register_endpoint,
    read_remove_endpoint,
)

log = logging.getLogger("orchidhatch.registry")

RunInTurn = Callable[[Callable[[], None]], Awaitable[None]]
StartTask = Callable[[Coroutine[None, None, None]], None]


def check_fence(store: Store, fence: Fence | None) -> None:
    """Raise ConflictError unless the claim is current. For what is not a write of its own."""
    ClaimsTransaction(store.claims_table, store.term).check(fence)


class EndpointHandlers:
    """Requests about endpoints and their leases."""

    def __init__(
        self, store: Store, writes: WritePipeline, expiry: EndpointLeaseExpiry, access: WriteAccess
    ) -> None:
        self._store = store
        self._writes = writes
        self._expiry = expiry
        self._access = access

    def add_routes(self, router: Router) -> None:
        """Add all routes of these handlers."""
        router.add("POST", "/entries", self._register)
        router.add("POST", "/entries/{}/lifecycle", self._change_lifecycle)
        router.add("POST", "/entries/{}/renew", self._renew)
        router.add("DELETE", "/entries/{}", self._remove)
        router.add("GET", "/entries/{}", self._get)
        router.add("POST", "/leases/end", self._expire_leases)

    def _register(self, request: Request) -> None:
        self._writes.enqueue(read_register_endpoint(request.body), request.connection)

    def _change_lifecycle(self, request: Request, id_: str) -> None:
        self._writes.enqueue(read_change_lifecycle(id_, request.body), request.connection)

    def _remove(self, request: Request, id_: str) -> None:
        self._writes.enqueue(read_remove_endpoint(id_, request.body), request.connection)

    def _get(self, request: Request, id_: str) -> Response:
        endpoint = self._store.entries.get(id_)
        if endpoint is None:
            raise NotFoundError("not listed")
        return Response(200, endpoint_response(endpoint))

    def _renew(self, request: Request, id_: str) -> Response:
        incarnation = read_endpoint_incarnation(request.body)
        self._access.check_may_renew()
        if not self._expiry.renew(id_, incarnation):
            raise self._renewal_error(id_, incarnation)
        return Response(200, EndpointRenewalResponse(id_, incarnation))

    def _renewal_error(self, id_: str, incarnation: int) -> ConflictError:
        listed = self._store.entries.get(id_)
        if listed is None:
            return NotFoundError(f"{id_:.80} is not listed")
        if not listed.lease_ms:
            return ConflictError(f"{id_} has no lease")
        return ConflictError(f"{id_} is in incarnation {listed.incarnation}, not {incarnation}")

    def _expire_leases(self, request: Request) -> Response:
        """For the owner of this task: the registry's own check rests while one calls."""
        fence = read_fence(request.body)
        self._access.check_may_renew()
        check_fence(self._store, fence)
        removing = self._expiry.check_for_owner(fence)
        return Response(200, LeaseExpiryResponse(removing, self._expiry.leases.withheld))


class TermHandlers:
    """Requests about the registry's term."""

    def __init__(
        self, peer_terms: PeerTermGuard, promotion: Promotion, turn: asyncio.Lock, start_task: StartTask
    ) -> None:
        self._peer_terms = peer_terms
        self._promotion = promotion
        self._turn = turn
        self._start_task = start_task

    def add_routes(self, router: Router) -> None:
        """Add all routes of these handlers."""
        router.add("GET", "/term", self._get_term)
        router.add("POST", "/promote", self._promote)

    def _get_term(self, request: Request) -> Response:
        return Response(200, TermResponse(self._peer_terms.answer_term_query()))

    def _promote(self, request: Request) -> None:
        is_forced = read_is_forced(request.body)
        self._start_task(self._answer_promotion(request.connection, is_forced))

    async def _answer_promotion(self, connection: Connection, is_forced: bool) -> None:
        upstream_may_run = not is_forced and await self._promotion.upstream_may_run()
        try:
            async with self._turn:  # nothing that was replicated is half way to the disk
                response = self._promotion.promote(is_forced, upstream_may_run)
        except ControlError as error:
            connection.fail(error)
        else:
            connection.answer(Response(200, response))


class BackupHandlers:
    """Requests for backups of the store. `backups` is None where no folder was given."""

    def __init__(self, store: Store, run_in_turn: RunInTurn, start_task: StartTask) -> None:
        self.backups: Backups | None = None
        self._store = store
        self._run_in_turn = run_in_turn
        self._start_task = start_task

    def add_routes(self, router: Router) -> None:
        """Add all routes of these handlers."""
        router.add("POST", "/backup", self._back_up)

    def _back_up(self, request: Request) -> None:
        fence = read_optional_fence(request.body)
        self._start_task(self._answer_backup(request.connection, fence))

    async def _answer_backup(self, connection: Connection, fence: Fence | None) -> None:
        try:
            summary = await self._create_backup(fence)
        except ControlError as error:
            if isinstance(error, StoreError):
                log.error("backup failed: reason=%s", error)
            connection.fail(error)
        else:
            connection.answer(Response(200, summary))

    async def _create_backup(self, fence: Fence | None) -> BackupSummary:
        """A summary of the backup. Raises ConflictError or StoreError."""
        backups = self.backups
        if backups is None:
            raise ConflictError("it was given no folder for backups")
        summaries: list[BackupSummary] = []

        def check_and_copy() -> None:
            check_fence(self._store, fence)  # no write comes between this and the copy
            summaries.append(backups.create(self._store))

        await self._run_in_turn(check_and_copy)
        return summaries[0]

    def metrics(self) -> dict[str, float]:
        """Metrics by name, without the registry's prefix."""
        if self.backups is None:
            return {}
        return {"backups_total": self.backups.completed, "backups_failed_total": self.backups.failed}
