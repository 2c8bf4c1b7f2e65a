"""What a quota leader has counted as spent, and what was admitted, under every order of their messages.

A pair holds each message between a member and the leader; tests deliver, reorder or lose it by hand.
"""

import zlib
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import Action, Reject, SendAttempt, SendGossip
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import (
    EndpointList,
    Event,
    PeerMessage,
    StartHandover,
    TimerExpired,
)
from orchidhatch.gateway.gossip import NO_GRANT_NUMBER, GossipMessage
from orchidhatch.gateway.gossip_codec import pack_message, unpack_message
from orchidhatch.gateway.grant_requests import GRANT_REQUEST_TTL_US
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US, MAX_GRANT_REQUESTS, MIN_BACKOFF_US
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.reasons import QuotaDecisionSource
from orchidhatch.gateway.settings import Plan, Settings
from orchidhatch.gateway.snapshots import (
    CustomerKey,
    GatewaySnapshot,
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverSpend,
)
from tests.helpers import MS, SETTINGS, World, of, servers

GATEWAYS = 4
LEADER = 0
MEMBER = 1
BURST = 20.0
PLAN = Plan(rate=1e-6, burst=BURST)  # The rate is too low to refill anything during a test.
SLOTS_PLAN = replace(PLAN, max_in_flight=2)
SEND_SPACING = 1 * MS
"""After so long the outbox sends what it has, whatever went before."""

PAST_ONE_WAIT = LEADER_REPLY_TIMEOUT_US + 10 * MS
PAST_ALL_WAITS = MAX_GRANT_REQUESTS * PAST_ONE_WAIT
"""After so long a request is decided without an answer, its grant requested as often as permitted."""

PAST_EXPIRY = GRANT_REQUEST_TTL_US + 10 * MS
"""After so long without an answer the leader is taken to have counted nothing."""

PAST_BACKOFF = 3 * MIN_BACKOFF_US // 2 + 50 * MS
ANSWERED = QuotaDecisionSource.GRANT_ANSWER
TIMED_OUT = QuotaDecisionSource.ANSWER_TIMEOUT


def customer_name(remainder: int, skipped: int = 0) -> str:
    """A customer whose leader is that many places after the first gateway of its set."""
    names = [str(number) for number in range(100) if zlib.crc32(str(number).encode()) % GATEWAYS == remainder]
    return names[skipped]


CUSTOMER = customer_name(LEADER)
OTHER_CUSTOMER = customer_name(LEADER, skipped=1)


def record_decisions(world: World) -> list[QuotaDecisionSource]:
    """The sources of the gateway's quota decisions from now on, in order."""
    sources: list[QuotaDecisionSource] = []
    count_decision = world.gateway.counters.count_decision

    def record(source: QuotaDecisionSource, answer_age_us: int) -> None:
        sources.append(source)
        count_decision(source, answer_age_us)

    world.gateway.counters.count_decision = record
    return sources


def record_spending(world: World) -> list[float]:
    """The units that the gateway's requests spend from now on, in order."""
    spent: list[float] = []
    spend = world.gateway.quotas.spend

    def record(customer: Customer, units: float) -> None:
        spent.append(units)
        spend(customer, units)

    world.gateway.quotas.spend = record
    return spent


class HeldPair:
    """A member and its quota leader, with every message between them held until it is delivered or lost.

    `to_leader` and `to_member` are the held messages in the order in which they were sent.
    """

    def __init__(self, plan: Plan = PLAN, through_codec: bool = False, **changes: object) -> None:
        shared = replace(
            SETTINGS, gateway_count=GATEWAYS, plans=(plan,), peer_messages_per_s=100_000.0, **changes
        )
        self.burst = plan.burst
        self.through_codec = through_codec
        self.member = World(replace(shared, gateway_index=MEMBER, seed=1))
        self.leader = World(replace(shared, gateway_index=LEADER, seed=2))
        self.to_leader: list[PeerMessage] = []
        self.to_member: list[PeerMessage] = []
        self.read_count = {MEMBER: 0, LEADER: 0}
        self.units: dict[str, float] = {}
        self.sources = record_decisions(self.member)
        self.spent = [record_spending(self.member), record_spending(self.leader)]
        self.run(1100 * MS)
        self.introduce(CUSTOMER)

    def introduce(self, name: str) -> None:
        """Make the customer known to the leader while its quota is full."""
        self.report(self.new_customer(name))
        self.deliver_all()
        assert self.counted(name) == pytest.approx(0.0, abs=0.01)

    def new_customer(self, name: str) -> Customer:
        """The customer at the member, which need not know it yet."""
        return self.member.gateway.quotas.customer(CustomerKey(zlib.crc32(name.encode()), 0, 0, GATEWAYS))

    # --- messages ---

    def collect(self) -> None:
        """Hold what the gateways have sent each other since the last call."""
        for sender, world, held in (
            (MEMBER, self.member, self.to_leader),
            (LEADER, self.leader, self.to_member),
        ):
            actions = [action for _, action in world.log[self.read_count[sender] :]]
            self.read_count[sender] = len(world.log)
            mark = world.gateway.settings.policy_mark
            for gossip in of(SendGossip, actions):
                held += [PeerMessage(sender, (message,), policy_mark=mark) for message in gossip.messages]

    def tell(self, world: World, event: Event) -> list[Action]:
        """Give one gateway an event, and hold what it sends; what its core then asks for is returned."""
        actions = world.tell(event)
        self.collect()
        return actions

    def deliver_to_leader(self, index: int = 0) -> None:
        """Deliver one of the held messages to the leader."""
        self.tell(self.leader, self.on_arrival(self.to_leader.pop(index)))
        self.run(SEND_SPACING)

    def deliver_to_member(self, index: int = 0) -> list[str]:
        """Deliver one of the held messages to the member, and return the requests that it decided."""
        actions = self.tell(self.member, self.on_arrival(self.to_member.pop(index)))
        return [action.id for action in of(SendAttempt, actions) + of(Reject, actions)]

    def on_arrival(self, event: PeerMessage) -> PeerMessage:
        """The message as it arrives, with its amounts rounded where it goes through the codec."""
        if not self.through_codec:
            return event
        [datagram] = pack_message(event.messages)
        messages, _ = unpack_message(datagram)
        return replace(event, messages=messages)

    def deliver_all(self) -> None:
        """Deliver every held message, and those that are sent in return."""
        while self.to_leader or self.to_member:
            while self.to_leader:
                self.deliver_to_leader()
            while self.to_member:
                self.deliver_to_member()

    def lose_all(self) -> None:
        """Lose every held message."""
        self.to_leader.clear()
        self.to_member.clear()

    # --- requests and time ---

    def ask(self, name: str, units: float, customer: str = CUSTOMER, at_leader: bool = False) -> None:
        """A request comes to the member, or to the leader."""
        world = self.leader if at_leader else self.member
        self.units[name] = units
        world.ask(name, customer=customer, units=units, set_size=GATEWAYS)
        self.run(SEND_SPACING)

    def run(self, time_us: int) -> None:
        """Let time pass at both while all messages stay held."""
        self.member.run(time_us)
        self.leader.run(time_us)
        self.collect()

    def serve(self) -> None:
        """Let backends answer what the member sends them, until nothing is queued at it."""
        while self.member.out:
            for name, attempt in list(self.member.out):
                self.member.answer(name, attempt=attempt)
            self.run(50 * MS)

    def report(self, customer: Customer) -> None:
        """Let the member send its leader a report."""
        self.member.gateway.quotas.report_demand(customer)
        self.tell(self.member, TimerExpired(0))
        self.run(SEND_SPACING)

    def use_up_allowance(self) -> None:
        """Spend of the allowance, so that a request of more than the local share is rejected by it."""
        self.ask("small", units=1.0)
        self.deliver_all()

    def set_leader_level(self, level: float) -> None:
        """Leave so many units to the set, by a request at the leader."""
        customer = self.customer_at(self.leader)
        self.ask("own", units=customer.quota.set_level - level, at_leader=True)
        assert customer.quota.set_level == pytest.approx(level, abs=0.01)

    def restart_leader(self, **changes: object) -> None:
        """Replace the leader by a new process that knows nothing."""
        settings: Settings = replace(self.leader.gateway.settings, **changes)
        self.leader.timers.clear()
        self.leader.gateway = GatewayCore(settings)
        self.tell(self.leader, EndpointList(EndpointListKind.SAVED, 1, servers(4)))

    # --- what was counted and what was admitted ---

    def customer_at(self, world: World, name: str = CUSTOMER) -> Customer:
        """The customer as a gateway knows it."""
        checksum = zlib.crc32(name.encode())
        [customer] = [
            customer for key, customer in world.gateway.quotas.customers.items() if key.customer == checksum
        ]
        return customer

    def counted(self, name: str = CUSTOMER) -> float:
        """The units that the leader has counted as spent."""
        return self.burst - self.customer_at(self.leader, name).quota.set_level

    def sent(self) -> set[str]:
        """The requests that were sent to a backend."""
        return {action.id for world in (self.member, self.leader) for action in of_log(SendAttempt, world)}

    def admitted(self, name: str) -> bool:
        """Whether a request was sent to a backend."""
        return name in self.sent()

    def admitted_units(self) -> float:
        """The units of all requests that were sent to a backend."""
        return sum(self.units[name] for name in self.sent())

    def spent_units(self) -> float:
        """The units of all requests that were admitted by the quota, sent to a backend yet or not."""
        return sum(units for spent in self.spent for units in spent)

    def settle(self) -> None:
        """Let what remains arrive, the last waits end, presumed grants expire, and report each customer."""
        self.deliver_all()
        self.run(PAST_ALL_WAITS)
        self.deliver_all()
        self.run(PAST_EXPIRY)
        self.deliver_all()
        for customer in list(self.member.gateway.quotas.customers.values()):
            self.report(customer)
        self.deliver_all()

    def check(self, answered: int, granted_unheard: float = 0.0) -> None:
        """The leader has counted what was admitted, and only requests with an answer were decided by one.

        In addition it has counted `granted_unheard`: the grants whose answers never reached the member.
        """
        self.settle()
        assert not self.member.gateway.admission.awaiting_grant
        assert not self.member.gateway.quotas.member.presumed
        assert self.sources.count(ANSWERED) == answered
        assert self.counted() == pytest.approx(self.admitted_units() + granted_unheard, abs=0.03)

    def asks(self) -> list[GossipMessage]:
        """The messages that are held on their way to the leader."""
        return [message for event in self.to_leader for message in event.messages]

    def answers(self) -> list[GossipMessage]:
        """The messages that are held on their way to the member."""
        return [message for event in self.to_member for message in event.messages]


def of_log(kind: type, world: World) -> list[Action]:
    """The actions of a kind in a world's log."""
    return of(kind, [action for _, action in world.log])


def wait_past_all(pair: HeldPair) -> None:
    """Let a request, asked for as often as permitted, be decided by time-out, its messages held."""
    pair.run(PAST_ALL_WAITS)
    assert pair.sources[-1] is TIMED_OUT
    assert len(pair.to_leader) == MAX_GRANT_REQUESTS


def unnumbered(event: PeerMessage) -> PeerMessage:
    """The messages as a gateway of the version before sends them, without numbers."""
    return replace(
        event, messages=tuple(replace(message, grant_number=NO_GRANT_NUMBER) for message in event.messages)
    )


class HeldPairOfLargePlan(HeldPair):
    """A pair with more units than a message can name; its messages go through the codec."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(plan, through_codec=True)

    def introduce(self, name: str) -> None:
        """Leave the leader without word of the customer: a message would cut the level."""


class Successor:
    """A process that takes over from the pair's member; from then on the predecessor sends no gossip."""

    def __init__(self, pair: HeldPair) -> None:
        self.pair = pair
        [snapshot] = of(GatewaySnapshot, pair.tell(pair.member, StartHandover()))
        self.world = World(pair.member.gateway.settings)
        self.world.now = pair.member.now
        self.world.tell(snapshot)
        self.sources = record_decisions(self.world)
        self.read_count = len(pair.member.log)
        self.sent_count = len(self.world.log)

    def tell_spending(self) -> None:
        """Take over what the predecessor has told of its spending and attempts since the last call."""
        actions = [action for _, action in self.pair.member.log[self.read_count :]]
        self.read_count = len(self.pair.member.log)
        for action in actions:
            if isinstance(action, HandoverSpend | HandoverAttempt | HandoverAttemptEnd):
                self.world.tell(action)

    def report(self) -> None:
        """Send the leader all that the successor has sent, and a report; the predecessor's go nowhere."""
        self.pair.to_leader.clear()
        customer = self.pair.customer_at(self.world)
        self.world.gateway.quotas.report_demand(customer)
        self.world.tell(TimerExpired(0))
        actions = [action for _, action in self.world.log[self.sent_count :]]
        self.sent_count = len(self.world.log)
        for gossip in of(SendGossip, actions):
            self.pair.tell(self.pair.leader, PeerMessage(MEMBER, gossip.messages))
