"""Policy leases by what their registry says of itself, and a replica's copy by what its upstream answers."""

import json
from collections.abc import Sequence
from types import SimpleNamespace

import pytest

from orchidhatch.control.errors import ConflictError, StoreError, UnavailableError
from orchidhatch.control.http_client import Address, CallResult, HttpResponse, NoResponse
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.ownership.claims import ClaimsTransaction
from orchidhatch.control.ownership.claims_table import ClaimsTable
from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.ownership.writes import ClaimsWrite, PutRecord, RegisterGateway, RemoveGateway
from orchidhatch.control.policy import policy_replication
from orchidhatch.control.policy.gateway_directory import GatewayDirectory
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from orchidhatch.control.policy.policy_handlers import PolicyHandlers
from orchidhatch.control.policy.policy_replication import PolicyReplication
from orchidhatch.control.policy.timing import ABSENT_AFTER_S
from orchidhatch.control.router import Request, Router
from tests.control.policy.helpers import report_of

UPSTREAM = ("127.0.0.1", 8500)
COPY = {
    "records": {"policy.now": "{}", "task.policy": "{}"},
    "doors": [{"name": "a", "life": "a-1", "zone": "a"}, {"name": "b", "life": "b-2", "zone": "b"}],
}


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


@pytest.fixture
def host() -> FakeHost:
    return FakeHost()


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


def test_renewal_is_unavailable_while_peers_are_asked(host: FakeHost) -> None:
    """The registry may have been replaced, and decides nothing either."""
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    host.is_current = False
    with pytest.raises(UnavailableError):
        renew(host, leases, "a")
    host.now_s += ABSENT_AFTER_S
    leases.check()
    assert not host.writes  # nothing is decided meanwhile either
    host.is_current = True
    assert renew(host, leases, "a").status == 200 and len(host.writes) == 1


def test_renewal_at_a_read_only_registry_is_rejected(host: FakeHost) -> None:
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    host.refusal = ConflictError("fenced")
    with pytest.raises(ConflictError, match="fenced"):
        renew(host, leases, "a")
    host.now_s += ABSENT_AFTER_S
    leases.check()
    assert not host.writes


def test_failed_write_of_a_decision_is_repeated(host: FakeHost) -> None:
    host.commit(RegisterGateway(Gateway("a", "a-1", "a")))
    leases = GatewayPolicyLeases(host)
    renew(host, leases, "a")
    leases.check()
    assert len(host.writes) == 1  # one is on its way
    leases.batch_failed([])
    leases.check()
    assert len(host.writes) == 2 and isinstance(host.writes[1], PutRecord)


async def copy_once(host: FakeHost, answer: CallResult, monkeypatch: pytest.MonkeyPatch) -> PolicyReplication:
    """A replica's copy by this answer of its upstream."""

    class StopCopyingError(Exception):
        pass

    async def call(address: Address, method: str, path: str, timeout_s: float) -> CallResult:
        assert (address, method, path) == (UPSTREAM, "GET", "/policy")
        return answer

    async def stop(_: float) -> None:
        raise StopCopyingError

    monkeypatch.setattr(policy_replication, "call", call)
    monkeypatch.setattr(policy_replication.asyncio, "sleep", stop)
    replication = PolicyReplication(host, GatewayDirectory(host))
    with pytest.raises(StopCopyingError):
        await replication.keep_copying(lambda: UPSTREAM)
    return replication


async def test_copy_writes_the_differences_only(host: FakeHost, monkeypatch: pytest.MonkeyPatch) -> None:
    host.commit(
        PutRecord("policy.now", "{}"), PutRecord("policy.past", "1"), PutRecord("task.drain-s-1", "{}")
    )
    host.commit(
        RegisterGateway(Gateway("a", "a-1", "a")),
        RegisterGateway(Gateway("b", "b-1", "b")),
        RegisterGateway(Gateway("c", "c-1", "c")),
    )
    replication = await copy_once(host, HttpResponse(200, COPY, "id 2"), monkeypatch)
    assert host.writes == [
        PutRecord("policy.past", ""),
        PutRecord("task.policy", "{}"),
        RemoveGateway("c"),
        RegisterGateway(Gateway("b", "b-2", "b")),
    ]
    assert replication.last_copied_s == host.now_s


@pytest.mark.parametrize(
    "answer",
    [
        HttpResponse(200, COPY, "id 1"),  # of a term that was replaced
        HttpResponse(503, {"error": "disk"}, "id 2"),
        HttpResponse(200, {"records": {}}, "id 2"),
        NoResponse("refused"),
    ],
)
async def test_copy_of_no_valid_answer_writes_nothing(
    host: FakeHost, answer: CallResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    replication = await copy_once(host, answer, monkeypatch)
    assert not host.writes and replication.last_copied_s < 0


async def test_copy_that_cannot_be_written_does_not_count(
    host: FakeHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    host.disk_error = StoreError("disk full")
    replication = await copy_once(host, HttpResponse(200, COPY, "id 2"), monkeypatch)
    assert replication.last_copied_s < 0
