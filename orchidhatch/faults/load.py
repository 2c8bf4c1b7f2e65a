"""Generates the clients' load: open-loop, so that a stalled gateway raises latencies and not fewer requests.

    python -m orchidhatch.trial.load SETTINGS.json

All arrivals are drawn in advance. How late a request was sent is recorded separately, as that delay is the
load generator's and not the gateway's.
"""

import asyncio
import random
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import hiredis
import msgspec
import uvloop

from orchidhatch.control.http_client import Address
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.plan import Customers, Load

MAX_REUSE_IDLE_S = 2.0
"""An idle connection is not reused after this time, as the gateway may be closing it."""
MAX_CONNECTIONS = 2000
MAX_RETRY_AFTER_MS = 2000
DEFAULT_RETRY_AFTER_MS = 200
DISCONNECT_DELAY_RANGE_S = (0.001, 0.4)
FINAL_WAIT_S = 8.0
"""How long replies are awaited after the end of the load."""
COMPLETION_POLL_INTERVAL_S = 0.05
MAX_REPLY_LENGTH = 80
CUSTOMER_ID_MULTIPLIER = 2_654_435_761
"""Spreads customer ids over their range, so that their quota leaders differ."""


class Settings(msgspec.Struct, frozen=True):
    """The settings file of the load, and of the misbehaving clients."""

    doors: list[Address]  # the gateways' addresses for clients
    load: Load
    seconds: float
    seed: int
    start_ns: int  # by the monotonic clock
    folder: str


class ClientRequest(msgspec.Struct, frozen=True):
    """A request or a retry of one: when it is due, its customer, its gateway and its class.

    The customer's set is `spread` gateways from `first` on. The client closes the connection
    `disconnect_after_s` after sending the request; 0: never.
    """

    due_s: float
    id: str
    customer: str
    plan: str
    spread: int
    first: int
    gateway: int
    retries: int = 0
    kind: str = "read"
    disconnect_after_s: float = 0.0


def customer_name(plan: int, number: int) -> str:
    """The id of a customer, 16 hexadecimal digits; `plan` is the index of its quota plan."""
    return f"{(plan << 28 | number * CUSTOMER_ID_MULTIPLIER % (1 << 28)):016x}"


def arrivals(load: Load, seconds: float, gateway_count: int, seed: int) -> list[ClientRequest]:
    """Draw all first attempts, by due time; each customer has a random stream of its own."""
    requests = []
    for index, plan in enumerate(load.customers):
        for number in range(plan.count):
            requests += customer_arrivals(load, plan, index, number, seconds, gateway_count, seed)
    return sorted(
        [with_class(load, request) for request in requests], key=lambda request: (request.due_s, request.id)
    )


def with_class(load: Load, request: ClientRequest) -> ClientRequest:
    """Draw the request's class, and whether and when its client disconnects."""
    stream = random.Random(f"{request.id} class")
    drawn = stream.random()
    if drawn < load.unsafe:
        kind = "settle"
    elif drawn < load.unsafe + load.keyed:
        kind = "book"
    else:
        kind = "read"
    is_disconnecting = stream.random() < load.leaving
    disconnect_after_s = stream.uniform(*DISCONNECT_DELAY_RANGE_S) if is_disconnecting else 0.0
    return msgspec.structs.replace(request, kind=kind, disconnect_after_s=disconnect_after_s)


def customer_arrivals(
    load: Load, plan: Customers, index: int, number: int, seconds: float, gateway_count: int, seed: int
) -> Iterator[ClientRequest]:
    """Draw the first attempts of a customer: Poisson arrivals, spread unevenly over its gateways."""
    stream = random.Random(f"{seed} clients {index} {number}")
    name = customer_name(index, number)
    spread = plan.spread or gateway_count
    first = stream.randrange(gateway_count)
    at_s = 0.0
    gateway_weights = [stream.random() for _ in range(spread)]
    while True:
        is_burst = load.burst_every_s and at_s % load.burst_every_s < load.burst_every_s / 5
        at_s += stream.expovariate(plan.asks * (load.burst_x if is_burst else 1.0))
        if at_s >= seconds:
            return
        offset = stream.choices(range(spread), gateway_weights)[0]
        gateway = (first + offset) % gateway_count
        id_ = f"{stream.getrandbits(48):012x}"
        yield ClientRequest(at_s, id_, name, plan.plan, spread, first, gateway)


def encode_command(arguments: list[bytes]) -> bytes:
    """Encode a command as a RESP array."""
    encoded = b"".join(b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments)
    return b"*%d\r\n" % len(arguments) + encoded


class Client(asyncio.Protocol):
    """A connection to a gateway, with at most one request in flight."""

    def __init__(self, clients: "Clients", gateway: int) -> None:
        self.clients = clients
        self.gateway = gateway
        self.request: ClientRequest | None = None
        self.use_count = 0
        self.received_bytes = 0
        self.parser = hiredis.Reader()
        self.idle_since_s = 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def send(self, request: ClientRequest) -> None:
        """Send a request, and schedule the client's disconnect if it has one."""
        self.request = request
        self.received_bytes = 0
        fields = (
            f"c={request.kind},t={request.plan},d={self.clients.settings.load.patience_ms},units=1,"
            f"spread={request.spread},first={request.first}"
        )
        if request.retries:
            fields += ",r=1"
        if request.kind == "book":
            fields += f",k={request.id[:12]}"
        arguments = [b"SVC.QUERY", request.customer.encode(), request.id.encode(), fields.encode()]
        if request.kind != "read":
            arguments = [b"SVC.SUBMIT", *arguments[1:], b"body"]
        self.transport.write(encode_command(arguments))
        if request.disconnect_after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(request.disconnect_after_s, self.disconnect, request)
        self.clients.recorder.note(
            "ask",
            request.id,
            door=request.gateway,
            customer=request.customer,
            plan=request.plan,
            kind=request.kind,
            new=self.use_count == 0,
            late_us=round((self.clients.now_s() - request.due_s) * 1e6),
            tries=request.retries,
        )
        self.use_count += 1

    def disconnect(self, request: ClientRequest) -> None:
        """Abort the connection if the request is still in flight on it."""
        if self.request is not request:
            return
        self.request = None
        self.clients.recorder.note("gone", request.id, door=request.gateway)
        self.transport.abort()
        self.clients.finish(request, "left", "")

    def data_received(self, data: bytes) -> None:
        """Match each complete reply with the request in flight; record a reply that has none."""
        self.received_bytes += len(data)
        self.parser.feed(data)
        while (reply := self.parser.gets()) is not False:
            if self.request is None:
                text = repr(reply)[:MAX_REPLY_LENGTH]
                self.clients.recorder.note("surplus", f"door-{self.gateway}", reply=text)
                continue
            request = self.request
            self.request = None
            self.idle_since_s = time.monotonic()
            self.clients.handle_reply(self, request, reply)

    def connection_lost(self, error: Exception | None) -> None:
        """Finish the request in flight: cut within its reply, or closed before the reply began."""
        if self.request is not None:
            request = self.request
            self.request = None
            result = "cut" if self.received_bytes else "closed"
            self.clients.finish(request, result, repr(error) if error else "")
        self.clients.remove(self)


class Clients:
    """The clients of a trial, with their connections and unfinished requests."""

    def __init__(self, settings: Settings, recorder: Recorder) -> None:
        self.settings = settings
        self.recorder = recorder
        self.idle: list[list[Client]] = [[] for _ in settings.doors]
        self.connections: set[Client] = set()
        self.retry_stream = random.Random(f"{settings.seed} retries")
        self.unfinished: dict[str, ClientRequest] = {}

    def now_s(self) -> float:
        """Seconds since the start of the load."""
        return (time.monotonic_ns() - self.settings.start_ns) / 1e9

    async def run(self) -> None:
        """Send each request at its due time, then await the last replies."""
        loop = asyncio.get_running_loop()
        settings = self.settings
        requests = arrivals(settings.load, settings.seconds, len(settings.doors), settings.seed)
        for request in requests:
            wait_s = request.due_s - self.now_s()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            loop.create_task(self.start(request))  # noqa: RUF006 - `unfinished` tracks the requests
            self.unfinished[request.id] = request
        deadline_s = settings.seconds + FINAL_WAIT_S
        while self.unfinished and self.now_s() < deadline_s:
            await asyncio.sleep(COMPLETION_POLL_INTERVAL_S)
        for request in self.unfinished.values():
            self.recorder.note("unanswered", request.id, door=request.gateway)

    async def start(self, request: ClientRequest) -> None:
        """Send a request on an idle connection to its gateway, or on a new one."""
        idle = self.idle[request.gateway]
        while idle:
            client = idle.pop()
            is_closing = client.transport.is_closing()
            if not is_closing and time.monotonic() - client.idle_since_s < MAX_REUSE_IDLE_S:
                client.send(request)
                return
            client.transport.close()
        if len(self.connections) >= MAX_CONNECTIONS:
            self.finish(request, "crowded", "")
            return
        try:
            async with asyncio.timeout(self.settings.load.patience_ms / 1000):
                _, client = await asyncio.get_running_loop().create_connection(
                    lambda: Client(self, request.gateway), *self.settings.doors[request.gateway]
                )
        except (OSError, TimeoutError) as error:
            self.finish(request, "unsent", repr(error))
            return
        self.connections.add(client)
        client.send(request)

    def handle_reply(self, client: Client, request: ClientRequest, reply: object) -> None:
        """Finish a request by its reply, and retry it if the gateway was busy."""
        self.idle[request.gateway].append(client)
        value = reply[0] if isinstance(reply, list) and reply else reply
        if isinstance(value, bytes):
            self.finish(request, "served", value.decode(errors="replace"))
        elif isinstance(reply, hiredis.ReplyError) and str(reply).startswith("BUSY"):
            self.finish(request, "busy", str(reply))
            self.schedule_retry(request, str(reply))
        else:
            self.finish(request, "failed", str(reply))

    def finish(self, request: ClientRequest, result: str, text: str) -> None:
        """Record the end of a request."""
        self.unfinished.pop(request.id, None)
        self.recorder.note("end", request.id, how=result, text=text[-MAX_REPLY_LENGTH:])

    def schedule_retry(self, request: ClientRequest, error: str) -> None:
        """Schedule a retry, under a new id, after the time that the error names, if it names any."""
        error_fields = error.split()
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
        if len(error_fields) > 1 and error_fields[1].isdecimal():
            retry_after_ms = int(error_fields[1])
        due_s = self.now_s() + min(retry_after_ms, MAX_RETRY_AFTER_MS) / 1000
        if request.retries >= self.settings.load.retries or due_s >= self.settings.seconds:
            return
        offset = self.retry_stream.randrange(request.spread)
        retry_number = request.retries + 1
        retry = msgspec.structs.replace(
            request,
            due_s=due_s,
            id=f"{request.id[:12]}{retry_number}",
            gateway=(request.first + offset) % len(self.settings.doors),
            retries=retry_number,
        )
        self.unfinished[retry.id] = retry
        loop = asyncio.get_running_loop()
        loop.call_at(loop.time() + due_s - self.now_s(), self.start_in_background, retry)

    def start_in_background(self, request: ClientRequest) -> None:
        """Start a request in a task of its own."""
        asyncio.get_running_loop().create_task(self.start(request))

    def remove(self, client: Client) -> None:
        """Remove a connection that was closed."""
        self.connections.discard(client)


async def generate_load(settings: Settings) -> None:
    """Generate the load of a trial, and record its events in the trial's folder."""
    recorder = Recorder("clients", Path(settings.folder))
    recorder.note("serves", "clients")
    await Clients(settings, recorder).run()
    recorder.note("done", "clients")


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(generate_load(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings)))
