"""What follows from the replies that a task's actions get."""

from http import HTTPStatus
from typing import Any

import pytest

from orchidhatch.control.controller import gateway_fleet_client
from orchidhatch.control.controller.drain import Drain
from orchidhatch.control.controller.errors import FencedError, StaleRecordError, StepPostponedError
from orchidhatch.control.controller.gateway_fleet_client import GatewayFleetClient
from orchidhatch.control.controller.registry_api import RegistryApi
from orchidhatch.control.controller.session import Session
from orchidhatch.control.controller.shards import SHARDS, OwnedShards
from orchidhatch.control.controller.task import GatewayCommand
from orchidhatch.control.controller.task_context import ClaimContext
from orchidhatch.control.controller.task_records import DrainEnd, new_drain
from orchidhatch.control.http_client import Address, CallResult, HttpResponse, NoResponse

AGENTS = [("127.0.0.1", 7100), ("127.0.0.1", 7101)]
EPOCH = 3 << 32 | 7


class FakeRegistryClient:
    """Gives the same reply to each request, and notes them."""

    def __init__(self, reply: CallResult) -> None:
        self.reply = reply
        self.requests: list[tuple[str, str, Any]] = []

    async def call(self, method: str, path: str, body: object = None) -> CallResult:
        self.requests.append((method, path, body))
        return self.reply


def context_with(client: FakeRegistryClient, owned_epoch: int = EPOCH) -> ClaimContext:
    registry = RegistryApi(client)
    owned = OwnedShards()
    owned.add(SHARDS[0], owned_epoch)
    session = Session("controller-1", registry, owned, clock=lambda: 0.0)
    session.valid_until_s = 1.0
    return ClaimContext(SHARDS[0], EPOCH, session, owned, registry, GatewayFleetClient(AGENTS), {})


def new_task() -> Drain:
    return Drain("task.drain-s-1", 41, new_drain("s-1", 0, DrainEnd.REMOVE))


async def test_write_names_the_claim_and_its_epoch() -> None:
    client = FakeRegistryClient(HttpResponse(HTTPStatus.OK, {}))
    assert (await context_with(client).set_lifecycle("s-1", "DRAINING")).ok
    fenced = {"claim": SHARDS[0], "epoch": EPOCH, "lifecycle": "DRAINING"}
    assert client.requests == [("POST", "/entries/s-1/lifecycle", fenced)]


async def test_write_under_a_lost_claim_raises_fenced() -> None:
    error = {"error": f"claim {SHARDS[0]} is at epoch 9, not 7"}
    context = context_with(FakeRegistryClient(HttpResponse(HTTPStatus.CONFLICT, error)))
    with pytest.raises(FencedError, match="at epoch 9"):
        await context.remove_endpoint("s-1")


@pytest.mark.parametrize(
    "reply", [NoResponse("refused"), HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "disk"})]
)
async def test_request_without_a_registry_postpones_the_step(reply: CallResult) -> None:
    context = context_with(FakeRegistryClient(reply))
    with pytest.raises(StepPostponedError):
        await context.create_backup()
    with pytest.raises(StepPostponedError):
        await context.read_record("r")


async def test_write_at_another_epoch_is_not_sent() -> None:
    client = FakeRegistryClient(HttpResponse(HTTPStatus.OK, {}))
    with pytest.raises(StepPostponedError):
        await context_with(client, owned_epoch=EPOCH + 1).expire_leases()
    assert not client.requests


async def test_save_over_a_newer_record_raises_stale() -> None:
    """The write names the version that was read."""
    error = {"error": "record task.drain-s-1 is at version 42, not 41"}
    client = FakeRegistryClient(HttpResponse(HTTPStatus.CONFLICT, error))
    with pytest.raises(StaleRecordError, match="at version 42"):
        await context_with(client).save(new_task())
    [(_, path, body)] = client.requests
    assert path == "/records/task.drain-s-1" and body["ifVersion"] == 41


async def test_save_keeps_the_new_version() -> None:
    stored = {"name": "task.drain-s-1", "text": "{}", "version": 57}
    task = new_task()
    await context_with(FakeRegistryClient(HttpResponse(HTTPStatus.OK, stored))).save(task)
    assert task.version == 57 and task.record.message == ""


async def test_commands_carry_a_number_and_name_failures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls: list[tuple[Address, str, str, Any]] = []

    async def call(agent: Address, method: str, path: str, body: Any, timeout_s: float) -> CallResult:  # noqa: ANN401
        calls.append((agent, method, path, body))
        return HttpResponse(HTTPStatus.OK, {}) if agent == AGENTS[0] else NoResponse("refused")

    monkeypatch.setattr(gateway_fleet_client, "call", call)
    context = context_with(FakeRegistryClient(NoResponse("unused")))
    missing = await context.command_gateways(new_task(), "s-1", GatewayCommand.WITHDRAW)
    assert missing == ["127.0.0.1:7101"]
    fenced = {"claim": SHARDS[0], "epoch": EPOCH, "act": 3 << 32 | 41}
    assert calls == [(agent, "POST", "/door/backends/s-1/maint", fenced) for agent in AGENTS]


async def test_command_raises_fenced_at_a_later_epoch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def call(agent: Address, *_: object) -> CallResult:
        return HttpResponse(HTTPStatus.CONFLICT, {"error": f"claim {SHARDS[0]} is at epoch 9 here, not 7"})

    monkeypatch.setattr(gateway_fleet_client, "call", call)
    context = context_with(FakeRegistryClient(NoResponse("unused")))
    with pytest.raises(FencedError, match=r"127\.0\.0\.1:710"):
        await context.command_gateways(new_task(), "s-1", GatewayCommand.RESTORE)


async def test_command_after_a_later_one_only_names_agents(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def call(agent: Address, *_: object) -> CallResult:
        return HttpResponse(HTTPStatus.CONFLICT, {"error": "act 5 on backends/s-1 comes after 6"})

    monkeypatch.setattr(gateway_fleet_client, "call", call)
    context = context_with(FakeRegistryClient(NoResponse("unused")))
    missing = await context.command_gateways(new_task(), "s-1", GatewayCommand.RESTORE)
    assert missing == ["127.0.0.1:7100", "127.0.0.1:7101"]
