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
"""Spare sockets and a few for clients and backends."""
MAX_PORT = 65535
POLICY_MARK_COUNT = 255
"""Number of marks that distinguish a policy in gossip from the policies shortly before and after it."""


class ConfigError(Exception):
    """The environment or the configuration is unusable; the text is a single line."""


@dataclass(frozen=True, slots=True)
class Policy:
    """The policy behind the settings' plans, latency objectives and bans, as the agent wrote it.

    `number` is the number of the policy decision, `digest` the digest of the policy document ("" for the
    gateway's own settings). `silent_s` is how long discovery may be silent before admission is suspended. The
    policy is in force until `until_us` of this machine's monotonic clock (0 means no end).
    """

    number: int
    digest: str
    silent_s: float
    until_us: int = 0

    def mark(self) -> int:
        """Return the policy's mark in gossip, which is never 0."""
        return 1 + self.number % POLICY_MARK_COUNT

    def log_text(self) -> str:
        """Return the policy's description for log lines."""
        return f"policy {self.number} {self.digest or '-'}"


@dataclass(frozen=True, slots=True)
class Config:
    """The addresses of a gateway and of its peers, its limits, and the decision core's settings.

    `socket_fd` is the inherited listening socket for clients, None if the gateway opens it itself.
    `shared_directory` is the directory that the gateway shares with its successor, `policy` the policy set by
    its agent, if any. With `traces_policy` each answer is logged with the policy that admitted the request.
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
    known_endpoint_list: Mapping[str, Any]
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    management: Address | None = None
    socket_fd: int | None = None
    shared_directory: Path | None = None
    policy: Policy | None = None
    traces_policy: bool = False


def parse_address(text: str) -> Address:
    """Return the address in a text of the form host:port. Raises ConfigError if it is malformed."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"'{text}' is not an address of the form host:port")
    return host, int(port)


def parse_backend_address(text: str) -> Address:
    """Return a backend's address.

    Raises ConfigError for a host name, as resolving it would block the event loop.
    """
    host, port = parse_address(text)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ConfigError(f"'{text}' is not an IPv4 address with a port") from error
    return host, port


def describe(config: Config) -> str:
    """Return the settings needed to interpret a gateway's metrics, as one log line."""
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


def describe_class(name: str, request_class: RequestClass) -> str:
    """Return a request class's name, latency objective and deadline, in milliseconds."""
    return (
        f"{name} aim {request_class.latency_objective_us // 1000} ms of {request_class.deadline_us // 1000}"
    )


def describe_plan(name: str, plan: Plan) -> str:
    """Return a plan's name, quota, concurrency limit and rate ceiling."""
    return (
        f"{name} {plan.rate:.4g}/s burst {plan.burst:.4g} out {plan.max_in_flight}"
        f" ceiling {plan.ceiling_rate:.4g}/s burst {plan.ceiling_burst:.4g}"
    )
