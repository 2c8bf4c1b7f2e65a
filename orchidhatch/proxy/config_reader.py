"""Reads the configuration of a gateway process: the environment and the JSON file, checked and typed."""

import json
import os
import re
import socket
from collections.abc import Iterator, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from orchidhatch.gateway.settings import Settings
from orchidhatch.gateway.settings_codec import SettingTexts, read_settings
from orchidhatch.proxy.config import MIN_SOCKETS, Config, ConfigError, Policy, read_address

MIN_MEMORY_MB = 32
MAX_MEMORY_MB = 1 << 20
MAX_SOCKETS = 1 << 20
MAX_OPEN_REQUESTS = 1 << 24
MAX_TIME_US = 24 * 3600 * 1_000_000
MAX_AMOUNT = 1e9
"""Of units and rates."""
MAX_NUMBER = 1 << 53
"""Of a policy decision, and of a time."""
DIGEST = re.compile(r"[0-9a-f]{16}")
"""Of a policy's document."""
DEFAULT_IDLE_US = 30_000_000
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_OPEN_REQUESTS = 20_000
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
DEFAULT_SILENCE_MS = 5000
MIN_SILENCE_MS = 1000
MAX_SILENCE_MS = 600_000
RELOADED_VARIABLES = ("PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN")
"""After the start the file's other addresses hold, not those of the environment."""


def reload(env: Mapping[str, str]) -> Config:
    """The configuration as it is by now. Raises ConfigError."""
    return load({name: env[name] for name in RELOADED_VARIABLES if name in env})


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to. Raises ConfigError."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        values = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the configuration: {one_line(error)}") from error
    try:
        return read_config(values, env)
    except KeyError as error:
        raise ConfigError(f"the configuration lacks or does not know {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration is malformed: {one_line(error)}") from error


def one_line(error: Exception) -> str:
    """An error's text without line breaks."""
    return " ".join(str(error).split())


def read_config(values: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    """The configuration of a file's values; the environment's addresses go before the file's.

    Raises ConfigError, and KeyError, TypeError, ValueError or AttributeError for values of another form.
    """
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
        class_numbers=index_by_name(settings["categories"]),
        plan_numbers=index_by_name(settings["plans"]),
        zone_numbers=index_by_name(settings.get("zones")),
        kind_numbers=index_by_name(settings.get("kinds")),
        conn_idle_us=bounded_int(pairs, "ceilings.conn-idle-us", DEFAULT_IDLE_US, 1, MAX_TIME_US),
        connect_timeout_us=bounded_int(
            pairs, "ceilings.connect-timeout-us", DEFAULT_CONNECT_TIMEOUT_US, 1, MAX_TIME_US
        ),
        max_open=bounded_int(pairs, "ceilings.max-open", DEFAULT_OPEN_REQUESTS, 1, MAX_OPEN_REQUESTS),
        sockets=bounded_int(limits, "limits.sockets", DEFAULT_SOCKETS, MIN_SOCKETS, MAX_SOCKETS),
        memory_mb=bounded_int(limits, "limits.memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB, MAX_MEMORY_MB),
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
    check_config(config)
    return config


def check_config(config: Config) -> None:
    """Check what the decision core takes as given. Raises ConfigError."""
    if not config.class_numbers or not config.plan_numbers:
        raise ConfigError("the settings name no class or no plan")
    settings = config.settings
    check_settings(settings)
    if not 0 <= settings.gateway_index < settings.gateway_count:
        raise ConfigError(f"there is no front door {settings.gateway_index} of {settings.gateway_count}")


def check_settings(settings: Settings) -> None:
    """Check that times are positive, amounts not negative and shares within 0 to 1. Raises ConfigError."""
    check_range("ceilings.max-retry-after-us", settings.max_retry_after_us, 0, MAX_TIME_US)
    check_range("obligations.cold-from", settings.cold_capacity, 0, 1)
    check_range("obligations.warm-within-us", settings.warm_up_us, 0, MAX_TIME_US)
    for number, rule in enumerate(settings.classes):
        check_range(f"categories.{number}.on-time-us", rule.latency_objective_us, 1, MAX_TIME_US)
        check_range(f"categories.{number}.deadline-us", rule.deadline_us, 1, MAX_TIME_US)
    for number, plan in enumerate(settings.plans):
        amounts = {
            "units-per-s": plan.rate,
            "burst": plan.burst,
            "max-out": plan.max_in_flight,
            "never-over-rate": plan.ceiling_rate,
            "hard-burst": plan.ceiling_burst,
        }
        for name, amount in amounts.items():
            check_range(f"plans.{number}.{name}", amount, 0, MAX_AMOUNT)


def read_policy(value: object) -> Policy | None:
    """The policy that the agent put the gateway under; None for none. Raises ConfigError."""
    if value is None:
        return None
    pairs = SettingTexts(dict(flatten(value)))
    digest = pairs.text("digest")
    if digest and not DIGEST.fullmatch(digest):
        raise ConfigError(f"policy.digest is '{digest:.40}', not 16 hex digits")
    silence_ms = bounded_int(pairs, "silent_ms", DEFAULT_SILENCE_MS, MIN_SILENCE_MS, MAX_SILENCE_MS)
    return Policy(
        number=bounded_int(pairs, "number", 0, 0, MAX_NUMBER),
        digest=digest,
        silent_s=silence_ms / 1000,
        until_us=bounded_int(pairs, "until_us", 0, 0, MAX_NUMBER),
    )


def read_descriptor(text: str) -> int:
    """An inherited descriptor of a listening socket. Raises ConfigError."""
    try:
        with socket.socket(fileno=os.dup(int(text))) as copy:
            is_listening = copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"'{text}' is no inherited socket: {error}") from error
    if not is_listening:
        raise ConfigError(f"the inherited socket {text} does not listen")
    return int(text)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs of the settings' wire."""
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


def index_by_name(values: object) -> dict[str, int]:
    """The index of each name in a list of the settings: of plain names, or of objects with one."""
    if not isinstance(values, list):
        return {}
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    return {str(name): number for number, name in enumerate(names)}


def bounded_int(pairs: SettingTexts, path: str, default: int, minimum: int, maximum: int) -> int:
    """A whole number of the settings within a range. Raises ConfigError."""
    value = pairs.whole(path, default)
    check_range(path, value, minimum, maximum)
    return value


def check_range(name: str, value: float, minimum: float, maximum: float) -> None:
    """Raises ConfigError for a value out of its range, and for what is no number."""
    if not minimum <= value <= maximum:
        raise ConfigError(f"{name} is {value:g}, not from {minimum:g} to {maximum:g}")
