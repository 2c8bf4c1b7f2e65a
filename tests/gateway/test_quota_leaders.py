"""The customers known to a gateway, and the validation of messages about them."""

from dataclasses import replace

from orchidhatch.gateway.events import PeerMessage
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.quota_leaders import IDLE_CUSTOMER_TTL_US
from orchidhatch.gateway.snapshots import CustomerKey
from tests.helpers import SETTINGS, S, World


def test_messages_from_peers_are_validated() -> None:
    world = World(replace(SETTINGS, gateway_count=2))
    unknown_plan = GossipMessage(1, 9, 0, 2)
    other_set = GossipMessage(1, 0, 5, 1)
    empty_set = GossipMessage(1, 0, 0, 0)
    huge = GossipMessage(1, 0, 0, 2, demand=1e9, requested=1e9, level=-1e9)
    for message in (unknown_plan, other_set, empty_set, huge):
        world.tell(PeerMessage(1, (message,)))
    assert len(world.gateway.quotas.customers) == 1


def test_idle_customers_are_forgotten() -> None:
    world = World()
    for number in range(50):
        world.ask(f"r{number}", customer=f"c{number}")
        world.answer(f"r{number}")
    world.run(90 * S)
    assert not world.gateway.quotas.customers


def test_customer_is_forgotten_after_its_idle_time_only() -> None:
    quotas = World().gateway.quotas
    quotas.customer(CustomerKey(1, 0, 0, 1))
    quotas.context.now_us += IDLE_CUSTOMER_TTL_US
    quotas.forget_idle()
    assert len(quotas.customers) == 1
    quotas.context.now_us += 1
    quotas.forget_idle()
    assert not quotas.customers
