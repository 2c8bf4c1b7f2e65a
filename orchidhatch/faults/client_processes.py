"""The clients of a trial: the load, and clients that send no whole requests."""

from pathlib import Path

import msgspec

from orchidhatch.faults import load
from orchidhatch.faults.network import Network
from orchidhatch.faults.plan import Script
from orchidhatch.faults.process_launcher import ProcessLauncher
from orchidhatch.faults.readiness import always_ready


class ClientProcesses:
    """Adds the processes that send requests to the gateways."""

    def __init__(self, script: Script, folder: Path, network: Network, launcher: ProcessLauncher) -> None:
        self._script = script
        self._plan = script.plan
        self._folder = folder
        self._network = network
        self._launcher = launcher

    def add(self, start_ns: int) -> list[str]:
        """Add the load, and odd clients where the plan has them; their names.

        The load begins at `start_ns` of the monotonic clock.
        """
        file = self._write_settings(start_ns)
        modules = {"clients": "orchidhatch.faults.load"}
        if self._plan.load.odd_per_s or self._plan.load.crowd:
            modules["odd-clients"] = "orchidhatch.faults.odd_clients"
        for name, module in modules.items():
            self._launcher.add_module(name, module, file, ready=always_ready, ends=True)
        return list(modules)

    def _write_settings(self, start_ns: int) -> Path:
        """Write the settings of all clients; their file."""
        over = self._network.over
        gateways = [over[f"clients>door-{number}"] for number in range(self._plan.doors)]
        settings = load.Settings(
            gateways, self._plan.load, self._plan.seconds, self._script.seed, start_ns, str(self._folder)
        )
        file = self._folder / "clients.json"
        file.write_bytes(msgspec.json.encode(settings))
        return file
