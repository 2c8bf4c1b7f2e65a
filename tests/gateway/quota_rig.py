"""A rig that measures how gateways keep a shared quota while their messages are delayed and lost.

Gateways, clients, servers and the links between the gateways share one simulated clock and one queue of
events. Each message has a random delay, so that messages are reordered. What the gateways send to the
servers is compared with what one token bucket per customer admits of the same arrivals, and a ledger for
each customer accounts for its units. The rig observes the decision cores through wrapped methods.

The long form, which prints a table, is started by hand: `python -m tests.gateway.quota_rig --seeds 1:10`.
"""

import argparse
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from orchidhatch.gateway.actions import Action, Reject, SendAttempt, SendGossip
from orchidhatch.gateway.admission import customer_key
from orchidhatch.gateway.events import PeerMessage, Request, TimerExpired
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.gossip_codec import pack_message, unpack_message
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.reasons import QuotaDecisionSource
from orchidhatch.gateway.settings import Plan
from orchidhatch.gateway.snapshots import CustomerKey
from tests.helpers import MS, PLAN, SETTINGS, S, World, servers

START_US = 100 * S
"""The time at which the gateways of `World` start."""

MIN_DELAY_US = MS
"""The shortest delay of a message between gateways."""

MIN_SERVICE_US = 5 * MS
MAX_SERVICE_US = 20 * MS
"""The service time of an attempt: short enough that overload control stays inactive."""

SERVER_COUNT = 40
"""Enough servers that the limit on attempts in flight is not reached."""

DRAIN_US = 2 * S
"""How long the rig runs on after the last arrival: longer than any wait for a grant."""

REQUEST_TIME_LEFT_US = 6 * S
"""The time to a request's deadline on its arrival."""

NAME_DIGITS = 16
"""The hexadecimal digits of a customer's name in production."""

PEER_MESSAGES_PER_S = 200.0
"""The messages that a gateway may receive: enough that no grant request is omitted for this limit."""

MAX_PROCESSES = 3
"""How many measurements the long form runs at once."""


class ArrivalPattern(Enum):
    """How a customer's arrivals are spread: as a Poisson process, or a fixed number at uniform times."""

    POISSON = "poisson"
    EVEN = "even"


@dataclass(frozen=True, slots=True)
class RigSettings:
    """The settings of one measurement.

    `load` is the units offered as a fraction of the quota. Messages take MIN_DELAY_US to `max_delay_us`, and
    are lost with the probability `loss`. A request has one of `unit_choices` at random. All requests of the
    first `single_gateway_customers` customers come through one gateway each. `uses_wire_format` sends the
    messages as datagrams, with their amounts rounded, in place of handing the objects over. A gateway may
    receive `peer_messages_per_s`, which bounds the requests to leaders too. All customers have `plan`, at
    `plan_index`; those before it are the same.
    """

    seed: int
    load: float
    max_delay_us: int
    loss: float = 0.0
    gateway_count: int = 5
    duration_us: int = 30 * S
    customer_count: int = 12
    arrival_pattern: ArrivalPattern = ArrivalPattern.POISSON
    unit_choices: tuple[float, ...] = (5.0,)
    single_gateway_customers: int = 0
    uses_wire_format: bool = False
    peer_messages_per_s: float = PEER_MESSAGES_PER_S
    plan_index: int = 0
    plan: Plan = PLAN


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request, with its time of arrival and its gateway."""

    id: str
    at_us: int
    customer: str
    gateway: int
    units: float


class LostReport(NamedTuple):
    """The units that a lost message has reported as spent, and its number in the order of sending."""

    number: int
    units: float


@dataclass(slots=True)
class CustomerLedger:
    """The accounting of one customer's units.

    `offered` is what its clients requested, `bucket_admitted` what one token bucket admits of that, `sent`
    what went to the servers. `leader_counted` is what its quota leader has taken from the bucket of the set,
    less what was given back; `leader_forgiven` is the part of it that the bound of the set's debt has left
    out. `unreported` is what members have spent since their last messages, `in_transit` what is reported as
    spent in messages that are still under way. `lost_reports` are, by member, the lost messages since the
    newest one that has arrived, which says their units too. `peak_excess` is the most by which what was sent
    has been above the burst and the refill since the start, at any time.
    """

    name: str
    offered: float = 0.0
    bucket_admitted: float = 0.0
    sent: float = 0.0
    leader_counted: float = 0.0
    leader_forgiven: float = 0.0
    unreported: float = 0.0
    in_transit: float = 0.0
    peak_excess: float = 0.0
    lost_reports: dict[int, list[LostReport]] = field(default_factory=dict)

    @property
    def lost(self) -> float:
        """The units that are reported in lost messages, and in no later one that has arrived."""
        return sum(report.units for reports in self.lost_reports.values() for report in reports)

    def drop_lost_reports(self, member: int, number: int) -> None:
        """Drop the lost reports that the arrived message `number` of the member makes up for."""
        reports = self.lost_reports.get(member, [])
        self.lost_reports[member] = [report for report in reports if report.number > number]

    @property
    def overcounted(self) -> float:
        """The units that the gateways have counted beyond those sent; negative if they counted too few."""
        return self.leader_counted + self.unreported + self.in_transit + self.lost - self.sent


@dataclass(frozen=True, slots=True)
class RigResult:
    """The result of one measurement.

    `decisions` counts quota decisions by their source, `overload_engaged` says whether overload control has
    limited admission at any time, which it must not in a measurement of quotas.
    """

    settings: RigSettings
    ledgers: dict[str, CustomerLedger]
    decisions: Counter[QuotaDecisionSource]
    rejected_count: int
    overload_engaged: bool

    @property
    def share_served(self) -> float:
        """The units sent, as a fraction of what one token bucket a customer admits."""
        admitted = sum(ledger.bucket_admitted for ledger in self.ledgers.values())
        return sum(ledger.sent for ledger in self.ledgers.values()) / admitted

    @property
    def beyond_quota(self) -> float:
        """The units sent beyond rate times time plus burst, as a fraction of that, over the whole run."""
        plan = self.settings.plan
        quota = plan.burst + plan.rate * self.settings.duration_us / S
        excess = sum(max(0.0, ledger.sent - quota) for ledger in self.ledgers.values())
        return excess / (quota * len(self.ledgers))

    @property
    def peak_excess(self) -> float:
        """The most units that a customer has been beyond rate times time plus burst at any time."""
        return max(ledger.peak_excess for ledger in self.ledgers.values())


@dataclass(slots=True)
class TokenBucket:
    """The quota as a single process would enforce it."""

    plan: Plan
    level: float
    refilled_us: int = START_US

    def admits(self, now_us: int, units: float) -> bool:
        """Return whether a request is admitted, and if so take its units."""
        self.level = min(self.plan.burst, self.level + self.plan.rate * (now_us - self.refilled_us) / S)
        self.refilled_us = now_us
        if self.level < units:
            return False
        self.level -= units
        return True


# --- arrivals ---


def customer_names(settings: RigSettings) -> list[str]:
    """Return the customers' names, which determine the quota leader of each."""
    source = random.Random(f"names {settings.seed}")
    return [f"{source.getrandbits(4 * NAME_DIGITS):0{NAME_DIGITS}x}" for _ in range(settings.customer_count)]


def arrival_times_us(settings: RigSettings, source: random.Random) -> Iterator[int]:
    """Yield the arrival times of one customer's requests."""
    mean_units = sum(settings.unit_choices) / len(settings.unit_choices)
    per_second = settings.load * settings.plan.rate / mean_units
    if settings.arrival_pattern is ArrivalPattern.EVEN:
        count = round(per_second * settings.duration_us / S)
        yield from sorted(START_US + source.randrange(settings.duration_us) for _ in range(count))
        return
    at_us = START_US + source.expovariate(per_second) * S
    while at_us < START_US + settings.duration_us:
        yield int(at_us)
        at_us += source.expovariate(per_second) * S


def draw_arrivals(settings: RigSettings) -> list[Arrival]:
    """All customers' requests in the order of their arrival."""
    source = random.Random(f"arrivals {settings.seed} {settings.load}")
    arrivals = []
    for index, customer in enumerate(customer_names(settings)):
        only_gateway = source.randrange(settings.gateway_count)
        uses_one_gateway = index < settings.single_gateway_customers
        for number, at_us in enumerate(arrival_times_us(settings, source)):
            gateway = only_gateway if uses_one_gateway else source.randrange(settings.gateway_count)
            units = source.choice(settings.unit_choices)
            arrivals.append(Arrival(f"{customer}-{number}", at_us, customer, gateway, units))
    return sorted(arrivals, key=lambda arrival: (arrival.at_us, arrival.id))


# --- the rig ---


@dataclass(order=True, slots=True)
class ScheduledEvent:
    """What the rig does at a time; events of the same time keep their order."""

    at_us: int
    number: int
    run: Callable[[], None] = field(compare=False)


class QuotaRig:
    """The gateways, their clients, servers and links, on one simulated clock."""

    def __init__(self, settings: RigSettings) -> None:
        self.settings = settings
        self.now_us = START_US
        self.events: list[ScheduledEvent] = []
        self.numbers = itertools.count()
        self.random = random.Random(f"links {settings.seed}")
        self.arrivals = {arrival.id: arrival for arrival in draw_arrivals(settings)}
        self.ledgers = {name: CustomerLedger(name) for name in customer_names(settings)}
        self.buckets = {name: TokenBucket(settings.plan, settings.plan.burst) for name in self.ledgers}
        self.bucket_admitted: set[str] = set()
        self.sent: set[str] = set()
        self.decisions: Counter[QuotaDecisionSource] = Counter()
        self.rejected_count = 0
        self.overload_engaged = False
        self.ledger_by_checksum = {checksum_of(name): ledger for name, ledger in self.ledgers.items()}
        self.worlds = [self.new_world(index) for index in range(settings.gateway_count)]
        for arrival in self.arrivals.values():
            self.schedule(arrival.at_us, lambda arrival=arrival: self.on_arrival(arrival))

    def new_world(self, index: int) -> World:
        """Return a new gateway, with its decisions and leader counts observed."""
        settings = self.settings
        gateway_settings = replace(
            SETTINGS,
            gateway_index=index,
            gateway_count=settings.gateway_count,
            seed=settings.seed * settings.gateway_count + index,
            peer_messages_per_s=settings.peer_messages_per_s,
            plans=(settings.plan,) * (settings.plan_index + 1),
        )
        world = World(gateway_settings, servers(SERVER_COUNT))
        self.take_timers(world, index)
        self.observe_decisions(world)
        self.observe_leader_counts(world.gateway.quotas)
        return world

    # --- observation of the product ---

    def observe_decisions(self, world: World) -> None:
        """Count the gateway's quota decisions."""
        counters = world.gateway.counters
        count_decision = counters.count_decision

        def count(source: QuotaDecisionSource, answer_age_us: int) -> None:
            self.decisions[source] += 1
            count_decision(source, answer_age_us)

        counters.count_decision = count

    def observe_leader_counts(self, quotas: QuotaLeaders) -> None:
        """Record the units that the gateway counts for the customers that it leads."""
        new_customer = quotas.create_customer

        def new_observed_customer(key: CustomerKey) -> Customer:
            customer = new_customer(key)
            if customer.is_leader:
                self.observe_set_bucket(customer)
            return customer

        quotas.create_customer = new_observed_customer

    def observe_set_bucket(self, customer: Customer) -> None:
        """Record the units taken from the customer's bucket for the gateway set."""
        buckets = customer.quota
        spend_from_set = buckets.spend_from_set
        checksum = customer.key.customer

        def spend(units: float) -> None:
            level_before = buckets.set_level
            spend_from_set(units)
            ledger = self.ledger_by_checksum[checksum]
            ledger.leader_counted += units
            ledger.leader_forgiven += units - (level_before - buckets.set_level)

        def count_grant(units: float) -> None:
            count(units)
            self.ledger_by_checksum[checksum].leader_counted += units

        count = buckets.count_grant
        buckets.spend_from_set = spend
        buckets.count_grant = count_grant

    # --- the clock ---

    def schedule(self, at_us: int, run: Callable[[], None]) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self.events, ScheduledEvent(at_us, next(self.numbers), run))

    def run(self) -> RigResult:
        """Run to the end, and return what was measured."""
        end_us = START_US + self.settings.duration_us + DRAIN_US
        while self.events and self.events[0].at_us <= end_us:
            event = heapq.heappop(self.events)
            self.now_us = event.at_us
            event.run()
        self.book_unreported()
        return RigResult(
            self.settings, self.ledgers, self.decisions, self.rejected_count, self.overload_engaged
        )

    # --- events ---

    def on_arrival(self, arrival: Arrival) -> None:
        """Handle a client's request at its gateway, and in the token bucket for comparison."""
        request = Request(
            arrival.id,
            0,
            self.settings.plan_index,
            arrival.customer,
            REQUEST_TIME_LEFT_US,
            units=arrival.units,
            set_size=self.settings.gateway_count,
        )
        ledger = self.ledgers[arrival.customer]
        ledger.offered += arrival.units
        if self.buckets[arrival.customer].admits(self.now_us, arrival.units):
            self.bucket_admitted.add(arrival.id)
            ledger.bucket_admitted += arrival.units
        world = self.at_gateway(arrival.gateway)
        self.carry_out(arrival.gateway, world.tell(request))

    def at_gateway(self, gateway: int) -> World:
        """Return the gateway, with its clock set to the current time."""
        world = self.worlds[gateway]
        world.now = self.now_us
        return world

    def carry_out(self, gateway: int, actions: Iterable[Action]) -> None:
        """Carry out a gateway's actions."""
        world = self.worlds[gateway]
        self.take_timers(world, gateway)
        world.log.clear()
        if world.gateway.overload.admission_limit is not None:
            self.overload_engaged = True
        for action in actions:
            if isinstance(action, SendGossip):
                self.send_gossip(gateway, action)
            elif isinstance(action, SendAttempt):
                self.on_attempt_sent(gateway, action)
            elif isinstance(action, Reject):
                self.rejected_count += 1

    def take_timers(self, world: World, gateway: int) -> None:
        """Move the gateway's new timers into the rig's queue of events."""
        for due_us, token in world.timers:
            self.schedule(due_us, lambda token=token: self.on_timer(gateway, token))
        world.timers.clear()

    def on_timer(self, gateway: int, token: int) -> None:
        """Handle an expired timer of a gateway."""
        self.carry_out(gateway, self.at_gateway(gateway).tell(TimerExpired(token)))

    def on_attempt_sent(self, gateway: int, action: SendAttempt) -> None:
        """Handle an attempt sent to a server; only the first attempt of a request is counted."""
        if action.id not in self.sent:
            self.sent.add(action.id)
            arrival = self.arrivals[action.id]
            ledger = self.ledgers[arrival.customer]
            ledger.sent += arrival.units
            plan = self.settings.plan
            allowed = plan.burst + plan.rate * (self.now_us - START_US) / S
            ledger.peak_excess = max(ledger.peak_excess, ledger.sent - allowed)
        attempt = self.worlds[gateway].tries[action.id] - 1
        ends_us = self.now_us + self.random.randint(MIN_SERVICE_US, MAX_SERVICE_US)
        self.schedule(ends_us, lambda: self.on_attempt_ended(gateway, action.id, attempt))

    def on_attempt_ended(self, gateway: int, request_id: str, attempt: int) -> None:
        """Handle a server's response to an attempt."""
        self.carry_out(gateway, self.at_gateway(gateway).answer(request_id, attempt=attempt))

    # --- links ---

    def send_gossip(self, sender: int, gossip: SendGossip) -> None:
        """Schedule the delivery of a gateway's messages, or lose them."""
        for messages in self.datagrams(gossip):
            is_lost = self.random.random() < self.settings.loss
            delay_us = self.random.randint(MIN_DELAY_US, self.settings.max_delay_us)
            number = next(self.numbers)
            for message in messages:
                self.book_report(sender, message, number if is_lost else None)
            if not is_lost:
                event = PeerMessage(sender, messages, gossip.observations)
                self.schedule(
                    self.now_us + delay_us,
                    lambda event=event, number=number: self.on_delivery(gossip.peer, event, number),
                )

    def datagrams(self, gossip: SendGossip) -> list[tuple[GossipMessage, ...]]:
        """Return the messages grouped by datagram."""
        if not self.settings.uses_wire_format:
            return [gossip.messages]
        return [unpack_message(datagram)[0] for datagram in pack_message(gossip.messages)]

    def book_report(self, sender: int, message: GossipMessage, lost_number: int | None) -> None:
        """Record the units that a member's message reports as spent, when it is sent.

        `lost_number` is the number of a lost message, None if the message is not lost.
        """
        if message.is_answer:
            return
        ledger = self.ledger_by_checksum[message.customer]
        if lost_number is None:
            ledger.in_transit += message.spent
        else:
            ledger.lost_reports.setdefault(sender, []).append(LostReport(lost_number, message.spent))

    def on_delivery(self, gateway: int, event: PeerMessage, number: int) -> None:
        """Deliver the messages with the sequence number `number` to a gateway."""
        for message in event.messages:
            if not message.is_answer:
                ledger = self.ledger_by_checksum[message.customer]
                ledger.in_transit -= message.spent
                ledger.drop_lost_reports(event.sender, number)
        self.carry_out(gateway, self.at_gateway(gateway).tell(event))

    def book_unreported(self) -> None:
        """Record what members have spent since their last messages, and what their outboxes hold."""
        for member, world in enumerate(self.worlds):
            for key, customer in world.gateway.quotas.customers.items():
                if not customer.is_leader:
                    self.ledger_by_checksum[key.customer].unreported += customer.quota.unreported_spend
            for messages in world.gateway.outbox.waiting.values():
                for message in messages:
                    self.book_report(member, message, lost_number=None)


def checksum_of(name: str) -> int:
    """Return the checksum that identifies a customer in messages."""
    return customer_key(Request("", 0, 0, name, 0)).customer


def measure(settings: RigSettings) -> RigResult:
    """Run one measurement."""
    return QuotaRig(settings).run()


# --- the long form ---


@dataclass(frozen=True, slots=True)
class Cell:
    """A named setting of the links, measured at each load."""

    name: str
    max_delay_us: int
    loss: float


CELLS = (
    Cell("L 5 ms, p 0", 5 * MS, 0.0),
    Cell("L 120 ms, p 0", 120 * MS, 0.0),
    Cell("L 60 ms, p 0.1", 60 * MS, 0.1),
    Cell("L 60 ms, p 0.3", 60 * MS, 0.3),
    Cell("L 60 ms, p 0.6", 60 * MS, 0.6),
    Cell("L 60 ms, p 0.9", 60 * MS, 0.9),
)
LOADS = (0.9, 3.0)

VARIANT_CELL = Cell("L 110 ms, p 0, 4 gateways, units 1 to 5", 110 * MS, 0.0)
"""Four gateways, requests of mixed units, and one customer whose requests come through one gateway."""


def table_settings(seed: int) -> Iterator[tuple[str, RigSettings]]:
    """Yield the table's measurements for one seed, each with the name of its cell."""
    for load, cell in itertools.product(LOADS, CELLS):
        yield f"{load}, {cell.name}", RigSettings(seed, load, cell.max_delay_us, cell.loss)
    for load in LOADS:
        yield (
            f"{load}, {VARIANT_CELL.name}",
            RigSettings(
                seed,
                load,
                VARIANT_CELL.max_delay_us,
                VARIANT_CELL.loss,
                gateway_count=4,
                unit_choices=(1.0, 2.0, 3.0, 4.0, 5.0),
                single_gateway_customers=1,
            ),
        )


def format_cell(name: str, results: list[RigResult]) -> str:
    """Return a row of the table: mean share, worst and best seed, excess over the quota, and counts."""
    mean_share = sum(result.share_served for result in results) / len(results)
    worst = min(results, key=lambda result: result.share_served)
    best = max(results, key=lambda result: result.share_served)
    beyond = sum(result.beyond_quota for result in results) / len(results)
    beyond_most = max(result.beyond_quota for result in results)
    peak = max(result.peak_excess for result in results)
    ledgers = [ledger for result in results for ledger in result.ledgers.values()]
    overcounted = sum(ledger.overcounted for ledger in ledgers) / sum(ledger.sent for ledger in ledgers)
    decisions: Counter[str] = Counter()
    for result in results:
        decisions.update({source.name: count for source, count in result.decisions.items()})
    counts = ", ".join(f"{source} {count}" for source, count in decisions.most_common())
    engaged = sum(result.overload_engaged for result in results)
    return (
        f"| {name} | {mean_share:.3f} | {worst.share_served:.3f} (seed {worst.settings.seed})"
        f" | {best.share_served:.3f} | {beyond:.3f}, at most {beyond_most:.3f} | {peak:.1f}"
        f" | {overcounted:+.3f} | {engaged} | {counts} |"
    )


TABLE_HEAD = (
    "| offered, links | mean share | worst seed | best seed | beyond quota | peak excess, units"
    " | over-counted, of sent | runs with overload control | decisions |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def seed_range(text: str) -> range:
    """Return the seeds from FIRST to LAST, given as `FIRST:LAST`."""
    first, _, last = text.partition(":")
    return range(int(first), int(last or first) + 1)


def main() -> None:
    """Measure the whole table, and print it."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=seed_range, default=seed_range("1:10"), help="FIRST:LAST")
    parser.add_argument("--processes", type=int, default=MAX_PROCESSES)
    parser.add_argument(
        "--arrivals", choices=[pattern.value for pattern in ArrivalPattern], default="poisson"
    )
    parser.add_argument("--wire-format", action="store_true", help="send datagrams with rounded amounts")
    parser.add_argument(
        "--peer-messages", type=float, default=PEER_MESSAGES_PER_S, help="a second, at each gateway"
    )
    arguments = parser.parse_args()
    named = [
        (
            name,
            replace(
                settings,
                arrival_pattern=ArrivalPattern(arguments.arrivals),
                uses_wire_format=arguments.wire_format,
                peer_messages_per_s=arguments.peer_messages,
            ),
        )
        for seed in arguments.seeds
        for name, settings in table_settings(seed)
    ]
    with ProcessPoolExecutor(arguments.processes) as pool:
        results = list(pool.map(measure, [settings for _, settings in named]))
    print(TABLE_HEAD)
    for name in dict.fromkeys(name for name, _ in named):
        print(
            format_cell(
                name, [result for (own, _), result in zip(named, results, strict=True) if own == name]
            )
        )


if __name__ == "__main__":
    main()
