"""Forwards management calls of controllers to the gateway on the same machine.

A call that changes something is fenced: it names the claim under which it is made, the claim's epoch, and its
own number among that claim's calls. Calls are executed one at a time, so that no other call takes effect
between the check of a call's fence and its effect.
"""

import asyncio
import logging
import sqlite3
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec

from orchidhatch.control.agent.fence_table import FenceTable, StaleCallError
from orchidhatch.control.agent.gateway_client import GATEWAY_TIMEOUT_S
from orchidhatch.control.errors import ConflictError, ControlError, NotFoundError, UnavailableError
from orchidhatch.control.http_client import Address, HttpResponse, NoResponse, call
from orchidhatch.control.http_response import Response, error_response, term_of
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry.replication import Replicator

log = logging.getLogger("orchidhatch.gateway_calls")

FENCED_CALLS = {("backends", "maint"), ("backends", "ready"), ("healthcheck", "fail"), ("healthcheck", "ok")}
QUERIES = {"stats", "healthcheck"}  # read-only, so they need no fence
MAX_QUEUED_CALLS = 100
CLAIM_HEADER = "Orchidhatch-Claim"  # for the gateway's log only


@dataclass(frozen=True, slots=True)
class FencedCall:
    """A management call: its path, the claim and epoch, and its number among that claim's calls."""

    path: tuple[str, ...]
    fence: Fence
    call_number: int

    @property
    def subject(self) -> str:
        """The object of the call, such as one backend. Each subject's calls are numbered separately."""
        return "/".join(self.path[:-1])

    def is_known(self) -> bool:
        """Return whether gateways support this call."""
        return len(self.path) in (2, 3) and (self.path[0], self.path[-1]) in FENCED_CALLS


class GatewayAnswer(msgspec.Struct):
    """The body of a gateway's response, as the agent returns it to its callers."""

    body: Any = msgspec.field(name="door")


class ClaimEpoch(msgspec.Struct):
    """The fields that are needed of a claim in the registry's list."""

    name: str
    epoch: int


class ClaimList(msgspec.Struct):
    """The registry's list of claims."""

    claims: list[ClaimEpoch]


class GatewayCalls:
    """The calls to one gateway, and the fence table that they are checked against."""

    def __init__(self, fences: FenceTable, replicator: Replicator, gateway: Address) -> None:
        self.fences = fences
        self._replicator = replicator
        self.gateway = gateway
        """Where the calls go; the lease holder changes it when the gateway's process is replaced."""
        self._lock = asyncio.Lock()
        self._queued = 0
        self._executed = 0
        self._fenced_off = 0
        self._refused_uninitialized = 0

    async def query(self, name: str) -> Response:
        """Return the gateway's response to a query, with the gateway's status."""
        try:
            if name not in QUERIES:
                raise NotFoundError("no such question")
            result = await call(self.gateway, "GET", f"/{name}", timeout_s=GATEWAY_TIMEOUT_S)
            answer = require_answer(result)
        except ControlError as error:
            return error_response(error)
        return encode_answer(answer.status, answer)

    async def forward(self, fenced_call: FencedCall) -> Response:
        """Execute a call after the calls queued before it, unless its fence is stale."""
        try:
            if not fenced_call.is_known():
                raise NotFoundError("no such act")
            if self._queued >= MAX_QUEUED_CALLS:
                raise UnavailableError("too many gateway calls are queued; retry later")
            self._queued += 1
            try:
                async with self._lock:
                    return await self.execute(fenced_call)
            finally:
                self._queued -= 1
        except ControlError as error:
            return error_response(error)

    async def execute(self, fenced_call: FencedCall) -> Response:
        """Check and record the fence, then send the call. Raises ControlError if the call is refused."""
        await self._initialize_fences()
        subject = fenced_call.subject
        try:
            self.fences.check(fenced_call.fence, subject, fenced_call.call_number)
        except StaleCallError as error:
            self._fenced_off += 1
            raise ConflictError(str(error)) from error
        if self.fences.is_full():
            raise UnavailableError("the fence table of the agent is full")
        try:
            await self.fences.record(fenced_call.fence, subject, fenced_call.call_number)
        except sqlite3.Error as error:
            raise UnavailableError(f"cannot save the epoch: {error}") from error
        answer = require_answer(await self._send(fenced_call))
        if not 200 <= answer.status < 300:
            return encode_answer(answer.status, answer)
        self._executed += 1
        return encode_answer(int(HTTPStatus.OK), answer)

    def metrics(self) -> dict[str, float]:
        """Return the values of the metrics by their names on /metrics."""
        return {
            "door_acts_total": self._executed,
            "door_late_total": self._fenced_off,
            "door_unknown_total": self._refused_uninitialized,
            "door_acts_waiting": self._queued,
        }

    async def _send(self, fenced_call: FencedCall) -> HttpResponse | NoResponse:
        target = "/" + "/".join(quote(segment, safe="") for segment in fenced_call.path)
        fence = fenced_call.fence
        headers = {CLAIM_HEADER: f"{fence.claim} {fence.epoch} {fenced_call.call_number}"}
        return await call(self.gateway, "POST", target, timeout_s=GATEWAY_TIMEOUT_S, headers=headers)

    async def _initialize_fences(self) -> None:
        """Fetch the epochs from a registry unless that was done. Raises UnavailableError if that fails."""
        if self.fences.initialized:
            return
        epochs = await self._fetch_epochs()
        if epochs is not None:
            try:
                await self.fences.initialize(epochs)
            except sqlite3.Error as error:
                log.error("epochs not saved: error=%s", error)
        if not self.fences.initialized:
            self._refused_uninitialized += 1
            raise UnavailableError(
                "the agent does not know the claims' epochs, and no registry provides them"
            )

    async def _fetch_epochs(self) -> dict[str, int] | None:
        """Return the epochs by claim, None if the registry fails or its term is behind the replicated one."""
        registry = self._replicator.upstream_address
        result = await call(registry, "GET", "/claims", timeout_s=GATEWAY_TIMEOUT_S)
        if not result.ok or term_of(result.store_name) < self._replicator.highest_term():
            return None
        try:
            claims = msgspec.convert(result.value, ClaimList).claims
        except msgspec.ValidationError as error:
            log.error("claims not understood: registry=%s error=%s", self._replicator.upstream, error)
            return None
        return {claim.name: claim.epoch for claim in claims}


def require_answer(result: HttpResponse | NoResponse) -> HttpResponse:
    """Return the gateway's response. Raises UnavailableError if there was none."""
    if isinstance(result, NoResponse):
        raise UnavailableError(f"the gateway does not respond: {result.reason}")
    return result


def encode_answer(status: int, answer: HttpResponse) -> Response:
    """Return a response that contains the body of the gateway's response."""
    return Response(status, msgspec.to_builtins(GatewayAnswer(answer.value)))
