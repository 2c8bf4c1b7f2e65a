"""A replica's copy of the policies by what its upstream answers."""

import pytest

from orchidhatch.control.errors import StoreError
from orchidhatch.control.http_client import Address, CallResult, HttpResponse, NoResponse
from orchidhatch.control.ownership.objects import Gateway
from orchidhatch.control.ownership.writes import PutRecord, RegisterGateway, RemoveGateway
from orchidhatch.control.policy import policy_replication
from orchidhatch.control.policy.gateway_directory import GatewayDirectory
from orchidhatch.control.policy.policy_replication import PolicyReplication
from tests.control.policy.fake_host import FakeHost

UPSTREAM = ("127.0.0.1", 8500)
COPY = {
    "records": {"policy.now": "{}", "task.policy": "{}"},
    "doors": [{"name": "a", "life": "a-1", "zone": "a"}, {"name": "b", "life": "b-2", "zone": "b"}],
}


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
