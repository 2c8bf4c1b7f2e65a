"""Reads the recorded values of scripts/record-baseline into the classes of today."""

import enum
import json
from pathlib import Path
from typing import Any

from orchidhatch.gateway import actions, attempts, endpoints, events, gossip, settings, snapshots

FOLDER = Path(__file__).parents[1] / "data" / "baseline"
# Classes whose name has changed since the recording: name then -> class now. Fields keep their order.
RENAMED: dict[str, type] = {
    "Effect": settings.Idempotency,
    "Group": settings.DeduplicationScope,
    "Result": attempts.AttemptResult,
    "ServerState": endpoints.EndpointState,
    "ListKind": endpoints.EndpointListKind,
    "Server": endpoints.Endpoint,
    "ServerList": events.EndpointList,
    "Outcome": events.AttemptEnded,
    "Timer": events.TimerExpired,
    "ProbeResult": events.HealthCheckResult,
    "Place": gossip.SlotGrant,
    "Word": gossip.GossipMessage,
    "Sighting": gossip.AttemptObservation,
    "Counted": events.CounterReply,
    "Maint": events.SetEjection,
    "NewPolicy": events.PolicyChange,
    "Bar": events.SuspendAdmission,
    "Key": snapshots.CustomerKey,
    "TwinSpend": snapshots.HandoverSpend,
    "TwinSend": snapshots.HandoverAttempt,
    "TwinEnd": snapshots.HandoverAttemptEnd,
    "TwinMaint": snapshots.HandoverEjection,
    "CustomerMemory": snapshots.CustomerSnapshot,
    "ServerMemory": snapshots.ServerSnapshot,
    "CapMemory": snapshots.OverloadSnapshot,
    "State": snapshots.GatewaySnapshot,
    "HandOver": events.StartHandover,
    "TwinUnknown": events.HandoverPeerUnknown,
    "TwinGone": events.HandoverPeerGone,
    "Survey": events.MetricsRequest,
    "Send": actions.SendAttempt,
    "Cancel": actions.CancelAttempt,
    "Refuse": actions.Reject,
    "Probe": actions.HealthCheck,
    "CloseIdle": actions.CloseIdleConnections,
    "Tell": actions.SendGossip,
    "Count": actions.AddToCounter,
    "FetchList": actions.FetchEndpointList,
    "Ruling": actions.EjectionResult,
    "Census": actions.MetricsSnapshot,
    "Waited": actions.WaitTimes,
    "Log": actions.LogLine,
}
# Members of enums whose name has changed: class and name then -> name now.
RENAMED_MEMBERS = {("Result", "FULL"): "REJECTED", ("Result", "MOOT"): "NOT_SENT"}
MODULES = (actions, attempts, endpoints, events, gossip, settings, snapshots)


def class_of(name: str) -> Any:  # noqa: ANN401 - a dataclass, a named tuple or an enum
    """The class of today for a recorded name; an AttributeError where there is none."""
    if name in RENAMED:
        return RENAMED[name]
    module = next((module for module in MODULES if hasattr(module, name)), events)
    return getattr(module, name)


def decode(value: Any) -> Any:  # noqa: ANN401 - JSON in, a record of the gateway out
    """The reverse of the script's `encode`."""
    if not isinstance(value, dict):
        return value
    if "type" in value:
        return class_of(value["type"])(*map(decode, value["fields"]))
    if "enum" in value:
        kind: type[enum.Enum] = class_of(value["enum"])
        return kind[RENAMED_MEMBERS.get((value["enum"], value["name"]), value["name"])]
    if "tuple" in value:
        return tuple(map(decode, value["tuple"]))
    return frozenset(value["set"])


def read(name: str) -> Any:  # noqa: ANN401 - JSON
    return json.loads((FOLDER / name).read_text())
