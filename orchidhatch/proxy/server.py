"""The front door: events to the decision module, its actions to the sockets, on one clock.

As on the simulator's wire, what has come in by one moment is a batch: each of its events is handed to
the module with the same time, in order of arrival, and its actions are carried out in order. What an
action itself brings about (an attempt that could not start) comes with a later batch.
"""

import asyncio
import contextlib
import logging
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from orchidhatch.gateway.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    EjectionResult,
    Fail,
    FetchEndpointList,
    LogLine,
    MetricsSnapshot,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    Subscribe,
    WaitTimes,
)
from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import (
    AttemptEnded,
    ClientGone,
    Event,
    HandoverPeerGone,
    HandoverPeerUnknown,
    MetricsRequest,
    PolicyChange,
    SetEjection,
    StartHandover,
    StreamStarted,
    SuspendAdmission,
    TimerExpired,
)
from orchidhatch.gateway.handover_codec import to_plain
from orchidhatch.gateway.peer_outbox import MESSAGES_LIMIT
from orchidhatch.gateway.snapshots import (
    GatewaySnapshot,
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverEjection,
    HandoverMessage,
    HandoverSpend,
)
from orchidhatch.proxy.backends import Attempt, Backends, now_us
from orchidhatch.proxy.clients import (
    FAILED,
    PATIENCE_S,
    PROGRAM_MB,
    SHED_POOLS,
    STALL_S,
    Clients,
    Command,
    CommandError,
    CommandParser,
    Reply,
)
from orchidhatch.proxy.config import LEAST_SOCKETS, MOST_US, SPARE_SOCKETS, Config
from orchidhatch.proxy.cpu_accounting import (
    PLACES,
    Account,
    Place,
    descriptors,
    descriptors_allowed,
    peak_resident_bytes,
    resident_bytes,
)
from orchidhatch.proxy.endpoint_watch import Catalog, Discovery, News
from orchidhatch.proxy.handover import HandoverPeer
from orchidhatch.proxy.log_writer import LogWriter
from orchidhatch.proxy.management import Answer, Calls, Management
from orchidhatch.proxy.metrics import Ended, Figures, page
from orchidhatch.proxy.peers import Peers
from orchidhatch.proxy.policy_guard import Watchfulness
from orchidhatch.proxy.wait_queues import Line, Waits, oldest
from orchidhatch.proxy.wait_queues import figures as waiting_figures

log = logging.getLogger(__name__)

# Taken off the time that a client waits: for the way of its request here and of our answer back.
ANSWER_MARGIN_US = 25_000
BACKSTOP_US = 15_000  # how much later than the module a request is ended here, should it not do so
FIRST_LIST_S = 0.3  # how long the start waits for a list
NEWER_LIST_S = 0.05  # the same where one is known: in a release many start, and discovery may be silent long
LOG_S = 5.0  # how often those on call get the figures
MOST_SHARES = 200  # customers on a line, those that spent most
RING_AGAIN_US = 20_000  # how soon a timer comes again on which the module failed
SETTLE_S = 0.6  # after SIGTERM new connections go on coming for up to 0.4 s
DRAIN_LOOK_S = 1.0  # how often a drain looks for clients that have become idle
# SIGKILL comes this long after SIGTERM at the earliest: after the longest deadline, which counts as no more
# than so much, and a while. Whatever came in that while may be left unanswered by it, what came later not.
MOST_DEADLINE_US, KILL_AFTER_US = 3_000_000, 700_000
FRONT_SEES_S = 1.0  # how long a drain waits for the front to ask and hear the first no, at most
STILL_COME_S = 0.4  # after it new connections go on coming for 0.2 s
LAST_READ_S = 1.5  # after the call: what comes later on a kept connection is left to another front door
TURNS_TO_ACCEPT = 3  # of the loop, one of which at least asks the kernel who has connected
PEERS_AGAIN_S, MOST_PEERS_AGAIN_S = 0.02, 1.0  # between tries for the peers' address
STAY_S = 10.0  # how long a process that was replaced waits for SIGTERM
HANDOVER_NAME = "molereach-hand-over"  # in the directory that two processes share
CLIENT_SHARE = 0.6  # of the other sockets
HELD_SHARE, LEAST_HELD = 6, 1 << 20  # of the memory above the program's, for commands not answered yet


class Exchange:
    """A request from its arrival until its answer, with the attempts that are out."""

    __slots__ = (
        "attempts",
        "came_us",
        "command",
        "end_us",
        "out",
        "plan",
        "policy",
        "reply",
        "stream",
        "timer",
    )

    def __init__(self, command: Command, reply: Reply, end_us: int, plan: str, policy: str = "") -> None:
        self.command, self.reply, self.end_us = command, reply, end_us
        self.plan = plan  # by its name: its number may be another's before this ends
        self.policy = policy  # that it is let in by, where that is to be logged
        self.came_us = end_us - command.request.time_left_us
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.stream: Attempt | None = None  # whose long value is under way to the client


class FrontDoor:
    def __init__(self, config: Config, writer: LogWriter | None = None) -> None:
        self.config, self.settings, self.writer = config, config.settings, writer
        self.loop = asyncio.get_running_loop()
        most_bytes = max(LEAST_HELD, (config.memory_mb - PROGRAM_MB) * (1 << 20) // HELD_SHARE)
        self.bounds = replace(config.settings, max_open_requests=config.max_open, max_open_bytes=most_bytes)
        self.gateway = GatewayCore(self.bounds)
        self.held_waits = Waits()
        self.waited: Counter[str] = Counter()  # microseconds, by what requests waited for
        self.inbox: list[Event] = []
        self.open: dict[str, Exchange] = {}  # requests that are owed an answer
        self.ended: dict[str, Exchange] = {}  # those answered with attempts still out
        self.held_bytes = 0
        self.tally: Counter[str] = Counter()  # requests and how attempts ended, since the last line
        self.sent: Counter[str] = Counter()  # attempts by backend, since the last line
        self.spent: Counter[tuple[str, str, int]] = Counter()  # units by customer, plan, set
        self.longest_batch_us = 0
        self.told_spent: dict[Place, float] = {}  # by the log's last line, in seconds
        self.account = Account(config.settings.seed)
        self.server: asyncio.Server | None = None
        self.most_descriptors = descriptors_allowed(config.sockets)
        if self.most_descriptors < config.sockets:
            log.error(
                "the system allows this process %d descriptors, not the %d of limits.sockets",
                self.most_descriptors,
                config.sockets,
            )
        sockets = max(LEAST_SOCKETS, self.most_descriptors) - SPARE_SOCKETS
        most_clients = round(sockets * CLIENT_SHARE)
        self.backends = Backends(
            config.conn_idle_us, config.connect_timeout_us, sockets - most_clients, self.account
        )
        self.parser = CommandParser(config)
        self.class_names = {number: name for name, number in config.class_numbers.items()}
        self.plan_names = {number: name for name, number in config.plan_numbers.items()}
        self.figures = Figures(config.class_numbers)
        self.management = Management(
            Calls(
                {
                    ("GET", "/healthcheck"): self.health,
                    ("GET", "/stats"): self.stats,
                    ("GET", "/metrics"): self.metrics,
                    ("POST", "/backends/{id}/maint"): lambda name: self.maint(name, True),
                    ("POST", "/backends/{id}/ready"): lambda name: self.maint(name, False),
                    ("POST", "/healthcheck/fail"): self.leave_service,
                    ("POST", "/healthcheck/ok"): self.enter_service,
                }
            ),
            self.account,
        )
        self.ready, self.ending, self.replaced = False, False, False
        self.last_answer_us: int | None = None  # until when it is sure to live, once it is ending
        self.finished = asyncio.Event()  # replaced, and with nothing left to do
        takes_over = config.socket_fd is not None and config.shared
        self.handover_peer = (
            HandoverPeer(self, config.shared / f"{HANDOVER_NAME}.socket") if takes_over else None
        )
        self.leaving: asyncio.Task[None] | None = None  # a drain by call, until it is undone
        self.clients = Clients(most_clients, self.take, self.client_gone, self.account)
        self.clients.set_pool(config.memory_mb)
        self.peers = Peers(config.peers, config.settings.gateway_index, self.post, self.account)
        self.catalog = Catalog(config)
        known = self.read_known()
        version = known.event.version if known else 0
        self.discovery = Discovery(
            config.discovery,
            self.catalog,
            version,
            self.list_heard,
            config.settings.seed,
            config.settings.gateway_count,
            self.account,
            pushed=not config.settings.must_subscribe,
        )
        self.peers.mark = config.settings.policy_mark
        self.watchful = Watchfulness(config.policy, self.discovery.heard_s, self.bar)
        self.carry_out: dict[type, tuple[Place, Callable[..., None]]] = {
            SendAttempt: (Place.BACKENDS, self.send),
            CancelAttempt: (Place.BACKENDS, self.cancel),
            Reject: (Place.CLIENTS, self.refuse),
            Fail: (Place.CLIENTS, self.fail),
            SetTimer: (Place.MODULE, self.set_timer),
            SendGossip: (Place.PEERS, self.peers.tell),
            LogLine: (Place.LOG, self.log_line),
            WaitTimes: (Place.MODULE, lambda action: self.waited.update(dict(action.times))),
            CloseIdleConnections: (Place.BACKENDS, lambda action: self.backends.close_idle(action.server)),
            **dict.fromkeys(
                (HandoverSpend, HandoverAttempt, HandoverAttemptEnd, HandoverEjection),
                (Place.PEERS, self.send_to_handover_peer),
            ),
            # The watch is always on.
            **dict.fromkeys((Subscribe, FetchEndpointList), (Place.DISCOVERY, lambda action: None)),
        }

    # --- start and end ---

    def read_known(self) -> News | None:
        if not self.config.known:
            return None
        try:
            news = self.catalog.news(self.config.known, EndpointListKind.SAVED)
        except (KeyError, TypeError, ValueError) as error:
            log.error("the known list makes no sense: %s", error)
            return None
        self.list_heard(news)
        return news

    async def start(self) -> None:
        """Serve; returns once clients are answered. An address that cannot be had is an OSError."""
        self.watchful.begin(barred=True)
        if self.config.management:
            await self.management.start(*self.config.management)
        self.log_later()
        if not self.handover_peer:
            await self.open_peers()
        self.backends.spawn(self.discovery.run(), Place.DISCOVERY)
        known = bool(self.catalog.entries)
        try:  # whoever answers has sent along what is newer than the known list
            await asyncio.wait_for(
                (self.discovery.spoke if known else self.discovery.first).wait(),
                NEWER_LIST_S if known else FIRST_LIST_S,
            )
        except TimeoutError:
            log.warning("discovery is silent; starting with the known list")
        if self.handover_peer:
            await self.take_over()
        else:
            host, port = self.config.listen
            # What a killed predecessor left in TIME_WAIT must not keep a restart from its address.
            self.server = await self.loop.create_server(
                self.clients.connection, host, port, backlog=1024, reuse_address=True
            )
        self.ready = True

    async def open_peers(self) -> None:
        if self.settings.may_gossip and self.config.peer_listen:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)

    # --- one process after another ---

    async def take_over(self) -> None:
        """Serve on the inherited socket, from the state of the process that serves there, if there is one."""
        sound = await self.handover_peer.take_over()
        if sound:
            log.info("goes on from the process that served so far")
        else:
            self.post(HandoverPeerUnknown())  # until the peers' address is free: no other process has it then
        listening = socket.socket(fileno=self.config.socket_fd)
        listening.setblocking(False)
        self.server = await self.loop.create_server(self.clients.connection, sock=listening, backlog=1024)
        await self.handover_peer.serve()
        self.backends.spawn(self.open_peers_at_last(sound))
        await self.handover_peer.offer()

    async def open_peers_at_last(self, sound: bool) -> None:
        """The peers' address is free once the old process lets go of it, or has ended."""
        wait_s = PEERS_AGAIN_S
        while True:
            try:
                await self.open_peers()
                break
            except OSError as error:
                log.warning("cannot listen for peers yet: %s", error)
            await asyncio.sleep(wait_s)
            wait_s = min(MOST_PEERS_AGAIN_S, 2 * wait_s)
        if not sound:
            self.post(HandoverPeerGone())

    def handover_state(self) -> dict[str, Any]:
        """What the next process goes on from."""
        state = to_plain(self.ask(StartHandover()))
        return {"state": state, "known": self.catalog.known(), "count": self.socket_counts()}

    def resume(self, state: GatewaySnapshot, known: Mapping[str, Any]) -> None:
        """Go on from there; its list holds unless ours is as new."""
        if known["generation"] > self.catalog.version:
            self.list_heard(self.catalog.news(known, EndpointListKind.FULL))
        self.run_batch()
        self.post(state)
        self.run_batch()
        for word in state.ejections:
            self.backends.ban(word.server, word.is_ejected)

    def release(self) -> None:
        """The next process serves: take nothing new, let go of the addresses and of who is idle."""
        log.info("another process serves from now on")
        self.replaced = True
        self.server.close()
        self.peers.close()
        self.clients.drain()
        self.backends.spawn(self.finish())

    async def finish(self) -> None:
        """Answer what is left; the platform ends this process soon, but if it does not, it ends by itself."""
        while not await self.all_left():
            self.clients.drain()
        await asyncio.sleep(STAY_S)
        self.finished.set()

    def socket_counts(self) -> tuple[int, int]:
        return len(self.clients.connections), self.backends.held

    def set_peer_socket_counts(self, clients: int, backends: int) -> None:
        self.clients.others, self.backends.others = clients, backends

    def send_to_handover_peer(self, action: HandoverMessage) -> None:
        if self.handover_peer:
            self.handover_peer.send(action)

    def reload(self, config: Config) -> None:
        """Take over what may change while it runs: the address of discovery, and the policy it is under."""
        log.info("read the configuration again; discovery is at %s:%d", *config.discovery)
        self.discovery.move(config.discovery)
        if config.policy and config.policy != self.config.policy:
            self.go_by(config)

    def go_by(self, config: Config) -> None:
        """Another policy's plans, aims and bans from the next request on; all else stays as it is."""
        if config.class_numbers != self.config.class_numbers:
            log.error("kept the old policy: the new file has other classes")
            return
        names = self.plan_names
        moved = tuple(config.plan_numbers.get(names[number], -1) for number in range(len(names)))
        new = config.settings
        self.settings = replace(
            self.settings,
            classes=new.classes,
            plans=new.plans,
            banned_customers=new.banned_customers,
            policy_mark=new.policy_mark,
        )
        self.run_batch()  # what has come so far was let in by the old
        self.post(PolicyChange(new.classes, new.plans, new.banned_customers, new.policy_mark, moved))
        self.run_batch()
        self.config = replace(
            self.config,
            settings=self.settings,
            plan_numbers=config.plan_numbers,
            policy=config.policy,
            traces_policy=config.traces_policy,
        )
        self.parser = CommandParser(self.config)
        self.plan_names = {number: name for name, number in config.plan_numbers.items()}
        self.peers.mark, self.watchful.told = new.policy_mark, config.policy
        self.watchful.begin(barred=False)
        log.info("goes by %s", config.policy.shown())

    def bar(self, on: bool) -> None:
        """Whether nobody may be let in by now: the module refuses whoever comes."""
        self.post(SuspendAdmission(on))
        self.clients.welcome = not on and self.leaving is None and not self.ending

    async def drain(self) -> None:
        """Take and answer what still comes, then close what is idle, and answer all that is held.

        It ends when every client is gone: who stays has something coming to him, or a command on its way,
        and is let go of in time by the limits that hold for all. Who sends on and on is read no further than
        what is open, as an answer might come too late for it: it sends the rest elsewhere.
        """
        self.ending = True
        longest_us = max(rule.deadline_us for rule in self.settings.classes)
        self.last_answer_us = now_us() + min(MOST_DEADLINE_US, longest_us) + KILL_AFTER_US - ANSWER_MARGIN_US
        if not self.replaced:
            self.clients.welcome = False
            await asyncio.sleep(SETTLE_S)
        self.clients.read_no_more()
        while not await self.all_left():
            self.clients.drain()
        self.close()

    async def all_left(self) -> bool:
        """Whether all clients are gone, those among them that only the kernel has accepted yet."""
        left = await self.clients.left(DRAIN_LOOK_S)
        for _ in range(TURNS_TO_ACCEPT):
            await asyncio.sleep(0)
        return left and not self.clients.connections

    def log_figures(self) -> None:
        self.log_passed()
        self.log_cost()
        self.log_shares()
        for tally in (self.tally, self.backends.tally, self.sent, self.spent):
            tally.clear()
        self.longest_batch_us = 0
        self.log_later()

    def log_later(self) -> None:
        self.loop.call_later(LOG_S, self.account.run, Place.LOG, self.log_figures)

    def log_passed(self) -> None:
        """What went through, and the state of the sockets; what decided it is in the module's own line."""
        passed = " ".join(f"{what}={count}" for what, count in sorted(self.tally.items()))
        sockets = " ".join(f"{what}={count}" for what, count in sorted(self.backends.tally.items()))
        log.info(
            "%s; open %d, longest batch %.1f ms; clients %d, to backends %d: %s",
            passed or "idle",
            len(self.open),
            self.longest_batch_us / 1000,
            len(self.clients.connections),
            self.backends.held,
            sockets or "-",
        )

    def log_shares(self) -> None:
        """What only all doors' lines together show: what each backend gets, and each customer spends."""
        pools = self.backends.pools
        to = " ".join(
            f"{name}={self.sent[name]}/{len(pool.connections)}"
            for name, pool in pools.items()
            if pool.connections or self.sent[name]
        )
        spent = " ".join(
            f"{customer}/{plan}/{size}={units:g}"
            for (customer, plan, size), units in self.spent.most_common(MOST_SHARES)
        )
        log.info("shares: to %s; spent %s", to or "-", spent or "-")

    def log_cost(self) -> None:
        """What the interval cost: of the process exactly, by place as estimated from the timed entries."""
        asked = self.tally["asked"]
        took_s, spent_s = self.account.interval(idle=not asked and not self.open)
        spent = {place: self.account.seconds(place) for place in PLACES}
        parts = " ".join(
            f"{place.name.lower()} {(spent[place] - self.told_spent.get(place, 0)) * 1e3:.1f}"
            for place in PLACES
        )
        self.told_spent = spent
        each = f", {spent_s * 1e6 / asked:.0f} us a request" if asked else ""
        log.info(
            "cost: cpu %.1f ms in %.1f s%s; of it %s; resident %d KB, peak %d KB, descriptors %d of %d",
            spent_s * 1e3,
            took_s,
            each,
            parts,
            (resident_bytes() or 0) >> 10,
            peak_resident_bytes() >> 10,
            descriptors() or 0,
            self.most_descriptors,
        )

    def close(self) -> None:
        """Let go of all sockets."""
        if self.server:
            self.server.close()
        if self.handover_peer:
            self.handover_peer.close()
        self.management.close()
        self.peers.close()
        self.clients.close()
        self.backends.close()

    # --- calls of operators ---

    def serving(self) -> bool:
        up = self.ready and not self.ending and not self.replaced
        return up and self.leaving is None and not self.watchful.barred

    def health(self) -> Answer:
        status, text = (200, "serves") if self.serving() else (503, "takes no new clients")
        return status, text + self.watchful.shown()

    def stats(self) -> Answer:
        census = self.ask(MetricsRequest())
        return 200, self.figures.text(
            sends_total=self.backends.sends,
            current=len(self.open),
            cluster_size=census.listed,
            cluster_unhealthy=census.ejected,
        )

    def metrics(self) -> Answer:
        """The figures of /stats and those beyond them."""
        return 200, self.stats()[1] + self.cost_figures() + self.wait_figures()

    def cost_figures(self) -> str:
        clients, backends = self.socket_counts()
        management, held = len(self.management.connections), descriptors()
        other = {} if held is None else {"other": max(0, held - clients - backends - management)}
        resident = resident_bytes()
        return "".join(
            [
                page(
                    "cpu_seconds_total",
                    "counter",
                    "Processor time of the process.",
                    {"": self.account.total_s()},
                ),
                page(
                    "place_cpu_seconds_total",
                    "counter",
                    "Of it, by place, estimated; the rest is the loop's.",
                    {f'place="{place.name.lower()}"': self.account.seconds(place) for place in PLACES},
                ),
                page(
                    "idle_seconds_total",
                    "counter",
                    "Time in intervals in which no request was open.",
                    {"": self.account.idle_s},
                ),
                page(
                    "idle_cpu_seconds_total",
                    "counter",
                    "Processor time in those intervals.",
                    {"": self.account.idle_ns / 1e9},
                ),
                page(
                    "resident_bytes", "gauge", "Memory held now.", {} if resident is None else {"": resident}
                ),
                page(
                    "peak_resident_bytes",
                    "gauge",
                    "The most memory held so far.",
                    {"": peak_resident_bytes()},
                ),
                page("held_bytes", "gauge", "Commands that are not answered.", {"": self.held_bytes}),
                page("unsent_bytes", "gauge", "What waits for slow clients.", {"": self.clients.unsent}),
                page(
                    "descriptors",
                    "gauge",
                    "Descriptors held, by holder.",
                    {
                        f'holder="{name}"': count
                        for name, count in {
                            "clients": clients,
                            "backends": backends,
                            "management": management,
                            **other,
                        }.items()
                    },
                ),
                page("descriptors_limit", "gauge", "Descriptors allowed.", {"": self.most_descriptors}),
                page(
                    "out_of_descriptors_total",
                    "counter",
                    "Connections to backends without a descriptor left.",
                    {"": self.backends.out_of_descriptors},
                ),
            ]
        )

    def wait_figures(self) -> str:
        census = self.ask(MetricsRequest())
        reasons = {f'reason="{why}"': count for why, count in census.ended}
        return waiting_figures(self.lines(census)) + "".join(
            [
                page(
                    "held_seconds_total",
                    "counter",
                    "Time that requests waited unsent, by what for.",
                    {f'reason="{why}"': us / 1e6 for why, us in sorted(self.waited.items())},
                ),
                page("unserved_total", "counter", "Requests ended unserved, by what they lacked.", reasons),
                page(
                    "malformed_total",
                    "counter",
                    "What clients sent that is no request.",
                    {'what="command"': self.clients.malformed, 'what="stream"': self.clients.unreadable},
                ),
                page(
                    "datagrams_dropped_total",
                    "counter",
                    "Datagrams from peers that were not taken.",
                    {'why="malformed"': self.peers.malformed, 'why="stranger"': self.peers.strange},
                ),
            ]
        )

    def lines(self, census: MetricsSnapshot) -> list[Line]:
        """Where work can wait, from the clients' sockets to the log."""
        now, clients, backends, peers = now_us(), self.clients, self.backends, self.peers
        ended = dict(census.ended)
        connecting, unanswered = backends.waiting(), backends.unanswered()
        unread = [c for c in clients.connections if not c.reading]
        partial = [c for c in clients.connections if c.reader.buffer]
        unsent = [c for c in clients.connections if c.unsent]
        return [
            Line(
                "unread",
                clients.most,
                len(unread),
                max((clients.since_us(c.paused_s) for c in unread), default=0),
                clients.crowded_out,
                clients.unread_waits,
            ),
            Line(
                "partial",
                clients.most,
                len(partial),
                max((clients.since_us(c.due_s - PATIENCE_S) for c in partial if c.due_s), default=0),
                clients.slow,
                clients.partial_waits,
            ),
            Line(
                "held",
                self.bounds.max_open_requests,
                census.queued,
                census.queued_us,
                ended.get("crowded", 0),
                self.held_waits,
            ),
            Line(
                "connecting",
                backends.most,
                len(connecting),
                oldest(now, (a.sent_us for a in connecting)),
                backends.no_room,
                backends.connect_waits,
            ),
            Line(
                "backend",
                backends.most,
                len(unanswered),
                oldest(now, (a.written_us for a in unanswered)),
                backends.timed_out,
                backends.answer_waits,
            ),
            Line(
                "unsent_bytes",
                SHED_POOLS * clients.pool,
                clients.unsent,
                max((clients.since_us(c.moved_s) for c in unsent), default=0),
                clients.cut,
                clients.unsent_waits,
            ),
            Line(
                "peers",
                MESSAGES_LIMIT * len(peers.addresses),
                census.messages,
                census.messages_us,
                census.messages_dropped + peers.dropped,
                peers.waits,
            ),
            self.management.line(),
            *([self.writer.line()] if self.writer else []),
        ]

    def maint(self, name: str, out: bool) -> Answer:
        """What the module rules holds for the sockets too, before the answer leaves."""
        ruling = self.ask(SetEjection(name, out))
        if not ruling.is_accepted:
            return 404, "no such backend was ever listed"
        log.info("%s is %s by hand", name, "left out" if out else "taken back")
        self.backends.ban(name, out)
        return 200, "left out" if out else "may serve again"

    def leave_service(self) -> Answer:
        if self.leaving is None and not self.ending:
            log.info("takes no new clients, by call, at %d us", now_us())
            self.clients.welcome = False
            self.leaving = self.loop.create_task(self.empty())
        return 200, "takes no new clients"

    async def empty(self) -> None:
        """Serve until the front has heard a no and sends nothing new, then let the kept connections go."""
        called_s = self.loop.time()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.clients.said_no.wait(), FRONT_SEES_S)
        await asyncio.sleep(STILL_COME_S)
        self.clients.drain()
        await asyncio.sleep(called_s + LAST_READ_S - self.loop.time())
        self.clients.read_no_more()
        if self.watchful.told:  # whoever comes all the same would be let in by a policy that may hold no more
            self.watchful.bar("it was emptied")

    def enter_service(self) -> Answer:
        if self.ending:
            return 409, "the program is ending"
        if not self.watchful.lift():
            return 409, self.watchful.lacks(self.loop.time()) or "its policy may hold no more"
        if self.leaving is not None:
            log.info("takes clients again, by call, at %d us", now_us())
            self.leaving.cancel()
            self.leaving = None
            self.clients.take_again()
        return 200, "takes clients"

    def ask(self, event: Event) -> Any:  # noqa: ANN401 - each such event has its own kind of answer
        """The module's one answer to a question, after all that came in before it."""
        self.run_batch()
        answers = []
        for action in self.gateway.handle(now_us(), event):
            if isinstance(action, EjectionResult | MetricsSnapshot | GatewaySnapshot):
                answers.append(action)
            else:
                self.act(action)
        return answers[0]

    # --- events ---

    def post(self, event: Event) -> None:
        if not self.inbox:
            self.loop.call_soon(self.run_batch)
        self.inbox.append(event)

    def run_batch(self) -> None:
        was = self.account.enter(Place.MODULE)
        try:
            self.handle_all()
        finally:
            self.account.leave(was)

    def handle_all(self) -> None:
        now, events, self.inbox = now_us(), self.inbox, []
        for event in events:
            try:
                actions = self.gateway.handle(now, event)
            except Exception:
                log.exception("the module failed on %r", event)
                self.give_up(getattr(event, "id", ""))
                if isinstance(event, TimerExpired):  # the module lives by it: it comes again
                    self.set_timer(SetTimer(RING_AGAIN_US, event.token))
                continue
            for action in actions:
                self.act(action)
        self.longest_batch_us = max(self.longest_batch_us, now_us() - now)

    def act(self, action: Action) -> None:
        place, carry_out = self.carry_out[type(action)]
        was = self.account.enter(place)
        try:
            carry_out(action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.give_up(getattr(action, "id", ""))
        finally:
            self.account.leave(was)

    def give_up(self, request_id: str) -> None:
        """Fail a request over a fault, and have the module forget it."""
        if request_id in self.open:
            self.answer(request_id, FAILED, Ended.ERRORED)
            self.post(ClientGone(request_id))

    def handover_peer_sent(self, event: Event) -> None:
        """What the other process did; what an operator wants of a backend holds for the sockets here too."""
        self.post(event)
        if isinstance(event, HandoverEjection):
            self.backends.ban(event.server, event.is_ejected)

    def list_heard(self, news: News) -> None:
        whole = news.event.kind is not EndpointListKind.CHANGES
        states = {server.name: server.state for server in news.event.endpoints}
        self.post(news.event)  # before the ends of what waited there, which may be sent on elsewhere
        self.backends.update(states, news.addresses, whole)

    def take(self, words: list[bytes], reply: Reply) -> None:
        """A client's command; one that is wrong is a CommandError."""
        self.watchful.look()
        most_us = MOST_US if self.last_answer_us is None else max(0, self.last_answer_us - now_us())
        command = self.parser.parse(words, ANSWER_MARGIN_US, most_us)
        request = command.request
        if request.id in self.open or request.id in self.ended:
            self.figures.note(self.class_names[request.class_index], Ended.ERRORED)
            raise CommandError("this id is in use")
        told = self.config.policy if self.config.traces_policy and not self.watchful.barred else None
        exchange = Exchange(
            command,
            reply,
            now_us() + request.time_left_us,
            self.plan_names[request.plan_index],
            told.digest or "-" if told else "",
        )
        delay = (request.time_left_us + BACKSTOP_US) / 1e6
        exchange.timer = self.loop.call_later(delay, self.overdue, request.id)
        reply.id = request.id
        self.open[request.id] = exchange
        self.held_bytes += request.size_bytes
        self.tally["asked"] += 1
        self.post(request)

    def overdue(self, request_id: str) -> None:
        """The module owes an answer in time; this one keeps the promise to the client if it fails to."""
        if request_id in self.open:
            log.error("request %s was left without an answer", request_id)
            self.give_up(request_id)

    def client_gone(self, reply: Reply) -> None:
        if reply.id is not None and (exchange := self.settle(reply.id)):
            self.post(ClientGone(reply.id))
            if exchange.stream:
                exchange.stream.cancel()

    # --- actions ---

    def send(self, action: SendAttempt) -> None:
        exchange = self.open.get(action.id)
        if exchange is None or exchange.attempts >= self.settings.max_attempts:
            ended = exchange or self.ended.get(action.id)
            number = ended.attempts if ended else 0
            if ended:
                ended.attempts += 1
            self.post(
                AttemptEnded(action.id, exchange is None, number, action.server, AttemptResult.NOT_SENT, 0)
            )
            return
        number, exchange.attempts = exchange.attempts, exchange.attempts + 1
        try:
            self.begin(action, exchange, number)
        except Exception:
            exchange.out.pop(number, None)  # the module counts it as out until it hears of its end
            self.post(AttemptEnded(action.id, False, number, action.server, AttemptResult.NOT_SENT, 0))
            raise

    def begin(self, action: SendAttempt, exchange: Exchange, number: int) -> None:
        left = max(1, exchange.end_us - now_us())
        timeout = min(left, action.timeout_us) if action.timeout_us > 0 else left
        self.sent[action.server] += 1
        if not number:
            self.held_waits.note(now_us() - exchange.came_us)
            request = exchange.command.request
            self.spent[request.customer, exchange.plan, request.set_size] += request.units
        payload = exchange.command.payload(timeout)
        attempt = Attempt(action.id, number, action.server, payload, self.attempt_done, self.value_begins)
        exchange.out[number] = attempt
        self.backends.send(attempt, timeout, action.start_within_us)

    def attempt_done(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """An attempt's one outcome; the first value goes to the client at once and closes the request."""
        name = attempt.request_id
        if name in self.open and self.open[name].stream is attempt:
            self.end_stream(name, result is AttemptResult.OK)
        elif result is AttemptResult.OK and value is not None and name in self.open:
            self.answer(name, b"$%d\r\n%b\r\n" % (len(value), value), Ended.ANSWERED)
        over = name not in self.open
        exchange = self.ended.get(name) if over else self.open[name]
        if exchange:
            exchange.out.pop(attempt.number, None)
            if over and not exchange.out:
                del self.ended[name]
        self.tally[result.value] += 1
        took = now_us() - attempt.sent_us
        self.post(AttemptEnded(name, over, attempt.number, attempt.server, result, took, report=report))

    def value_begins(self, attempt: Attempt, size: int) -> Callable[[bytes], None] | None:
        """A long value begins: it is the client's now, and nothing but a break or a stall ends it."""
        exchange = self.open.get(attempt.request_id)
        if exchange is None or exchange.stream:
            return None
        exchange.stream = attempt
        exchange.timer.cancel()
        exchange.timer = self.loop.call_later(STALL_S, self.look_for_stall, attempt.request_id)
        took = now_us() - attempt.sent_us
        self.post(StreamStarted(attempt.request_id, attempt.number, attempt.server, took))
        exchange.reply.begin(b"$%d\r\n" % size, attempt)
        return exchange.reply.more

    def look_for_stall(self, name: str) -> None:
        if exchange := self.open.get(name):
            left = exchange.reply.moved_s + STALL_S - self.clients.clock()
            if left > 0:
                exchange.timer = self.loop.call_later(left, self.look_for_stall, name)
            else:
                log.warning("cut the value of request %s, which did not move for %.0f s", name, STALL_S)
                exchange.stream.cancel()

    def end_stream(self, name: str, good: bool) -> None:
        exchange = self.settle(name)
        self.note(exchange, Ended.ANSWERED if good else Ended.ERRORED)
        if good:
            exchange.reply.send(b"\r\n")
        else:
            exchange.reply.cut()

    def cancel(self, action: CancelAttempt) -> None:
        exchange = self.open.get(action.id) or self.ended.get(action.id)
        attempt = exchange.out.get(action.attempt) if exchange else None
        if attempt:
            attempt.cancel()

    def refuse(self, action: Reject) -> None:
        wait_ms = action.retry_after_us // 1000
        self.answer(action.id, b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n", Ended.DEFERRED)

    def fail(self, action: Fail) -> None:
        self.answer(action.id, FAILED, Ended.ERRORED)

    def answer(self, name: str, data: bytes, how: Ended) -> None:
        if exchange := self.settle(name):
            self.note(exchange, how)
            exchange.reply.send(data)

    def note(self, exchange: Exchange, how: Ended) -> None:
        request = exchange.command.request
        self.figures.note(self.class_names[request.class_index], how)
        if exchange.policy:
            log.info(
                "request %s %s by policy %s, taken at %d us",
                request.id,
                how,
                exchange.policy,
                exchange.came_us,
            )

    def settle(self, name: str) -> Exchange | None:
        """The request is owed nothing more; None if that is so already."""
        exchange = self.open.pop(name, None)
        if exchange is None:
            return None
        self.held_bytes -= exchange.command.request.size_bytes
        if not exchange.attempts:
            self.held_waits.note(now_us() - exchange.came_us)
        if exchange.timer:
            exchange.timer.cancel()
        if exchange.out:
            self.ended[name] = exchange
        for attempt in [one for one in exchange.out.values() if not one.written]:
            attempt.withdraw()  # whatever waits for it: nothing is begun for who is gone or has his answer
        return exchange

    def set_timer(self, action: SetTimer) -> None:
        self.ring(now_us() + action.delay_us, action.token)

    def ring(self, due_us: int, token: int) -> None:
        """The loop's timers go by milliseconds and may be early; the module would pass over such a one
        and, as it takes it for still set, never set another."""
        left = due_us - now_us()
        if left > 0:
            wait_s = max(1000, left) / 1e6
            self.loop.call_later(wait_s, self.account.run, Place.MODULE, self.ring, due_us, token)
        else:
            self.post(TimerExpired(token))

    def log_line(self, action: LogLine) -> None:
        log.info("%s", action.text)
