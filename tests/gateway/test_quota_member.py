"""The member side of quotas: requests to a leader that answers late or not at all."""

import zlib
from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import Fail, Reject, SendAttempt, SendGossip
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import EndpointList, PeerMessage
from orchidhatch.gateway.gossip import GossipMessage, MessageKind, SlotGrant
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US
from orchidhatch.gateway.rate_ceiling import CEDED_SHARE_US
from orchidhatch.gateway.settings import Idempotency, Plan, RequestClass
from orchidhatch.gateway.snapshots import CustomerKey
from tests.gateway.quota_scenarios import CAPPED
from tests.helpers import MS, PLAN, SETTINGS, S, Set, World, of

UNSAFE = RequestClass(2 * S, 6 * S, idempotency=Idempotency.UNSAFE)


def test_quota_is_served_without_messages_or_leader() -> None:
    """Requests inside the quota are sent in time without an answer of the leader."""
    for loss, down in ((0.3, -1), (0.0, 3)):
        gateways = Set(20, loss=loss)
        gateways.down = down
        for number in range(200):
            if number * 7 % 20 != down:
                gateways.ask(number * 7 % 20, f"r{number}")
            gateways.run(200 * MS)
        assert gateways.sent() >= 180


@pytest.mark.parametrize("time_left_ms", [5, 30, 60, 90, 130, 200, 260])
def test_request_awaiting_a_grant_ends_in_time(time_left_ms: int) -> None:
    """Requests end before their deadline even if the leader never answers.

    `time_left_ms` is the remaining time of the client, in milliseconds.
    """
    settings = replace(SETTINGS, classes=(UNSAFE,), plans=(replace(PLAN, burst=2.0),))
    gateways = Set(20, settings)
    for number, world in enumerate(gateways.worlds):
        gateways.down = number
        world.tell(EndpointList(EndpointListKind.FULL, 2, ()))
        world.gateway.balancer.mean_latencies_us = [20 * MS]
        world.ask("a", time_left_us=time_left_ms * MS, set_size=20)
        start_us = world.now
        world.run(S)
        ends_us = [at_us - start_us for at_us, action in world.log if isinstance(action, Reject | Fail)]
        assert len(ends_us) == 1
        assert ends_us[0] <= time_left_ms * MS


def test_silent_leader_is_asked_with_backoff() -> None:
    """Guards against members that keep an overloaded leader overloaded.

    A hundred gateways that each ask twice would send it more messages than it can process.
    """
    plan = Plan(rate=10.0, burst=20.0)
    world = World(replace(SETTINGS, plans=(plan,), gateway_count=40, gateway_index=5))
    key = CustomerKey(zlib.crc32(b"c"), 0, 0, 40)
    requests_us = []
    for number in range(400):
        sends = of(SendGossip, world.ask(f"r{number}", set_size=40) + world.run(100 * MS))
        requests_us += [world.now for send in sends for message in send.messages if message.requested > 0]
    assert 6 <= len(requests_us) <= 30  # within 40 s; two per request would be 800
    sent = of(SendAttempt, [action for _, action in world.log])
    assert len(sent) <= 1 + 40 * 10 / 40 + 1  # the local share of the rate
    customer = world.gateway.quotas.customer(key)
    answer = GossipMessage(*key, is_answer=True, level=20.0, demand=1.0)
    world.tell(PeerMessage(customer.leader, (answer,)))
    assert of(SendGossip, world.ask("answered", set_size=40) + world.run(100 * MS))


def test_leader_is_not_asked_before_the_quota_can_have_refilled() -> None:
    """Guards against futile grant requests, each of which uses the leader's limited message rate."""
    world = World(replace(SETTINGS, plans=(Plan(rate=0.5, burst=2.0),), gateway_count=40, gateway_index=5))
    customer = world.gateway.quotas.customer(CustomerKey(zlib.crc32(b"c"), 0, 0, 40))
    assert customer.leader != 5
    customer.last_answer_us = world.now
    customer.quota.set_level = 0.2
    world.now += S  # the level is at most 0.7 of a request
    assert of(Reject, world.ask("early", set_size=40))
    assert not of(SendGossip, world.run(MS))
    world.now += S  # at most 1.2
    assert of(SendGossip, world.ask("later", set_size=40))


def test_level_is_refilled_since_the_last_answer_at_most() -> None:
    """Guards against a refill that is counted twice if the level in an answer is clamped."""
    world = World(
        replace(SETTINGS, plans=(Plan(rate=10.0, burst=2000.0),), gateway_count=40, gateway_index=5)
    )
    customer = world.gateway.quotas.customer(CustomerKey(zlib.crc32(b"c"), 0, 0, 40))
    customer.quota.set_level = 700.0
    assert customer.max_level(world.now) == 700.0  # no answer yet
    cut = GossipMessage(*customer.key, is_answer=True, level=655.34)
    world.tell(PeerMessage(customer.leader, (cut,)))
    assert customer.quota.set_level == 700.0
    world.run(2 * S)
    world.tell(PeerMessage(customer.leader, (cut,)))
    assert customer.quota.set_level == pytest.approx(720.0)


@pytest.fixture
def member() -> World:
    """A gateway that does not lead customer "c" of a set of three, whose leader grants the slots."""
    leader = zlib.crc32(b"c") % 3
    return World(replace(SETTINGS, gateway_count=3, gateway_index=(leader + 1) % 3, plans=(CAPPED,)))


def test_unused_slot_is_reported_to_the_leader(member: World) -> None:
    customer = member.gateway.quotas.customer(CustomerKey(zlib.crc32(b"c"), 0, 0, 3))
    grant = GossipMessage(*customer.key, True, requested=-1.0, slot_grant=SlotGrant.GRANTED)
    member.tell(PeerMessage(customer.leader, (grant,)))
    assert customer.member_slot.is_usable(member.now)
    (send,) = of(SendGossip, member.run(LEADER_REPLY_TIMEOUT_US + 2 * 20 * MS))
    (report,) = send.messages
    assert report.kind is MessageKind.REPORT
    assert not member.gateway.quotas.member.renewals


def test_report_cedes_the_share_of_the_ceiling(member: World) -> None:
    quotas = member.gateway.quotas
    customer = quotas.customer(CustomerKey(zlib.crc32(b"c"), 0, 0, 3))
    quotas.context.now_us += 10 * S
    quotas.report_in_flight(customer)
    assert customer.ceiling.ceded_until_us == quotas.context.now_us + CEDED_SHARE_US
    assert customer.member_slot.reported_us == quotas.context.now_us
