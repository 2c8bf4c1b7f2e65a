"""The configuration of a gateway process: addresses, limits, and the decision core's settings."""

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidhatch.gateway.settings import Plan, RequestClass, Settings

Address = tuple[str, int]

SPARE_SOCKETS = 64
"""For listening, management, discovery, peers, the event loop and the log."""
MIN_SOCKETS = SPARE_SOCKETS + 16
"""With some for clients and some for backends."""
MAX_PORT = 65535
POLICY_MARKS = 255
"""Marks that tell a policy in gossip from the few before and after it."""


class ConfigError(Exception):
    """The environment or the configuration is not usable; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Policy:
    """The policy that the settings' plans, objectives and bans come from, as the agent wrote it.

    `number` is that of the decision, `digest` that of the document ("" for the gateway's own settings).
    Discovery may be silent for `silent_s`; the policy is in force until `until_us` by this machine's
    monotonic clock (0 for no end).
    """

    number: int
    digest: str
    silent_s: float
    until_us: int = 0

    def mark(self) -> int:
        """The policy's mark in gossip, never 0."""
        return 1 + self.number % POLICY_MARKS

    def log_text(self) -> str:
        """The policy as log lines name it."""
        return f"policy {self.number} {self.digest or '-'}"


@dataclass(frozen=True, slots=True)
class Config:
    """A gateway's own address, whom it talks to, its limits, and the decision core's settings.

    `socket_fd` is the clients' listening socket where the platform holds it, `shared` the directory that the
    gateway shares with its successor, `policy` what its agent put it under, if anything. With
    `traces_policy` each answer is logged with the policy that the request was admitted by.
    """

    name: str
    listen: Address
    discovery: Address
    settings: Settings
    class_numbers: Mapping[str, int]
    plan_numbers: Mapping[str, int]
    zone_numbers: Mapping[str, int]
    kind_numbers: Mapping[str, int]
    conn_idle_us: int
    connect_timeout_us: int
    max_open: int
    sockets: int
    memory_mb: int
    known: Mapping[str, Any]
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    management: Address | None = None
    socket_fd: int | None = None
    shared: Path | None = None
    policy: Policy | None = None
    traces_policy: bool = False


def read_address(text: str) -> Address:
    """An address of the form host:port. Raises ConfigError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"'{text}' is not an address")
    return host, int(port)


def read_backend(text: str) -> Address:
    """A backend's address. Raises ConfigError for a name: looking one up would block the event loop."""
    host, port = read_address(text)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ConfigError(f"'{text}' is no IPv4 address with a port") from error
    return host, port


def describe(config: Config) -> str:
    """The settings that a gateway's metrics are read against, as one line for the log."""
    settings = config.settings
    parts = [f"front door {settings.gateway_index} of {settings.gateway_count}"]
    parts += [describe_class(name, settings.classes[number]) for name, number in config.class_numbers.items()]
    parts += [describe_plan(name, settings.plans[number]) for name, number in config.plan_numbers.items()]
    parts += [
        f"messages {settings.peer_messages_per_s:g}/s",
        f"cold from {settings.cold_capacity:.2f} for {settings.warm_up_us // 1000} ms",
        f"descriptors {config.sockets}",
        f"memory {config.memory_mb} MB",
    ]
    return "; ".join(parts)


def describe_class(name: str, rule: RequestClass) -> str:
    """A request class by its name, with its times in milliseconds."""
    return f"{name} aim {rule.latency_objective_us // 1000} ms of {rule.deadline_us // 1000}"


def describe_plan(name: str, plan: Plan) -> str:
    """A plan by its name, with its quota, open cap and ceiling."""
    return (
        f"{name} {plan.rate:.4g}/s burst {plan.burst:.4g} out {plan.max_in_flight}"
        f" ceiling {plan.ceiling_rate:.4g}/s burst {plan.ceiling_burst:.4g}"
    )
