"""The configuration files of a trial's gateways."""

import json
import random
import time
from pathlib import Path
from typing import Any

from orchidhatch.faults.gateway_settings import gateway_settings
from orchidhatch.faults.network import Network, address_text
from orchidhatch.faults.plan import Script

GATEWAY_LIMITS = {"cores": 1.0, "memory_mb": 192}


class GatewayConfigFiles:
    """Writes the gateways' configurations, and changes them while the gateways serve."""

    def __init__(self, script: Script, folder: Path, network: Network) -> None:
        self._script = script
        self._plan = script.plan
        self._folder = folder
        self._network = network

    def path(self, gateway: str) -> Path:
        """A gateway's configuration file."""
        return self._folder / gateway / "config.json"

    def temporary_folder(self, gateway: str) -> Path:
        """Where a gateway keeps its temporary files."""
        return self._folder / gateway / "tmp"

    def write(self, number: int) -> None:
        """Write a gateway's configuration, anew at each start with another seed, unless an agent keeps it."""
        name = f"door-{number}"
        path = self.path(name)
        if self._plan.policy and path.exists():
            return
        self._clear_temporary_folder(name)
        path.write_text(json.dumps(self._values(name, number)))

    def move_discovery(self, gateway: str) -> None:
        """Name the other address of discovery in the configuration, as an operator replaces the file."""
        self._network.switch_discovery(gateway)
        path = self.path(gateway)
        discovery = address_text(self._network.discovery_of(gateway))
        values = json.loads(path.read_text()) | {"discovery": discovery}
        new_file = path.with_suffix(".new")
        new_file.write_text(json.dumps(values))
        new_file.replace(path)

    def _clear_temporary_folder(self, gateway: str) -> None:
        folder = self.temporary_folder(gateway)
        folder.mkdir(exist_ok=True)
        for leftover in folder.iterdir():
            leftover.unlink()

    def _values(self, name: str, number: int) -> dict[str, Any]:
        """The configuration, by the names of the file."""
        at = self._network.at
        seed = random.Random(f"{self._script.seed} {name} {time.monotonic_ns()}").getrandbits(64)
        return {
            "name": name,
            "listen": address_text(at[name]),
            "discovery": address_text(self._network.discovery_of(name)),
            "seed": f"{seed:016x}",
            "limits": GATEWAY_LIMITS | {"sockets": self._plan.sockets},
            "peer_listen": address_text(at[f"{name} peers"]),
            "peers": self._peer_addresses(name),
            "known": None,
            "settings": gateway_settings(self._plan, number),
            "trace_policy": self._plan.policy,
        }

    def _peer_addresses(self, gateway: str) -> list[str]:
        """The addresses by which a gateway reaches the others; its own is the one that it listens at."""
        at = self._network.at
        over = self._network.over
        return [
            address_text(over.get(f"{gateway}>door-{number}", at[f"door-{number} peers"]))
            for number in range(self._plan.doors)
        ]
