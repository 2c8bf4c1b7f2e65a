"""The gateway over loopback sockets: a request from client to backend and back."""

import asyncio
import logging
import time
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import Action, SendAttempt, SetTimer
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.events import AttemptEnded, ClientGone, Event, Request, TimerExpired
from orchidhatch.proxy import process_lifecycle
from orchidhatch.proxy.server import GatewayServer
from tests.sockets import (
    CONFIG,
    CUSTOMER,
    SETTINGS,
    Backend,
    Client,
    front_door,
    query,
    refusing_address,
    resp,
    run,
    submit,
    value,
)


async def test_value_is_forwarded_byte_for_byte() -> None:
    body = bytes(range(256)) * 256  # 64 KiB, with line ends and nulls in it
    backend = Backend(lambda arguments: value(body))
    async with front_door(backend) as (_, address):
        client = await Client.open(address)
        assert await client.ask(submit("a1", body=body)) == body
        assert backend.commands[0][4] == body


async def test_only_the_wait_field_is_rewritten() -> None:
    backend = Backend()
    async with front_door(backend) as (_, address):
        client = await Client.open(address)
        fields = "c=settle,r=1,kd=7,d=3000,t=team,k=5c0f,new=1,units=2,spread=2,first=1"
        assert await client.ask(resp("SVC.SUBMIT", CUSTOMER, "a1", fields, "B")) == b"ok"
        name, customer, request_id, sent, body = backend.commands[0]
        assert (name, customer, request_id, body) == (b"SVC.SUBMIT", CUSTOMER.encode(), b"a1", b"B")
        head, _, tail = fields.partition("d=3000")
        assert sent.startswith(head.encode()) and sent.endswith(tail.encode())
        assert 2000 < int(sent.decode().removeprefix(head).removesuffix(tail)[2:]) < 3000


async def test_rejection_by_a_backend_is_never_forwarded() -> None:
    backend = Backend(lambda arguments: b"-BUSY 123456\r\n")
    async with front_door(backend) as (_, address):
        client = await Client.open(address)
        assert await client.ask(submit("a1")) == "-BUSY 750"
        assert len(backend.commands) == SETTINGS.max_attempts  # it is known that none of them ran


@pytest.mark.parametrize(
    ("delay_us", "answer"), [(0, "-BUSY"), (1, "-BUSY 1"), (1000, "-BUSY 1"), (1001, "-BUSY 2")]
)
async def test_time_to_retry_is_rounded_up(delay_us: int, answer: str) -> None:
    """Guards against no time, or one that is over too soon, for a delay that is no whole number of ms."""
    backend = Backend(lambda arguments: b"-BUSY\r\n")
    settings = replace(SETTINGS, max_retry_after_us=delay_us)
    async with front_door(backend, settings=settings) as (_, address):
        client = await Client.open(address)
        assert await client.ask(submit("a1")) == answer


ODD_ANSWERS = [b"-ERR failed util=0.5\r\n", b"-ODD\r\n", b"", b"$-1\r\n", b"+OK\r\n", b"?"]


@pytest.mark.parametrize("answer", ODD_ANSWERS)
async def test_unsafe_request_that_may_have_run_is_sent_once(answer: bytes) -> None:
    backend = Backend(lambda arguments: answer)
    async with front_door(backend) as (_, address):
        client = await Client.open(address)
        assert await client.ask(submit("a1")) == "-ERR failed"
        assert len(backend.commands) == 1


async def test_unsafe_request_is_retried_after_a_refused_dial() -> None:
    backend = Backend()
    dead = [refusing_address() for _ in range(6)]
    async with front_door(backend, addresses=dead, settings=replace(SETTINGS, max_attempts=9)) as (_, at):
        client = await Client.open(at)
        assert await client.ask(submit("a1")) == b"ok"


async def test_request_is_answered_once_within_its_time() -> None:
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(submit("a1", wait_ms=300))
        while "a1" not in gateway.requests.open:
            await asyncio.sleep(0)
        # Its timer ends it at the latest, should the core not do so before.
        exchange = gateway.requests.open["a1"]
        assert exchange.timer.when() < exchange.arrived_us / 1e6 + 0.3
        assert await client.answer() == "-ERR failed"
        await backend.left.wait()  # the attempt was given up by closing its connection
        assert await client.ask(resp("PING")) == b"PONG"  # nothing else came in between
        requests = gateway.requests
        assert not requests.open and not requests.ended and requests.open_command_bytes == 0


async def test_client_that_leaves_ends_its_attempt() -> None:
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        client.writer.close()
        await backend.left.wait()
        assert not gateway.requests.open and not gateway.core.requests


async def test_duplicate_id_gets_an_error() -> None:
    """The first request with the id goes on."""
    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (_, address):
        client, other = await Client.open(address), await Client.open(address)
        client.send(query("a1"))
        await backend.came.wait()
        assert await other.ask(query("a1")) == "-ERR this id is in use"
        backend.writers[0].write(value(b"late"))
        assert await client.answer() == b"late"


def test_exception_in_the_core_fails_one_request(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (gateway, address):
            handle = gateway.core.handle

            def broken(now: int, event: Event) -> list[Action]:
                if isinstance(event, Request) and event.id == "bad":
                    raise RuntimeError("a fault of the module")
                return handle(now, event)

            gateway.core.handle = broken
            client = await Client.open(address)
            assert await client.ask(query("bad")) == "-ERR failed"
            assert await client.ask(query("good")) == b"ok"

    with caplog.at_level(logging.ERROR):
        run(job())
    assert "a fault of the module" in caplog.text and "Traceback" in caplog.text


def test_request_without_a_decision_fails_in_time(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (gateway, address):
            gateway.core.handle = lambda now, event: []
            client = await Client.open(address)
            assert await client.ask(query("a1", wait_ms=200)) == "-ERR failed"

    run(job())
    assert "left without an answer" in caplog.text


async def test_attempt_for_an_ended_request_is_not_sent() -> None:
    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        seen: list[Event] = []
        gateway.core.handle = lambda now, event: seen.append(event) or []
        gateway.requests.send(SendAttempt("a1", "s0"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [event.result for event in seen if isinstance(event, AttemptEnded)] == [AttemptResult.NOT_SENT]
        assert len(backend.commands) == 1


def test_timers_are_never_early_and_batches_share_a_time() -> None:
    """uvloop rounds to milliseconds; an early tick is passed over by the module, which then sets no other."""

    async def job() -> None:
        gateway = GatewayServer(CONFIG)
        rung: dict[int, int] = {}
        done = asyncio.Event()

        def handle(now: int, event: Event) -> list[Action]:
            if isinstance(event, TimerExpired):
                rung[event.token] = now
                if len(rung) == len(due):
                    done.set()
            else:
                moments.append(now)
            return []

        moments: list[int] = []
        gateway.core.handle = handle
        due = {}
        for token in range(40):
            delay = 5_000 + 37 * token
            due[token] = time.monotonic_ns() // 1000 + delay
            gateway.dispatcher.set_timer(SetTimer(delay, token))
        for number in range(5):
            gateway.dispatcher.post(ClientGone(str(number)))
        await done.wait()
        assert all(rung[token] >= due[token] for token in due)
        assert len(moments) == 5 and len(set(moments)) == 1

    run(job())


async def test_drain_serves_late_requests() -> None:
    """It answers all that came, and closes connections between requests."""
    backend = Backend(lambda arguments: None if arguments[2] == b"slow" else value(b"ok"))
    async with front_door(backend) as (gateway, address):
        idle, busy = await Client.open(address), await Client.open(address)
        assert await idle.ask(resp("PING")) == b"PONG"
        busy.send(query("slow"))
        await backend.came.wait()
        draining = asyncio.create_task(gateway.drain())
        await asyncio.sleep(0)
        late = await Client.open(address)
        assert await late.ask(query("new")) == b"ok"
        assert await idle.ask(query("kept")) == b"ok"
        assert await idle.ended() and await late.ended()  # between requests
        assert not draining.done()
        backend.writers[0].write(value(b"at last"))
        assert await busy.answer() == b"at last"
        assert await busy.ended()
        await draining


async def test_drain_waits_for_a_late_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(process_lifecycle, "LATE_CONNECTIONS_S", 0.0)
    monkeypatch.setattr(process_lifecycle, "DRAIN_POLL_INTERVAL_S", 0.1)

    backend = Backend(lambda arguments: None)
    async with front_door(backend) as (gateway, address):
        busy = await Client.open(address)
        busy.send(submit("a1"))
        await backend.came.wait()
        draining = asyncio.create_task(gateway.drain())
        while not gateway.clients.is_draining:
            await asyncio.sleep(0)
        client = await Client.open(address)
        backend.came.clear()
        client.send(submit("a2"))
        await backend.came.wait()
        backend.writers[0].write(value(b"first"))
        assert await busy.answer() == b"first"
        await asyncio.sleep(0.3)  # what is open is waited for, however long the rest may take
        assert not draining.done()
        backend.writers[1].write(value(b"at last"))
        assert await client.answer() == b"at last"
        await draining


def test_failing_action_fails_one_request(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (gateway, address):
            handle = gateway.core.handle

            def odd(now: int, event: Event) -> list[Action]:
                actions = handle(now, event)
                if isinstance(event, Request) and event.id == "bad":
                    return [SendAttempt("bad", "s0", timeout_us="soon"), *actions]
                return actions

            gateway.core.handle = odd
            client = await Client.open(address)
            assert await client.ask(query("bad")) == "-ERR failed"
            assert await client.ask(query("good")) == b"ok"

    run(job())
    assert "cannot carry out" in caplog.text


async def test_periodic_log_counts_each_interval_anew(caplog: pytest.LogCaptureFixture) -> None:
    backend = Backend()
    async with front_door(backend) as (gateway, address):
        client = await Client.open(address)
        assert await client.ask(query("a1")) == b"ok"
        with caplog.at_level(logging.INFO, logger="orchidhatch.proxy.periodic_log"):
            gateway.periodic_log.write()
            gateway.periodic_log.write()
    first, second = (record.getMessage() for record in caplog.records if "longest batch" in record.msg)
    assert first.startswith("asked=1 ok=1;") and first.endswith("to backends 1: opened=1")
    assert second.startswith("idle;")


async def test_backend_without_an_ip_address_is_skipped_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    """There is no DNS: a look-up would keep a thread, and an attempt, for as long as it takes to fail."""

    backend = Backend()
    async with front_door(backend, addresses=[("evil", 1), ("", 1), ("127.1", 1)]) as (gateway, address):
        client = await Client.open(address)
        for number in range(8):
            assert await client.ask(query(f"a{number}")) == b"ok"
        assert len(backend.commands) == 8 and list(gateway.backends.pools) == ["s3"]
        assert caplog.text.count("is not an IPv4 address") + caplog.text.count("is not an address") == 3
