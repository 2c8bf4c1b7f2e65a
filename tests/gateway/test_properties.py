"""Any legal sequence of events keeps the rules on retries, deadlines and rate ceilings."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidhatch.gateway.actions import Action, Fail, Reject, SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.gateway.events import AttemptEnded, EndpointList, Event, Request
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from tests.helpers import MS, SETTINGS, S, World, servers

CLASSES = (
    RequestClass(S, 2 * S),
    RequestClass(
        S, 3 * S, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE, dedup_window_us=S
    ),
    RequestClass(
        S, 3 * S, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.CELL, dedup_window_us=2 * S
    ),
    RequestClass(
        S, 3 * S, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ALL, dedup_window_us=2 * S
    ),
    RequestClass(S, 3 * S, idempotency=Idempotency.UNSAFE),
)
PLANS = (
    Plan(rate=5.0, burst=5.0),
    Plan(max_in_flight=2),
    Plan(rate=9.0, burst=9.0, ceiling_rate=12.0, ceiling_burst=10.0, ceiling_slack=1.0),
)
NOT_RUN = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED)
FAILURES = (*NOT_RUN, AttemptResult.ERROR, AttemptResult.RESET)
STEP = st.tuples(st.integers(0, 9), st.integers(0, 10_000), st.integers(0, 400))


class RuleChecker(World):
    """A world that checks each action against the rules.

    `requests` has each request and its arrival, `may_have_run` the servers and times of a request's attempts
    that are not known not to have run.
    """

    def __init__(self, core_settings: Settings) -> None:
        self.requests: dict[str, tuple[Request, int]] = {}
        self.ended: set[str] = set()
        self.may_have_run: dict[str, list[tuple[str, int]]] = {}
        self.endpoints = {server.name: server for server in servers(4)}
        self.ceiling_units = 10.0
        self.ceiling_refilled_us = 100 * S
        super().__init__(core_settings)

    def tell(self, event: Event) -> list[Action]:
        if isinstance(event, Request):
            self.requests[event.id] = (event, self.now)
        actions = super().tell(event)
        for action in actions:
            if isinstance(action, SendAttempt):
                self.check_send(action)
            elif isinstance(action, Reject | Fail):
                self.check_end(action)
        return actions

    def check_send(self, action: SendAttempt) -> None:
        request, _ = self.requests[action.id]
        rule = CLASSES[request.class_index]
        before = self.may_have_run.setdefault(action.id, [])
        assert action.id not in self.ended
        assert self.endpoints[action.server].state is EndpointState.UP
        in_flight = [key for key in self.out if key[0] == action.id]
        assert len(in_flight) == 1 or (self.gateway.settings.may_hedge and len(in_flight) == 2)
        if before and rule.idempotency is not Idempotency.SAFE:
            assert rule.idempotency is Idempotency.KEYED
            first = self.endpoints[before[0][0]]
            server = self.endpoints[action.server]
            assert rule.dedup_scope is not DeduplicationScope.ZONE or first.zone == server.zone
            assert rule.dedup_scope is not DeduplicationScope.CELL or first.cell == server.cell
            assert self.now < before[0][1] + rule.dedup_window_us
        if not before and self.tries[action.id] == 1 and request.plan_index == 2:
            self.ceiling_units = (
                min(10.0, self.ceiling_units + 12.0 * (self.now - self.ceiling_refilled_us) / S)
                - request.units
            )
            self.ceiling_refilled_us = self.now
            assert self.ceiling_units >= -1.0
        before.append((action.server, self.now))

    def check_end(self, action: Reject | Fail) -> None:
        request, arrived_us = self.requests[action.id]
        rule = CLASSES[request.class_index]
        assert action.id not in self.ended
        self.ended.add(action.id)
        assert self.now <= arrived_us + request.time_left_us + 8 * MS
        if isinstance(action, Reject) and self.may_have_run.get(action.id):
            keyed = rule.idempotency is Idempotency.KEYED and rule.dedup_scope is DeduplicationScope.ALL
            assert rule.idempotency is Idempotency.SAFE or keyed

    def settle(self, key: tuple[str, int], result: AttemptResult) -> None:
        """End an attempt; one that is known not to have run no longer restricts its request's retries."""
        server, sent, _ = self.out.pop(key)
        if result in NOT_RUN:
            self.may_have_run[key[0]].remove((server, sent))
        is_final = key[0] in self.ended or result is AttemptResult.OK
        if result is AttemptResult.OK:
            self.ended.add(key[0])
        self.tell(AttemptEnded(key[0], is_final, key[1], server, result, self.now - sent))

    def pass_time(self, time_us: int) -> None:
        """Let time pass in steps of a millisecond, and time out the attempts that are due."""
        end = self.now + time_us
        while self.now < end:
            self.run(min(MS, end - self.now))
            for key, (_, sent, timeout) in list(self.out.items()):
                request, arrived_us = self.requests[key[0]]
                if self.now >= min(sent + timeout, arrived_us + request.time_left_us) and key in self.out:
                    self.settle(key, AttemptResult.TIMEOUT)

    def restart(self) -> None:
        """Kill the gateway with its requests, and start another one that knows the endpoint list only."""
        self.ended.update(self.requests)
        self.out.clear()
        self.timers.clear()
        self.gateway = type(self.gateway)(self.gateway.settings)
        self.tell(EndpointList(EndpointListKind.SAVED, 1, tuple(self.endpoints.values())))

    def change_server(self, number: int) -> None:
        name = f"s{number % 4}"
        state = list(EndpointState)[number % 3]
        started = self.now if number % 5 == 0 else self.endpoints[name].started_us
        self.endpoints[name] = replace(self.endpoints[name], state=state, started_us=started)
        self.tell(EndpointList(EndpointListKind.CHANGES, 2, (self.endpoints[name],)))


def play(parallel: bool, steps: list[tuple[int, int, int]]) -> RuleChecker:
    world = RuleChecker(replace(SETTINGS, classes=CLASSES, plans=PLANS, may_hedge=parallel))
    for count, (kind, number, wait) in enumerate(steps):
        if kind <= 4:
            world.ask(
                f"q{count}",
                time_left_us=number * 100,
                class_index=kind,
                plan_index=number % 3,
                customer=f"c{number % 3}",
            )
        elif kind <= 7 and world.out:
            key = list(world.out)[number % len(world.out)]
            world.settle(key, AttemptResult.OK if kind == 5 else FAILURES[number % len(FAILURES)])
        elif kind == 8:
            world.change_server(number)
        elif number % 20 == 0:
            world.restart()
        world.pass_time(wait * 250)
    world.pass_time(4 * S)
    return world


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(st.booleans(), st.lists(STEP, min_size=5, max_size=50))
def test_rules_hold_for_any_sequence_of_events(parallel: bool, steps: list[tuple[int, int, int]]) -> None:
    world = play(parallel, steps)
    assert set(world.requests) == world.ended
    assert not world.gateway.requests and not world.gateway.queue
