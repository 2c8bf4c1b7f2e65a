"""The settings of a trial's gateways, by the names of their configuration file."""

from typing import Any

from orchidhatch.faults.plan import KEYED_WINDOW_S, Customers, Plan

ZONES = "abc"
LATENCY_OBJECTIVE_US = 750_000
DEADLINE_US = 2_000_000
MAX_ATTEMPTS = 4
PEER_MESSAGES_PER_S = 40.0


def gateway_settings(plan: Plan, number: int) -> dict[str, Any]:
    """The settings of one gateway of a plan."""
    plans = [customer_plan(customers) for customers in plan.load.customers]
    return {
        "me": number,
        "balancers": plan.doors,
        "zones": list(ZONES),
        "kinds": ["m2"],
        "zone": number % len(ZONES),
        "plans": plans or [{"name": "none", "units-per-s": 1.0, "burst": 1.0}],
        "categories": [
            request_class("read", "read_like"),
            request_class("settle", "non_idempotent"),
            request_class("book", "idempotency_key")
            | {"group": "all", "window-us": round(KEYED_WINDOW_S * 1e6)},
        ],
        "ceilings": {
            "max-attempts": MAX_ATTEMPTS,
            "conn-idle-us": 30_000_000,
            "retry-after": True,
            "max-retry-after-us": 2_000_000,
            "may-cancel": True,
            "peers": True,
        },
        "extra": {"mail-per-s": PEER_MESSAGES_PER_S},
        "obligations": {
            "grace-to-answer-us": 8000,
            "cold-from": plan.backends.cold_from,
            "warm-within-us": round(plan.backends.cold_s * 1e6),
            "fall-multiple": 3.0,
            "fall-us": 1_500_000,
        },
        "stats": {
            "how": "inline" if plan.backends.reports else "none",
            "names": ["inflight", "queue", "util"],
        },
    }


def request_class(name: str, idempotency: str) -> dict[str, Any]:
    """A request class of the settings."""
    return {
        "name": name,
        "on-time-us": LATENCY_OBJECTIVE_US,
        "deadline-us": DEADLINE_US,
        "points": 1.0,
        "idempotency": idempotency,
    }


def customer_plan(customers: Customers) -> dict[str, Any]:
    """A plan of quotas of the settings."""
    return {
        "name": customers.plan,
        "units-per-s": customers.rate,
        "burst": customers.burst,
        "max-out": customers.max_out,
        "never-over-rate": customers.ceiling_rate,
        "hard-burst": customers.ceiling_burst,
        "hard-slack": max(1.0, 0.1 * customers.ceiling_burst),
        "over-cost": 0.5,
    }
