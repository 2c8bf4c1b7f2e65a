"""Reads and validates the configuration of a gateway process: the environment and the JSON file."""

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
from orchidhatch.proxy.config import MIN_SOCKETS, Config, ConfigError, Policy, parse_address

MIN_MEMORY_MB = 32
MAX_MEMORY_MB = 1 << 20
MAX_SOCKETS = 1 << 20
MAX_OPEN_REQUESTS = 1 << 24
MAX_TIME_US = 24 * 3600 * 1_000_000
MAX_AMOUNT = 1e9
"""Maximum of units and rates."""
MAX_NUMBER = 1 << 53
"""Maximum of a policy decision's number and of a time in microseconds."""
DIGEST = re.compile(r"[0-9a-f]{16}")
"""The digest of a policy document."""
DEFAULT_IDLE_US = 30_000_000
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_OPEN_REQUESTS = 20_000
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
DEFAULT_SILENCE_MS = 5000
MIN_SILENCE_MS = 1000
MAX_SILENCE_MS = 600_000
RELOADED_VARIABLES = ("PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN")
"""The variables that still apply on a reload; the other addresses then come from the file."""


def reload(env: Mapping[str, str]) -> Config:
    """Read the configuration again after the start. Raises ConfigError if it is unusable."""
    return load({name: env[name] for name in RELOADED_VARIABLES if name in env})


def load(env: Mapping[str, str]) -> Config:
    """Read the configuration file that PROXY_CONFIG names. Raises ConfigError if it is unusable."""
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        values = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the configuration: {to_single_line(error)}") from error
    try:
        return read_config(values, env)
    except KeyError as error:
        raise ConfigError(f"the configuration has a missing or unknown name: {error}") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"the configuration is malformed: {to_single_line(error)}") from error


def to_single_line(error: Exception) -> str:
    """Return an error's text without line breaks."""
    return " ".join(str(error).split())


def read_config(values: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    """Return the configuration for the values of a file; addresses in the environment override the file's.

    Raises ConfigError for invalid values, and KeyError, TypeError, ValueError or AttributeError for malformed
    ones.
    """
    settings = values["settings"]
    setting_texts = SettingTexts(dict(flatten(settings)))
    limit_texts = SettingTexts(dict(flatten(values.get("limits") or {}, "limits")))
    peer_listen = values.get("peer_listen")
    management = env.get("PROXY_MANAGEMENT") or values.get("management")
    config = Config(
        name=env.get("PROXY_NAME") or values["name"],
        listen=parse_address(env.get("PROXY_LISTEN") or values["listen"]),
        discovery=parse_address(env.get("PROXY_DISCOVERY") or values["discovery"]),
        settings=read_settings(int(values["seed"], 16), setting_texts),
        class_numbers=index_by_name(settings["categories"]),
        plan_numbers=index_by_name(settings["plans"]),
        zone_numbers=index_by_name(settings.get("zones")),
        kind_numbers=index_by_name(settings.get("kinds")),
        conn_idle_us=bounded_int(setting_texts, "ceilings.conn-idle-us", DEFAULT_IDLE_US, 1, MAX_TIME_US),
        connect_timeout_us=bounded_int(
            setting_texts, "ceilings.connect-timeout-us", DEFAULT_CONNECT_TIMEOUT_US, 1, MAX_TIME_US
        ),
        max_open=bounded_int(setting_texts, "ceilings.max-open", DEFAULT_OPEN_REQUESTS, 1, MAX_OPEN_REQUESTS),
        sockets=bounded_int(limit_texts, "limits.sockets", DEFAULT_SOCKETS, MIN_SOCKETS, MAX_SOCKETS),
        memory_mb=bounded_int(
            limit_texts, "limits.memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB, MAX_MEMORY_MB
        ),
        known_endpoint_list=values.get("known") or {},
        peer_listen=parse_address(peer_listen) if peer_listen else None,
        peers=tuple(map(parse_address, values.get("peers") or ())),
        management=parse_address(management) if management else None,
        socket_fd=read_descriptor(env["PROXY_SOCKET_FD"]) if env.get("PROXY_SOCKET_FD") else None,
        shared_directory=Path(env["TMPDIR"]) if env.get("TMPDIR") else None,
        policy=read_policy(values.get("policy")),
        traces_policy=values.get("trace_policy") is True,
    )
    if config.policy:
        config = replace(config, settings=replace(config.settings, policy_mark=config.policy.mark()))
    check_config(config)
    return config


def check_config(config: Config) -> None:
    """Check the preconditions of the decision core. Raises ConfigError if one is not met."""
    if not config.class_numbers or not config.plan_numbers:
        raise ConfigError("the settings need at least one class and one plan")
    settings = config.settings
    check_settings(settings)
    if not 0 <= settings.gateway_index < settings.gateway_count:
        raise ConfigError(f"there is no gateway {settings.gateway_index} of {settings.gateway_count}")


def check_settings(settings: Settings) -> None:
    """Check that times are positive, amounts not negative and shares between 0 and 1.

    Raises ConfigError if a value is out of range.
    """
    check_range("ceilings.max-retry-after-us", settings.max_retry_after_us, 0, MAX_TIME_US)
    check_range("obligations.cold-from", settings.cold_capacity, 0, 1)
    check_range("obligations.warm-within-us", settings.warm_up_us, 0, MAX_TIME_US)
    for number, request_class in enumerate(settings.classes):
        check_range(f"categories.{number}.on-time-us", request_class.latency_objective_us, 1, MAX_TIME_US)
        check_range(f"categories.{number}.deadline-us", request_class.deadline_us, 1, MAX_TIME_US)
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
    """Return the policy set by the agent, None if there is none. Raises ConfigError if it is invalid."""
    if value is None:
        return None
    setting_texts = SettingTexts(dict(flatten(value)))
    digest = setting_texts.text("digest")
    if digest and not DIGEST.fullmatch(digest):
        raise ConfigError(f"policy.digest is '{digest:.40}', not 16 hex digits")
    silence_ms = bounded_int(setting_texts, "silent_ms", DEFAULT_SILENCE_MS, MIN_SILENCE_MS, MAX_SILENCE_MS)
    return Policy(
        number=bounded_int(setting_texts, "number", 0, 0, MAX_NUMBER),
        digest=digest,
        silent_s=silence_ms / 1000,
        until_us=bounded_int(setting_texts, "until_us", 0, 0, MAX_NUMBER),
    )


def read_descriptor(text: str) -> int:
    """Return the inherited descriptor. Raises ConfigError if it is not a listening socket."""
    try:
        with socket.socket(fileno=os.dup(int(text))) as copy:
            is_listening = copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"'{text}' is not the descriptor of an inherited socket: {error}") from error
    if not is_listening:
        raise ConfigError(f"the inherited socket {text} is not listening")
    return int(text)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as the (path, value) pairs of the settings format."""
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
    """Return the index of each name in a list of names, or of objects with a name."""
    if not isinstance(values, list):
        return {}
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    return {str(name): number for number, name in enumerate(names)}


def bounded_int(setting_texts: SettingTexts, path: str, default: int, minimum: int, maximum: int) -> int:
    """Return an integer setting. Raises ConfigError if it is out of range."""
    value = setting_texts.whole(path, default)
    check_range(path, value, minimum, maximum)
    return value


def check_range(name: str, value: float, minimum: float, maximum: float) -> None:
    """Raise ConfigError if the value is out of range or NaN."""
    if not minimum <= value <= maximum:
        raise ConfigError(f"{name} is {value:g}, not from {minimum:g} to {maximum:g}")
