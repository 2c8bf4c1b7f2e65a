"""Scenarios over several gateways that share a customer with an open cap and a rate ceiling."""

from collections.abc import Callable

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, S, Set

CAPPED = Plan(rate=8.0, burst=8.0, max_in_flight=2, ceiling_rate=10.0, ceiling_burst=12.0, ceiling_slack=1.2)


def no_fault(step: int) -> None:
    """A step at which nothing fails."""


def drive_capped(gateways: Set, fault: Callable[[int], None] = no_fault) -> None:
    """Offer three times the rate for 40 s, mostly through one gateway, which changes every 5 s."""
    gateways.lasts_us = 150 * MS
    for step in range(1000):
        fault(step)
        busiest = step // 125 % 3
        gateway = gateways.random.randrange(3) if step % 7 == 0 else busiest
        if gateway != gateways.down:
            gateways.ask(gateway, f"r{step}")
        gateways.run(40 * MS)
    gateways.run(3 * S)


def attempt_times(gateways: Set) -> list[int]:
    """Return the times at which the gateways sent attempts, sorted."""
    return sorted(
        at_us for world in gateways.worlds for at_us, action in world.log if isinstance(action, SendAttempt)
    )


def all_customers(gateways: Set) -> list[Customer]:
    """Return every gateway's state of every customer."""
    return [customer for world in gateways.worlds for customer in world.gateway.quotas.customers.values()]
