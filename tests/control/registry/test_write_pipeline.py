"""The way of a write: its queue, group commit and acknowledgement."""

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest

from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.registry import write_pipeline
from orchidhatch.control.registry.peer_terms import ReplacingPeer
from orchidhatch.control.schemas import read_register_endpoint
from tests.control.agent.helpers import register_endpoint
from tests.control.registry.helpers import address_of, call, lifecycles_by_id, raw, serving
from tests.control.test_schemas import body
from tests.sockets import HOST


async def test_concurrent_writes_are_committed_in_groups(path: Path) -> None:
    async with serving(path) as registry:
        at = address_of(registry)
        calls = [call(at, "POST /entries", body(instanceId=f"s-{number}")) for number in range(60)]
        answers = await asyncio.gather(*calls)
        assert [status for status, _ in answers] == [200] * 60
        assert sorted(made["version"] for _, made in answers) == list(range(1, 61))
        assert registry.writes.writes == 60 and registry.writes.batches < 60
        text = (await call(at, "GET /metrics"))[1]
        assert "\nregistry_writes_total 60\n" in text and "registry_generation 60\n" in text


async def test_write_of_a_departed_client_is_dropped(path: Path) -> None:
    async with serving(path) as registry:
        gone, stays = [Connection(registry) for _ in range(2)]
        for connection, closing in ((gone, True), (stays, False)):
            connection.transport = type(
                "Transport",
                (),
                {
                    "is_closing": lambda self, closing=closing: closing,
                    "write": lambda self, data: None,
                    "close": lambda self: None,
                },
            )()
            name = "s-gone" if closing else "s-stays"
            registry.writes.enqueue(read_register_endpoint(body(instanceId=name)), connection)
        while not registry.writes.writes:
            await asyncio.sleep(0.001)
        assert list(registry.store.entries) == ["s-stays"] and registry.writes.rejected_writes == 1


async def test_write_to_a_full_queue_gets_retry_after(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_pipeline, "MAX_QUEUED_WRITES", 0)
    async with serving(path) as registry:
        head = f"POST /entries HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body())}\r\n\r\n".encode()
        status, headers, _ = await raw(address_of(registry), head + body())
        assert status == 503 and 1 <= int(headers["retry-after"]) <= 5


async def test_failing_disk_rejects_writes_and_reads_go_on(path: Path) -> None:
    async with serving(path) as registry:
        at = address_of(registry)
        await call(at, "POST /entries", body(instanceId="s-1"))
        registry.store.db.execute("PRAGMA query_only = 1")
        status, response = await call(at, "POST /entries", body(instanceId="s-2"))
        assert status == 503 and "readonly" in response["error"]
        assert (await call(at, "GET /healthcheck"))[0] == 503
        assert lifecycles_by_id((await call(at, "GET /catalog/members"))[1]) == {"s-1": "SERVING"}
        registry.store.db.execute("PRAGMA query_only = 0")
        assert (await call(at, "POST /entries", body(instanceId="s-2")))[1]["version"] == 2
        assert (await call(at, "GET /healthcheck"))[0] == 200


class FakeClient:
    """A connection that keeps the response it is answered with."""

    is_closing = False

    def __init__(self) -> None:
        self.response: Response | None = None

    def answer(self, response: Response) -> None:
        self.response = response


class RecordingObserver:
    """Notes what it is notified of, and whether the client was answered by then."""

    def __init__(self, client: FakeClient) -> None:
        self.client = client
        self.events: list[tuple[str, bool]] = []

    def batch_written(self, writes: object, outcomes: object) -> None:
        self.events.append(("written", self.client.response is not None))

    def batch_failed(self, writes: object) -> None:
        self.events.append(("failed", self.client.response is not None))


async def test_observers_are_notified_before_the_client(path: Path) -> None:
    async with serving(path) as registry:
        client = FakeClient()
        observer = RecordingObserver(client)
        registry.writes.observers.append(observer)
        registry.writes.enqueue(read_register_endpoint(body()), client)
        while client.response is None:
            await asyncio.sleep(0.001)
        assert client.response.status == 200 and observer.events == [("written", False)]


async def test_write_fenced_during_its_commit_is_rejected(
    path: Path,
) -> None:
    async with serving(path) as registry:
        checks = 0

        async def fenced_at_the_second_check() -> bool:
            nonlocal checks
            checks += 1
            if checks == 2:
                registry.peer_terms.replaced_by = ReplacingPeer((HOST, 1), 2)
            return checks < 2

        registry.peer_terms.ensure_current = fenced_at_the_second_check
        client = FakeClient()
        registry.writes.enqueue(read_register_endpoint(body()), client)
        while client.response is None:
            await asyncio.sleep(0.001)
        assert client.response.status == 409 and "fenced" in client.response.value.error
        assert registry.writes.writes == 1  # it is durable, but nobody may rely on it


async def test_observers_learn_of_a_batch_rejected_early(tmp_path: Path) -> None:
    async with serving(tmp_path / "r.db") as registry:
        failed: list[object] = []
        registry.writes.observers.append(
            SimpleNamespace(batch_written=lambda *_: None, batch_failed=failed.extend)
        )
        registry.peer_terms.replaced_by = ReplacingPeer(("127.0.0.1", 1), 9)
        registry.writes._access.check_writable = lambda: None
        status, _ = await call(address_of(registry), "POST /entries", body(instanceId="s-1"))
        assert status == 409 and len(failed) == 1


async def test_unexpected_error_fails_one_batch_only(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """As where no thread can be started, which is no error of the store."""
    async with serving(tmp_path / "r.db") as registry:
        run_serialized = registry.writes._run_serialized

        async def fail(work: object) -> None:
            registry.writes._run_serialized = run_serialized
            raise RuntimeError("can't start new thread")

        registry.writes._run_serialized = fail
        status, response = await call(address_of(registry), "POST /entries", body(instanceId="s-1"))
        assert status == 503 and "can't start new thread" in response["error"]
        await register_endpoint(registry, "s-2")
        assert list(registry.store.entries) == ["s-2"]
