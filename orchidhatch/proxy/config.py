"""What a front door is told at its start: the environment and the JSON file, checked and typed."""

import ipaddress
import json
import os
import re
import socket
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from orchidhatch.gateway.settings import Settings
from orchidhatch.gateway.settings_codec import SettingTexts, read_settings

Address = tuple[str, int]

SPARE_SOCKETS = 64  # for listening, management, discovery, peers, the loop and log
LEAST_SOCKETS = SPARE_SOCKETS + 16  # some for clients and some for backends beside them
LEAST_MEMORY_MB, MOST_MEMORY_MB = 32, 1 << 20
MOST_SOCKETS, MOST_OPEN, MOST_US = 1 << 20, 1 << 24, 24 * 3600 * 1_000_000
MOST_AMOUNT = 1e9  # as the counter's
DIGEST, MOST_NUMBER = re.compile(r"[0-9a-f]{16}"), 1 << 53  # of a policy's document; of a decision


class ConfigError(Exception):
    """The environment or the configuration is not usable; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Policy:
    """Which policy the settings' plans, aims and bans come of: whoever keeps the file says so.

    The number of the decision that it is gone by for, its document's digest ("" for the door's own), for
    how long discovery may be silent, and until when it holds by this machine's monotonic clock (0: no end).
    """

    number: int
    digest: str
    silent_s: float
    until_us: int = 0

    def mark(self) -> int:
        """For words to other front doors: what tells it from the few that hold one after another."""
        return 1 + self.number % 255

    def shown(self) -> str:
        return f"policy {self.number} {self.digest or '-'}"


@dataclass(frozen=True, slots=True)
class Config:
    """The front door's own address, whom it talks to, its limits and the module's settings."""

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
    socket_fd: int | None = None  # the clients' listening socket, where the platform holds it
    shared: Path | None = None  # the directory that it shares with its successor
    policy: Policy | None = None  # that it was put under, if any
    traces_policy: bool = False  # whether each answer is logged with the policy that it was let in by


def describe(config: Config) -> str:
    """What it was told that its figures are read against, as one line: times in ms, plans by their names."""
    told, ms = config.settings, 1000
    classes = [(name, told.classes[number]) for name, number in config.class_numbers.items()]
    plans = [(name, told.plans[number]) for name, number in config.plan_numbers.items()]
    parts = [f"front door {told.gateway_index} of {told.gateway_count}"]
    parts += [
        f"{name} aim {one.latency_objective_us // ms} ms of {one.deadline_us // ms}" for name, one in classes
    ]
    parts += [
        f"{name} {plan.rate:.4g}/s burst {plan.burst:.4g} out {plan.max_in_flight}"
        f" ceiling {plan.ceiling_rate:.4g}/s burst {plan.ceiling_burst:.4g}"
        for name, plan in plans
    ]
    parts += [
        f"messages {told.peer_messages_per_s:g}/s",
        f"cold from {told.cold_capacity:.2f} for {told.warm_up_us // ms} ms",
        f"descriptors {config.sockets}",
        f"memory {config.memory_mb} MB",
    ]
    return "; ".join(parts)


def read_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"'{text}' is not an address")
    return host, int(port)


def read_backend(text: str) -> Address:
    """Where a backend listens. A name is an error: there is no DNS to ask, and asking would keep a thread."""
    host, port = read_address(text)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ConfigError(f"'{text}' is no IPv4 address with a port") from error
    return host, port


def read_descriptor(text: str) -> int:
    """An inherited descriptor of a listening socket."""
    try:
        with socket.socket(fileno=os.dup(int(text))) as copy:
            listens = copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"'{text}' is no inherited socket: {error}") from error
    if not listens:
        raise ConfigError(f"the inherited socket {text} does not listen")
    return int(text)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs of the simulator's wire."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def numbers(values: object) -> dict[str, int]:
    """The index of each name in a list of the settings: of plain names, or of objects with one."""
    if not isinstance(values, list):
        return {}
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    return {str(name): number for number, name in enumerate(names)}


def within(name: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:
        raise ConfigError(f"{name} is {value:g}, not from {least:g} to {most:g}")


def bounded(pairs: SettingTexts, path: str, default: int, least: int, most: int) -> int:
    value = pairs.whole(path, default)
    within(path, value, least, most)
    return value


def check(settings: Settings) -> None:
    """What the module takes as given: times that pass, and amounts that are none below nothing."""
    for number, rule in enumerate(settings.classes):
        within(f"categories.{number}.on-time-us", rule.latency_objective_us, 1, MOST_US)
        within(f"categories.{number}.deadline-us", rule.deadline_us, 1, MOST_US)
    for number, plan in enumerate(settings.plans):
        for name, value in (
            ("units-per-s", plan.rate),
            ("burst", plan.burst),
            ("max-out", plan.max_in_flight),
            ("never-over-rate", plan.ceiling_rate),
            ("hard-burst", plan.ceiling_burst),
        ):
            within(f"plans.{number}.{name}", value, 0, MOST_AMOUNT)


def read_policy(value: object) -> Policy | None:
    if value is None:
        return None
    pairs = SettingTexts(dict(flatten(value)))
    digest = pairs.text("digest")
    if digest and not DIGEST.fullmatch(digest):
        raise ConfigError(f"policy.digest is '{digest:.40}', not 16 hex digits")
    return Policy(
        bounded(pairs, "number", 0, 0, MOST_NUMBER),
        digest,
        bounded(pairs, "silent_ms", 5000, 1000, 600_000) / 1000,
        bounded(pairs, "until_us", 0, 0, MOST_NUMBER),
    )


def parse(values: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    settings = values["settings"]
    pairs = SettingTexts(dict(flatten(settings)))
    limits = SettingTexts(dict(flatten(values.get("limits") or {}, "limits")))
    peer_listen = values.get("peer_listen")
    management = env.get("PROXY_MANAGEMENT") or values.get("management")
    config = Config(
        name=env.get("PROXY_NAME") or values["name"],
        listen=read_address(env.get("PROXY_LISTEN") or values["listen"]),
        discovery=read_address(env.get("PROXY_DISCOVERY") or values["discovery"]),
        settings=read_settings(int(values["seed"], 16), pairs),
        class_numbers=numbers(settings["categories"]),
        plan_numbers=numbers(settings["plans"]),
        zone_numbers=numbers(settings.get("zones")),
        kind_numbers=numbers(settings.get("kinds")),
        conn_idle_us=bounded(pairs, "ceilings.conn-idle-us", 30_000_000, 1, MOST_US),
        connect_timeout_us=bounded(pairs, "ceilings.connect-timeout-us", 250_000, 1, MOST_US),
        max_open=bounded(pairs, "ceilings.max-open", 20_000, 1, MOST_OPEN),
        sockets=bounded(limits, "limits.sockets", 1024, LEAST_SOCKETS, MOST_SOCKETS),
        memory_mb=bounded(limits, "limits.memory_mb", 64, LEAST_MEMORY_MB, MOST_MEMORY_MB),
        known=values.get("known") or {},
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=tuple(map(read_address, values.get("peers") or ())),
        management=read_address(management) if management else None,
        socket_fd=read_descriptor(env["PROXY_SOCKET_FD"]) if env.get("PROXY_SOCKET_FD") else None,
        shared=Path(env["TMPDIR"]) if env.get("TMPDIR") else None,
        policy=read_policy(values.get("policy")),
        traces_policy=values.get("trace_policy") is True,
    )
    if config.policy:
        config = replace(config, settings=replace(config.settings, policy_mark=config.policy.mark()))
    if not config.class_numbers or not config.plan_numbers:
        raise ConfigError("the settings name no class or no plan")
    check(config.settings)
    if not 0 <= config.settings.gateway_index < config.settings.gateway_count:
        raise ConfigError(
            f"there is no front door {config.settings.gateway_index} of {config.settings.gateway_count}"
        )
    return config


def reload(env: Mapping[str, str]) -> Config:
    """The configuration as it is by now: the file's addresses hold, not those given at the start."""
    return load({name: env[name] for name in ("PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN") if name in env})


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        values = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the configuration: {' '.join(str(error).split())}") from error
    try:
        return parse(values, env)
    except KeyError as error:
        raise ConfigError(f"the configuration lacks or does not know {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration is malformed: {' '.join(str(error).split())}") from error
