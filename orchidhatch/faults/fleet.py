"""The parts of a trial, and the order in which its processes are started."""

import time
from pathlib import Path

from orchidhatch.faults.backend_machines import BackendMachines
from orchidhatch.faults.client_processes import ClientProcesses
from orchidhatch.faults.control_plane_processes import ControlPlaneProcesses
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.gateway_config_files import GatewayConfigFiles
from orchidhatch.faults.gateway_processes import GatewayProcesses
from orchidhatch.faults.network import Network
from orchidhatch.faults.plan import Fault, Script
from orchidhatch.faults.process_launcher import ProcessLauncher
from orchidhatch.faults.processes import Processes
from orchidhatch.faults.readiness import ReadinessProbes
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
        self.clients = ClientProcesses(script, folder, self.network, self.launcher)
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

    # --- start and end ---

    async def start(self) -> None:
        """Start registries, backends that register, agents, gateways, controllers, and last the clients."""
        plan = self.plan
        self.shim_controls.build()
        self.network.assign_addresses()
        await self.network.open_relays()
        registries = await self._start_registries()
        await self._start_backends()
        agents = await self._start_agents()
        for name in [*registries, *agents]:
            await self.probes.wait_until_listed(name)
        await self._start_gateways()
        await self._start_controllers()
        if plan.policy:
            await self.probes.wait_until_under_policy()
        self.start_ns = time.monotonic_ns() + round(START_DELAY_S * 1e9)
        if plan.doors and plan.load.customers:
            await self.processes.start(*self.clients.add(self.start_ns))
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

    async def _start_agents(self) -> list[str]:
        """Start an agent for each gateway, and one where there is none; their names."""
        count = max(1, self.plan.doors)
        for number in range(count):
            self.control_plane.add_agent(number)
        names = [f"agent-{number}" for number in range(count)]
        await self.processes.start(*names)
        return names

    async def _start_gateways(self) -> None:
        count = self.plan.doors
        for number in range(count):
            self.gateways.add(number)
        await self.processes.start(*(f"door-{number}" for number in range(count)))

    async def _start_controllers(self) -> None:
        count = self.plan.stewards
        for number in range(count):
            self.control_plane.add_controller(number)
        await self.processes.start(*(f"steward-{number}" for number in range(count)))

    async def close(self) -> None:
        """End all processes, and close the relays."""
        await self.processes.close()
        self.network.close()
