"""A registry in memory, as its policy leases see it, and renewals at it."""

import json
from collections.abc import Sequence
from types import SimpleNamespace

from orchidhatch.control.errors import ConflictError, StoreError, UnavailableError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.ownership.claims import ClaimsTransaction
from orchidhatch.control.ownership.claims_table import ClaimsTable
from orchidhatch.control.ownership.writes import ClaimsWrite
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from orchidhatch.control.policy.policy_handlers import PolicyHandlers
from orchidhatch.control.router import Request, Router
from tests.control.policy.helpers import report_of


class FakeHost:
    """A registry of term 2, which notes what is to be written."""

    def __init__(self) -> None:
        self.store = SimpleNamespace(claims_table=ClaimsTable(), term=2)
        self.refusal: ConflictError | None = None
        self.is_current = True
        self.disk_error: StoreError | None = None
        self.now_s = 100.0
        self.writes: list[ClaimsWrite] = []

    def commit(self, *writes: ClaimsWrite) -> None:
        transaction = ClaimsTransaction(self.store.claims_table, self.store.term)
        for write in writes:
            transaction.write(write)
        self.store.claims_table.apply(transaction.changed, transaction.last_change)

    def clock(self) -> float:
        return self.now_s

    def accepts_writes(self) -> bool:
        return self.refusal is None

    def may_decide(self) -> bool:
        return self.accepts_writes() and self.is_current

    def check_may_renew(self) -> None:
        if self.refusal:
            raise self.refusal
        if not self.is_current:
            raise UnavailableError("it asks its peers first")

    def enqueue(self, write: ClaimsWrite, connection: Connection) -> None:
        self.writes.append(write)

    def enqueue_internal(self, write: ClaimsWrite) -> bool:
        self.writes.append(write)
        return True

    async def write_aside(self, writes: Sequence[ClaimsWrite]) -> None:
        if self.disk_error:
            raise self.disk_error
        self.writes += writes


class FakeConnection:
    """Keeps the response that it was answered with."""

    def __init__(self) -> None:
        self.response: Response | None = None

    def answer(self, response: Response) -> None:
        self.response = response


def renew(host: FakeHost, leases: GatewayPolicyLeases, gateway: str) -> Response:
    """The response to a renewal; raises what the handler raises."""
    router = Router()
    PolicyHandlers(leases, host).add_routes(router)
    connection = FakeConnection()
    body = json.dumps(report_of(gateway)).encode()
    assert router.dispatch(Request("POST", ("doors", gateway, "renew"), "", body, connection))
    return connection.response
