"""What several tests have a gateway do, or read of it."""

import asyncio
import contextlib
import json
import re
import socket
from collections.abc import Callable
from pathlib import Path

from orchidhatch.gateway.events import MetricsRequest
from orchidhatch.proxy.metrics import RequestOutcome
from orchidhatch.proxy.reply import Reply
from orchidhatch.proxy.server import GatewayServer
from orchidhatch.proxy.wait_queues import QueueStatus, WaitHistogram
from tests.sockets import Address, Backend, Client, catalog, query


async def until(what: Callable[[], object]) -> None:
    while not what():
        await asyncio.sleep(0.001)


def queue_status(gateway: GatewayServer, name: str) -> QueueStatus:
    statuses = gateway.queues.statuses(gateway.dispatcher.query(MetricsRequest()))
    return next(status for status in statuses if status.name == name)


def waits_count(waits: WaitHistogram) -> int:
    return sum(waits.counts)


def announce_endpoints(gateway: GatewayServer, *entries: dict[str, object]) -> None:
    """Changes of the endpoint list, as the watch hands them on."""
    gateway.apply_endpoints(
        gateway.endpoint_list_reader.read(
            json.loads(catalog(gateway.endpoint_list_reader.version + 1, entries, reset=False))
        )
    )


def run_behind_next_request(gateway: GatewayServer, what: Callable[[], None]) -> None:
    """Have it come in right behind the next request, before the decision core handles that."""
    start_request = gateway.clients.start_request

    def taken(arguments: list[bytes], reply: Reply) -> None:
        gateway.clients.start_request = start_request
        start_request(arguments, reply)
        what()

    gateway.clients.start_request = taken


async def warm_up(gateway: GatewayServer, client: Client, *backends: Backend) -> None:
    """Send requests until each of the backends has an idle connection."""
    number = 0
    while not all(backend.commands for backend in backends):
        number += 1
        assert await client.ask(query(f"warm{number}")) == b"ok"
    for backend in backends:
        backend.commands.clear()
        backend.came.clear()


async def start_drain(gateway: GatewayServer) -> asyncio.Task[None]:
    draining = asyncio.create_task(gateway.drain())
    while not gateway.clients.is_draining:
        await asyncio.sleep(0)
    return draining


async def slow_client(address: Address) -> Client:
    """A client that takes in little at once, and reads what it is asked to."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, address)
    client = Client()
    client.reader, client.writer = await asyncio.open_connection(sock=raw, limit=8192)
    client.parser = Client.new_parser()
    return client


async def slow_client_of_sent_answer(gateway: GatewayServer, address: Address) -> Client:
    """A client that has not read the answer to a1, which the gateway has handed to the kernel."""
    client = await slow_client(address)
    client.writer.transport.pause_reading()
    client.send(query("a1"))
    await until(lambda: gateway.request_metrics.ended["read"][RequestOutcome.ANSWERED])
    return client


async def ask_with_one_behind(
    gateway: GatewayServer, backend: Backend, client: Client, wait_ms: int
) -> asyncio.StreamWriter:
    """Send a1 and a2 at once; return the backend's connection of a1, once a2 is answered behind it."""
    client.send(query("a1", wait_ms=wait_ms) + query("a2"))
    await until(lambda: len(backend.commands) == 2 and "a2" not in gateway.requests.open)
    return backend.writer_of("a1")


class MemoryWatch:
    """The greatest memory of a process that was seen: its own, without the pages of files and libraries."""

    def __init__(self, pid: int) -> None:
        self.status, self.peak_mb = Path(f"/proc/{pid}/status"), 0.0

    async def run(self) -> None:
        """Look until the process has ended."""
        with contextlib.suppress(OSError):
            while found := re.search(r"RssAnon:\s+(\d+) kB", self.status.read_text()):
                self.peak_mb = max(self.peak_mb, int(found[1]) / 1024)
                await asyncio.sleep(0.005)
