"""A quota leader and a member whose messages tests deliver, reorder or lose one by one.

Tests compare the units that the leader has counted as spent with those that were admitted.
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
SEND_SPACING_US = 1 * MS
"""After this time the outbox sends what is queued, however recently it last sent."""

PAST_ONE_WAIT_US = LEADER_REPLY_TIMEOUT_US + 10 * MS
PAST_ALL_WAITS_US = MAX_GRANT_REQUESTS * PAST_ONE_WAIT_US
"""After this time a request without an answer has used all its grant requests and is decided locally."""

PAST_EXPIRY_US = GRANT_REQUEST_TTL_US + 10 * MS
"""After this time without an answer the member assumes that the leader has counted nothing."""

PAST_BACKOFF_US = 3 * MIN_BACKOFF_US // 2 + 50 * MS
ANSWERED = QuotaDecisionSource.GRANT_ANSWER
TIMED_OUT = QuotaDecisionSource.ANSWER_TIMEOUT


def customer_name(remainder: int, skipped: int = 0) -> str:
    """Return a customer whose leader is the gateway with the index `remainder`."""
    names = [str(number) for number in range(100) if zlib.crc32(str(number).encode()) % GATEWAYS == remainder]
    return names[skipped]


CUSTOMER = customer_name(LEADER)
OTHER_CUSTOMER = customer_name(LEADER, skipped=1)


def record_decisions(world: World) -> list[QuotaDecisionSource]:
    """Return a list to which the source of each later quota decision of the gateway is appended."""
    sources: list[QuotaDecisionSource] = []
    count_decision = world.gateway.counters.count_decision

    def record(source: QuotaDecisionSource, answer_age_us: int) -> None:
        sources.append(source)
        count_decision(source, answer_age_us)

    world.gateway.counters.count_decision = record
    return sources


def record_spending(world: World) -> list[float]:
    """Return a list to which the units of each later spend at the gateway are appended."""
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
        """Return the member's state of the customer, created if it is new."""
        return self.member.gateway.quotas.customer(CustomerKey(zlib.crc32(name.encode()), 0, 0, GATEWAYS))

    # --- messages ---

    def collect(self) -> None:
        """Move the messages sent since the last call into the held messages."""
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
        """Pass an event to one gateway, hold the messages that it sends, and return its actions."""
        actions = world.tell(event)
        self.collect()
        return actions

    def deliver_to_leader(self, index: int = 0) -> None:
        """Deliver one of the held messages to the leader."""
        self.tell(self.leader, self.on_arrival(self.to_leader.pop(index)))
        self.run(SEND_SPACING_US)

    def deliver_to_member(self, index: int = 0) -> list[str]:
        """Deliver one of the held messages to the member, and return the ids of the requests it decided."""
        actions = self.tell(self.member, self.on_arrival(self.to_member.pop(index)))
        return [action.id for action in of(SendAttempt, actions) + of(Reject, actions)]

    def on_arrival(self, event: PeerMessage) -> PeerMessage:
        """Return the message as received: its amounts are rounded if it goes through the codec."""
        if not self.through_codec:
            return event
        [datagram] = pack_message(event.messages)
        messages, _ = unpack_message(datagram)
        return replace(event, messages=messages)

    def deliver_all(self) -> None:
        """Deliver held messages until none is left, including those sent in response."""
        while self.to_leader or self.to_member:
            while self.to_leader:
                self.deliver_to_leader()
            while self.to_member:
                self.deliver_to_member()

    def lose_all(self) -> None:
        """Drop every held message."""
        self.to_leader.clear()
        self.to_member.clear()

    # --- requests and time ---

    def ask(self, name: str, units: float, customer: str = CUSTOMER, at_leader: bool = False) -> None:
        """Send a client request to the member, or to the leader if `at_leader`."""
        world = self.leader if at_leader else self.member
        self.units[name] = units
        world.ask(name, customer=customer, units=units, set_size=GATEWAYS)
        self.run(SEND_SPACING_US)

    def run(self, time_us: int) -> None:
        """Advance both clocks, and hold the messages that are sent meanwhile."""
        self.member.run(time_us)
        self.leader.run(time_us)
        self.collect()

    def serve(self) -> None:
        """Answer the member's attempts until none is left."""
        while self.member.out:
            for name, attempt in list(self.member.out):
                self.member.answer(name, attempt=attempt)
            self.run(50 * MS)

    def report(self, customer: Customer) -> None:
        """Make the member send its leader a report."""
        self.member.gateway.quotas.report_demand(customer)
        self.tell(self.member, TimerExpired(0))
        self.run(SEND_SPACING_US)

    def use_up_allowance(self) -> None:
        """Spend part of the allowance, so that a request above the local share is rejected locally."""
        self.ask("small", units=1.0)
        self.deliver_all()

    def set_leader_level(self, level: float) -> None:
        """Lower the set's level to `level` by a request at the leader."""
        customer = self.customer_at(self.leader)
        self.ask("own", units=customer.quota.set_level - level, at_leader=True)
        assert customer.quota.set_level == pytest.approx(level, abs=0.01)

    def restart_leader(self, **changes: object) -> None:
        """Replace the leader by a new process without any state."""
        settings: Settings = replace(self.leader.gateway.settings, **changes)
        self.leader.timers.clear()
        self.leader.gateway = GatewayCore(settings)
        self.tell(self.leader, EndpointList(EndpointListKind.SAVED, 1, servers(4)))

    # --- what was counted and what was admitted ---

    def customer_at(self, world: World, name: str = CUSTOMER) -> Customer:
        """Return a gateway's state of the customer."""
        checksum = zlib.crc32(name.encode())
        [customer] = [
            customer for key, customer in world.gateway.quotas.customers.items() if key.customer == checksum
        ]
        return customer

    def counted(self, name: str = CUSTOMER) -> float:
        """Return the units that the leader has counted as spent."""
        return self.burst - self.customer_at(self.leader, name).quota.set_level

    def sent(self) -> set[str]:
        """Return the ids of the requests that were sent to a backend."""
        return {
            action.id for world in (self.member, self.leader) for action in actions_in_log(SendAttempt, world)
        }

    def admitted(self, name: str) -> bool:
        """Return whether a request was sent to a backend."""
        return name in self.sent()

    def admitted_units(self) -> float:
        """Return the units of all requests that were sent to a backend."""
        return sum(self.units[name] for name in self.sent())

    def spent_units(self) -> float:
        """Return the units of all requests that the quota admitted, including those not yet sent."""
        return sum(units for spent in self.spent for units in spent)

    def settle(self) -> None:
        """Deliver all messages, let all waits and presumed grants expire, and report each customer."""
        self.deliver_all()
        self.run(PAST_ALL_WAITS_US)
        self.deliver_all()
        self.run(PAST_EXPIRY_US)
        self.deliver_all()
        for customer in list(self.member.gateway.quotas.customers.values()):
            self.report(customer)
        self.deliver_all()

    def check(self, answered: int, granted_unanswered: float = 0.0) -> None:
        """Check that answers decided `answered` requests, and that the leader counted the units sent.

        `granted_unanswered` is the units of grants that the leader counted and whose answers were lost.
        """
        self.settle()
        assert not self.member.gateway.admission.awaiting_grant
        assert not self.member.gateway.quotas.member.presumed
        assert self.sources.count(ANSWERED) == answered
        assert self.counted() == pytest.approx(self.admitted_units() + granted_unanswered, abs=0.03)

    def messages_to_leader(self) -> list[GossipMessage]:
        """Return the gossip messages held for the leader."""
        return [message for event in self.to_leader for message in event.messages]

    def messages_to_member(self) -> list[GossipMessage]:
        """Return the gossip messages held for the member."""
        return [message for event in self.to_member for message in event.messages]


def actions_in_log(kind: type, world: World) -> list[Action]:
    """Return the actions of one type in a world's log."""
    return of(kind, [action for _, action in world.log])


def wait_until_timed_out(pair: HeldPair) -> None:
    """Wait until the request is decided by timeout, with all its grant requests held."""
    pair.run(PAST_ALL_WAITS_US)
    assert pair.sources[-1] is TIMED_OUT
    assert len(pair.to_leader) == MAX_GRANT_REQUESTS


def unnumbered(event: PeerMessage) -> PeerMessage:
    """Return the messages as a gateway of the previous version sends them, without grant numbers."""
    return replace(
        event, messages=tuple(replace(message, grant_number=NO_GRANT_NUMBER) for message in event.messages)
    )


class HeldPairOfLargePlan(HeldPair):
    """A pair whose plan has more units than a message can carry; messages go through the codec."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(plan, through_codec=True)

    def introduce(self, name: str) -> None:
        """Send the leader no first report: the message's limited range would cut the level."""


class Successor:
    """A process that takes over from the pair's member, which sends no gossip from then on."""

    def __init__(self, pair: HeldPair) -> None:
        self.pair = pair
        [snapshot] = of(GatewaySnapshot, pair.tell(pair.member, StartHandover()))
        self.world = World(pair.member.gateway.settings)
        self.world.now = pair.member.now
        self.world.tell(snapshot)
        self.sources = record_decisions(self.world)
        self.read_count = len(pair.member.log)
        self.sent_count = len(self.world.log)

    def relay_spending(self) -> None:
        """Pass on the predecessor's handover messages on spending and attempts since the last call."""
        actions = [action for _, action in self.pair.member.log[self.read_count :]]
        self.read_count = len(self.pair.member.log)
        for action in actions:
            if isinstance(action, HandoverSpend | HandoverAttempt | HandoverAttemptEnd):
                self.world.tell(action)

    def report(self) -> None:
        """Deliver the successor's messages and a report to the leader; drop the predecessor's."""
        self.pair.to_leader.clear()
        customer = self.pair.customer_at(self.world)
        self.world.gateway.quotas.report_demand(customer)
        self.world.tell(TimerExpired(0))
        actions = [action for _, action in self.world.log[self.sent_count :]]
        self.sent_count = len(self.world.log)
        for gossip in of(SendGossip, actions):
            self.pair.tell(self.pair.leader, PeerMessage(MEMBER, gossip.messages))
