"""Drives decision cores in tests: settings, endpoints, and a world with a clock, timers and attempts."""

import random
from collections.abc import Iterable
from dataclasses import replace

from orchidhatch.gateway.actions import Action, SendAttempt, SendGossip, SetTimer
from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind, EndpointState
from orchidhatch.gateway.events import AttemptEnded, EndpointList, Event, PeerMessage, Request, TimerExpired
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

MS = 1_000
S = 1_000_000
SAFE = RequestClass(latency_objective_us=2 * S, deadline_us=6 * S)
KEYED = RequestClass(
    2 * S, 6 * S, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE, dedup_window_us=3 * S
)
UNSAFE = RequestClass(2 * S, 6 * S, idempotency=Idempotency.UNSAFE)
PLAN = Plan(rate=10.0, burst=20.0)
SETTINGS = Settings(
    seed=7,
    gateway_index=0,
    gateway_count=1,
    classes=(SAFE,),
    plans=(PLAN,),
    max_attempts=3,
    may_cancel=True,
    may_gossip=True,
    peer_messages_per_s=100.0,
    max_retry_after_us=500 * MS,
    cold_capacity=0.2,
    warm_up_us=10 * S,
    overload_multiple=2.0,
    overload_time_us=S,
    answer_grace_us=8 * MS,
)


def with_class(rule: RequestClass, **changes: object) -> Settings:
    return replace(SETTINGS, classes=(rule,), **changes)


def servers(count: int, **changes: object) -> tuple[Endpoint, ...]:
    return tuple(
        replace(Endpoint(f"s{n}", n % 2, 0, n // 2, EndpointState.UP), **changes) for n in range(count)
    )


class World:
    """One gateway with its clock, timers and attempts in flight (`out`: server, time sent, timeout)."""

    def __init__(self, settings: Settings = SETTINGS, fleet: Iterable[Endpoint] = servers(4)) -> None:
        self.now = 100 * S
        self.gateway = GatewayCore(settings)
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, Action]] = []
        self.out: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.tries: dict[str, int] = {}
        self.tell(EndpointList(EndpointListKind.SAVED, 1, tuple(fleet)))

    def tell(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.token))
            if isinstance(action, SendAttempt):
                number = self.tries.get(action.id, 0)
                self.tries[action.id] = number + 1
                self.out[(action.id, number)] = (action.server, self.now, action.timeout_us)
        return actions

    def run(self, time_us: int) -> list[Action]:
        """Let time pass, and return the actions that timers brought."""
        end = self.now + time_us
        start = len(self.log)
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = due[0]
            self.tell(TimerExpired(due[1]))
        self.now = end
        return [action for _, action in self.log[start:]]

    def ask(self, name: str, time_left_us: int = 6 * S, **values: object) -> list[Action]:
        request = Request(name, 0, 0, "c", time_left_us)
        return self.tell(replace(request, **values))

    def answer(
        self,
        name: str,
        result: AttemptResult = AttemptResult.OK,
        attempt: int = 0,
        report: LoadReport | None = None,
    ) -> list[Action]:
        server, sent, _ = self.out.pop((name, attempt))
        is_final = result is AttemptResult.OK
        event = AttemptEnded(name, is_final, attempt, server, result, self.now - sent, report=report)
        return self.tell(event)


def loaded_world(util: float, plans: tuple[Plan, ...] = (Plan(),)) -> World:
    """One of two gateways, after a second of answers that report the utilization."""
    classes = (RequestClass(latency_objective_us=6 * S, deadline_us=6 * S),)
    world = World(replace(SETTINGS, plans=plans, gateway_count=2, classes=classes))
    for n in range(20):
        world.ask(f"w{n}")
        world.run(50 * MS)
        world.answer(f"w{n}", report=LoadReport(util=util))
    world.run(20 * MS)
    return world


def of(kind: type, actions: Iterable[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, kind)]


class Set:
    """Several gateways that a customer's requests come through, with the messages between them."""

    def __init__(
        self,
        count: int,
        settings: Settings = SETTINGS,
        fleet: Iterable[Endpoint] = servers(4),
        loss: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.worlds = [
            World(replace(settings, gateway_index=n, gateway_count=count, seed=seed * count + n), fleet)
            for n in range(count)
        ]
        self.posted: list[tuple[int, SendGossip]] = []
        self.random = random.Random(3)
        self.loss = loss
        self.down = -1
        self.lasts_us = 0  # the shortest time for which an attempt is in flight

    def carry(self, sender: int, actions: Iterable[Action]) -> None:
        self.posted += [(sender, action) for action in of(SendGossip, actions)]

    def ask(self, me: int, name: str, **values: object) -> None:
        self.carry(me, self.worlds[me].ask(name, set_size=len(self.worlds), **values))

    def run(self, time_us: int) -> None:
        """Let time pass in steps of 10 ms, delivering messages and answering attempts."""
        for _ in range(time_us // (10 * MS)):
            posted = self.posted
            self.posted = []
            for sender, gossip in posted:
                if self.random.random() >= self.loss and self.down not in (sender, gossip.peer):
                    event = PeerMessage(sender, gossip.messages, gossip.observations)
                    self.carry(gossip.peer, self.worlds[gossip.peer].tell(event))
            for me, world in enumerate(self.worlds):
                self.carry(me, world.run(10 * MS))
                for (name, attempt), (_, sent, _) in list(world.out.items()):
                    if world.now - sent >= self.lasts_us:
                        self.carry(me, world.answer(name, attempt=attempt))

    def restart(self, me: int, seed: int) -> None:
        """Replace a gateway that was killed by a new one; its attempts are lost."""
        world = self.worlds[me]
        world.out.clear()
        world.timers.clear()
        world.gateway = GatewayCore(replace(world.gateway.settings, seed=seed))
        self.carry(me, world.tell(EndpointList(EndpointListKind.SAVED, 1, servers(4))))

    def sent(self) -> int:
        return sum(isinstance(action, SendAttempt) for world in self.worlds for _, action in world.log)
