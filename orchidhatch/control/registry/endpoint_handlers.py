"""Request handlers for endpoints and their leases."""

import logging
from collections.abc import Awaitable, Callable, Coroutine

from orchidhatch.control.errors import ConflictError, NotFoundError
from orchidhatch.control.http_response import Response
from orchidhatch.control.registry.lease_expiry import EndpointLeaseExpiry
from orchidhatch.control.registry.store import Store, check_fence
from orchidhatch.control.registry.write_access import WriteAccess
from orchidhatch.control.registry.write_pipeline import WritePipeline
from orchidhatch.control.responses import (
    EndpointRenewalResponse,
    LeaseExpiryResponse,
    endpoint_response,
)
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import (
    read_change_lifecycle,
    read_endpoint_incarnation,
    read_fence,
    read_register_endpoint,
    read_remove_endpoint,
)

log = logging.getLogger("orchidhatch.registry")

RunSerialized = Callable[[Callable[[], None]], Awaitable[None]]
StartTask = Callable[[Coroutine[None, None, None]], None]


class EndpointHandlers:
    """The request handlers for endpoints and their leases."""

    def __init__(
        self, store: Store, writes: WritePipeline, expiry: EndpointLeaseExpiry, access: WriteAccess
    ) -> None:
        self._store = store
        self._writes = writes
        self._expiry = expiry
        self._access = access

    def add_routes(self, router: Router) -> None:
        """Register the routes of these handlers."""
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
        """Remove overdue endpoints for the owner of this task.

        The registry's own check is suspended while an owner calls regularly.
        """
        fence = read_fence(request.body)
        self._access.check_may_renew()
        check_fence(self._store, fence)
        removal_count = self._expiry.check_for_owner(fence)
        return Response(200, LeaseExpiryResponse(removal_count, self._expiry.leases.withheld))
