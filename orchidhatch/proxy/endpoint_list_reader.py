"""Decoding of discovery's endpoint list for the decision core and the connection pools."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from orchidhatch.gateway.endpoints import Endpoint, EndpointListKind, EndpointState
from orchidhatch.gateway.events import EndpointList
from orchidhatch.proxy.config import Address, Config, ConfigError, parse_backend_address
from orchidhatch.proxy.start_times import KnownStart, StartTimes

log = logging.getLogger(__name__)

STATES = {
    "SERVING": EndpointState.UP,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
"""Endpoint states by their names in discovery's messages."""

MALFORMED_ENTRY = (KeyError, TypeError, ValueError, ArithmeticError, AttributeError, ConfigError)
"""The exceptions that reading a malformed entry may raise."""


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A full endpoint list, or changes to it, for the decision core, with the endpoints' addresses."""

    event: EndpointList
    addresses: dict[str, Address]


class EndpointListReader:
    """Decodes endpoint lists: zone and machine type names to numbers, start times to the monotonic clock."""

    def __init__(self, config: Config) -> None:
        self.zone_numbers = config.zone_numbers
        self.kind_numbers = config.kind_numbers
        self.start_times = StartTimes()
        self.entries: dict[str, Mapping[str, Any]] = {}
        """The list as of the last update, by endpoint name, as received from discovery."""
        self.version = 0

    def read(self, value: Mapping[str, Any], kind: EndpointListKind | None = None) -> EndpointUpdate:
        """Decode a full list or changes to one; malformed entries are logged and skipped.

        Raises KeyError, TypeError or ValueError if the message itself is malformed.
        """
        kind = kind or (EndpointListKind.FULL if value.get("reset") else EndpointListKind.CHANGES)
        version = int(value["generation"])
        endpoints = []
        addresses = {}
        entries: dict[str, Mapping[str, Any]] = {}
        for entry in value["instances"]:
            try:
                endpoint = self._read_endpoint(entry)
                # A removed endpoint needs no address, and its removal must not be missed for lack of one.
                if endpoint.state is not EndpointState.GONE:
                    addresses[endpoint.name] = parse_backend_address(entry["hostPort"])
            except MALFORMED_ENTRY as error:
                log.error("endpoint list entry malformed: error=%s entry=%.200r", error, entry)
                continue
            endpoints.append(endpoint)
            entries[endpoint.name] = entry
        self._store(entries, kind)
        self.version = version
        if kind is not EndpointListKind.SAVED:
            self.start_times.confirm()
        return EndpointUpdate(EndpointList(kind, version, tuple(endpoints)), addresses)

    def _read_endpoint(self, entry: Mapping[str, Any]) -> Endpoint:
        name = str(entry["instanceId"])
        started_ms = float(entry.get("startedAtMs") or 0)
        return Endpoint(
            name=name,
            zone=self.zone_numbers.get(entry.get("zone"), -1),
            kind=self.kind_numbers.get(entry.get("machineType"), -1),
            cell=int(entry.get("cell") or 0),
            # An endpoint in an unknown state gets no new attempts.
            state=STATES.get(entry.get("lifecycle"), EndpointState.DRAINING),
            relative_capacity=float(entry.get("weight") or 1.0),
            started_us=self.start_times.started_us(name, started_ms),
        )

    def _store(self, entries: Mapping[str, Mapping[str, Any]], kind: EndpointListKind) -> None:
        if kind is not EndpointListKind.CHANGES:
            self.entries = {}
        for name, entry in entries.items():
            if entry.get("lifecycle") == "DELETED":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry

    def adopt_starts(self, snapshot: Mapping[str, Any], started_us: Mapping[str, int]) -> None:
        """Adopt the start times that the predecessor computed for the entries of its list."""
        self.start_times.adopt(
            (name, KnownStart(float(entry.get("startedAtMs") or 0), started_us[name]))
            for entry in snapshot["instances"]
            if (name := entry["instanceId"]) in started_us
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the full list in the form that discovery sends it."""
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}
