"""The backends of a trial: the machines in its slots, replaced ones too."""

from pathlib import Path

import msgspec

from orchidhatch.faults import backend
from orchidhatch.faults.gateway_settings import ZONES
from orchidhatch.faults.network import Network, free_port
from orchidhatch.faults.plan import Script
from orchidhatch.faults.process_launcher import ProcessLauncher
from orchidhatch.faults.readiness import ReadinessProbes

FIRST_MACHINE = 100
"""The last number of the first backend's address."""


class BackendMachines:
    """Adds backends, each with an address and an id of its own, and the relays to it."""

    def __init__(
        self,
        script: Script,
        folder: Path,
        network: Network,
        launcher: ProcessLauncher,
        probes: ReadinessProbes,
    ) -> None:
        self.ids: dict[str, str] = {}
        """By backend process, its id in the endpoint list."""
        self._script = script
        self._plan = script.plan
        self._folder = folder
        self._network = network
        self._launcher = launcher
        self._probes = probes
        self._next_machine = FIRST_MACHINE

    async def add(self, number: int) -> None:
        """Add a machine in this slot, the first or one in place of another."""
        name = f"backend-{number}"
        machine = self._next_machine
        self._next_machine += 1
        host = self._network.backend_host(machine)
        port = free_port(host)
        self._network.at[name] = host, port
        self.ids[name] = f"b-{number}-{machine}"
        for gateway in range(self._plan.doors):
            await self._open_relay(f"door-{gateway}", name, machine, port)
        file = self._write_settings(name, number)
        self._launcher.add_module(
            name, "orchidhatch.faults.backend", file, ready=lambda: self._probes.listens(name)
        )

    async def _open_relay(self, gateway: str, name: str, machine: int, port: int) -> None:
        """Open the relay from a gateway to a new machine; the one to the machine before it refuses."""
        link = f"{gateway}>{name}"
        if link in self._network.relays:
            self._network.relays[link].refuse()
        host = f"{self._network.prefix}.{self._network.view_host_number(gateway)}.{machine}"
        await self._network.open_relay(link, self._network.at[name], host, port)

    def _write_settings(self, name: str, number: int) -> Path:
        """Write the settings of a backend; their file."""
        settings = backend.Settings(
            name,
            self.ids[name],
            self._network.at[name],
            self._network.registries_of(name),
            ZONES[number % len(ZONES)],
            self._plan.backends,
            self._script.seed,
            str(self._folder),
        )
        file = self._folder / f"{name}.json"
        file.write_bytes(msgspec.json.encode(settings))
        return file
