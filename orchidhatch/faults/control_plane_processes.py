"""The control plane of a trial: its registries, agents and controllers, with their options."""

import sys
from pathlib import Path

from orchidhatch.faults.gateway_settings import ZONES
from orchidhatch.faults.network import Network, address_text
from orchidhatch.faults.plan import Plan
from orchidhatch.faults.process_launcher import ProcessLauncher
from orchidhatch.faults.readiness import ReadinessProbes


class ControlPlaneProcesses:
    """Adds registries, agents and controllers."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        network: Network,
        launcher: ProcessLauncher,
        probes: ReadinessProbes,
    ) -> None:
        self._plan = plan
        self._folder = folder
        self._network = network
        self._launcher = launcher
        self._probes = probes

    def add_registry(self, number: int) -> None:
        """Add a registry, the first or a replica of it."""
        name = f"registry-{number}"
        words: list[object] = ["--listen", self._listen_address(name), "--create"]
        words += ["--store", self._folder / name / "list.db"]
        if number:
            words += ["--follow", self._link_address(name, "registry-0")]
        for other in range(self._plan.registries):
            if other != number:
                words += ["--peer", self._link_address(name, f"registry-{other}")]
        self._launcher.add_module(
            name, "orchidhatch.registry", *words, ready=lambda: self._probes.answers(name)
        )

    def add_agent(self, number: int) -> None:
        """Add the agent of a gateway's machine."""
        name = f"agent-{number}"
        words: list[object] = ["--listen", self._listen_address(name), *self._registry_options(name)]
        words += ["--cache", self._folder / name / "cache.db"]
        if self._plan.doors:
            words += ["--door", self._link_address(name, f"door-{number}")]
        if self._plan.policy:
            words += self._policy_options(number)
        self._launcher.add_module(name, "orchidhatch.agent", *words, ready=lambda: self._probes.answers(name))

    def add_controller(self, number: int) -> None:
        """Add a controller."""
        name = f"steward-{number}"
        words: list[object] = ["--id", name, *self._registry_options(name)]
        for agent in range(self._plan.doors):
            words += ["--agent", self._link_address(name, f"agent-{agent}")]

        async def ready() -> bool:
            return b"serves" in (self._folder / name / "log").read_bytes()

        self._launcher.add_module(name, "orchidhatch.controller", *words, ready=ready)

    def _listen_address(self, name: str) -> str:
        return address_text(self._network.at[name])

    def _link_address(self, source: str, target: str) -> str:
        return address_text(self._network.over[f"{source}>{target}"])

    def _registry_options(self, name: str) -> list[str]:
        """A process's options for all registries, by the links from it."""
        addresses = self._network.registries_of(name)
        return [word for address in addresses for word in ("--registry", address_text(address))]

    def _policy_options(self, number: int) -> list[object]:
        """An agent's options for the gateway whose policy lease it holds."""
        gateway = f"door-{number}"
        folder = self._folder / gateway
        return [
            *("--name", gateway),
            *("--zone", ZONES[number % len(ZONES)]),
            *("--config", folder / "config.json"),
            *("--pid", folder / "pid"),
            *("--check", f"{sys.executable} -m orchidhatch.proxy --check"),
        ]
