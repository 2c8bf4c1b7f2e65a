"""The processes of a trial: their commands and settings, and the order of their starts."""

import time
from pathlib import Path

import msgspec

from orchidhatch.faults import load
from orchidhatch.faults.backend_machines import BackendMachines
from orchidhatch.faults.control_plane_processes import ControlPlaneProcesses
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.gateway_config_files import GatewayConfigFiles
from orchidhatch.faults.gateway_processes import GatewayProcesses
from orchidhatch.faults.network import Network
from orchidhatch.faults.plan import Fault, Script
from orchidhatch.faults.process_launcher import ProcessLauncher
from orchidhatch.faults.processes import Processes
from orchidhatch.faults.readiness import ReadinessProbes, always_ready
from orchidhatch.faults.shim_controls import ShimControls

START_DELAY_S = 1.5
"""Until the load begins, for the clients to be ready."""


class Fleet:
    """All that a trial runs, over its whole time."""

    def __init__(self, script: Script, folder: Path, recorder: Recorder, defect: str = "") -> None:
        self.script = script
        self.plan = script.plan
        self.folder = folder
        self.recorder = recorder
        self.processes = Processes()
        self.network = Network(script.plan, script.seed, recorder)
        self.at = self.network.at
        self.over = self.network.over
        self.shim_controls = ShimControls(script, folder, recorder)
        self.launcher = ProcessLauncher(
            script, folder, recorder, self.network, self.processes, self.shim_controls, defect
        )
        self.probes = ReadinessProbes(script.plan, self.network)
        self.control_plane = ControlPlaneProcesses(
            script.plan, folder, self.network, self.launcher, self.probes
        )
        self.backends = BackendMachines(script, folder, self.network, self.launcher, self.probes)
        self.gateway_config_files = GatewayConfigFiles(script, folder, self.network)
        self.gateways = GatewayProcesses(
            script.plan, self.network, self.launcher, self.probes, self.gateway_config_files
        )
        self.start_ns = 0

    def elapsed_s(self) -> float:
        """Seconds since the start of the load."""
        return (time.monotonic_ns() - self.start_ns) / 1e9

    def note_fault(self, fault: Fault, subject: str) -> None:
        """Record that a fault takes hold of a process or link."""
        self.recorder.note("fault", subject, kind=fault.kind, lasts=fault.lasts, way=fault.way)

    def note_fault_end(self, fault: Fault, subject: str) -> None:
        """Record that a fault of a process or link is undone."""
        self.recorder.note("undone", subject, kind=fault.kind, way=fault.way)

    # --- clients ---

    def add_clients(self) -> None:
        """Add the load, and the clients that send no whole requests where the plan has them."""
        gateways = [self.over[f"clients>door-{number}"] for number in range(self.plan.doors)]
        settings = load.Settings(
            gateways, self.plan.load, self.plan.seconds, self.script.seed, self.start_ns, str(self.folder)
        )
        file = self.folder / "clients.json"
        file.write_bytes(msgspec.json.encode(settings))

        self.launcher.add_module("clients", "orchidhatch.faults.load", file, ready=always_ready, ends=True)
        if self.plan.load.odd_per_s or self.plan.load.crowd:
            self.launcher.add_module(
                "odd-clients", "orchidhatch.faults.odd_clients", file, ready=always_ready, ends=True
            )

    # --- start and end ---

    async def start(self) -> None:
        """Start registries, backends that register, agents, gateways, controllers, and last the clients."""
        plan = self.plan
        self.shim_controls.build()
        self.network.assign_addresses()
        await self.network.open_relays()
        registries = await self._start_registries()
        await self._start_backends()
        agents = [f"agent-{number}" for number in range(max(1, plan.doors))]
        for number in range(len(agents)):
            self.control_plane.add_agent(number)
        await self.processes.start(*agents)
        for name in [*registries, *agents]:
            await self.probes.wait_until_listed(name)
        for number in range(plan.doors):
            self.gateways.add(number)
        await self.processes.start(*(f"door-{number}" for number in range(plan.doors)))
        for number in range(plan.stewards):
            self.control_plane.add_controller(number)
        await self.processes.start(*(f"steward-{number}" for number in range(plan.stewards)))
        if plan.policy:
            await self.probes.wait_until_under_policy()
        self.start_ns = time.monotonic_ns() + round(START_DELAY_S * 1e9)
        if plan.doors and plan.load.customers:
            await self._start_clients()
        self.recorder.note("begins", "trial", start_ns=self.start_ns)

    async def _start_registries(self) -> list[str]:
        """Start the first registry, then its replicas; their names."""
        names = [f"registry-{number}" for number in range(self.plan.registries)]
        for number in range(self.plan.registries):
            self.control_plane.add_registry(number)
        await self.processes.start(names[0])
        await self.processes.start(*names[1:])
        return names

    async def _start_backends(self) -> None:
        count = self.plan.backends.count
        for number in range(count):
            await self.backends.add(number)
        await self.processes.start(*(f"backend-{number}" for number in range(count)))

    async def _start_clients(self) -> None:
        self.add_clients()
        names = [name for name in ("clients", "odd-clients") if name in self.processes.all]
        await self.processes.start(*names)

    async def close(self) -> None:
        """End all processes, and close the relays."""
        await self.processes.close()
        self.network.close()
