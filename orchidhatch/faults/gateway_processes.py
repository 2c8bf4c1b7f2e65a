"""The gateways of a trial, started as the deploy file says."""

import sys
import tomllib

from orchidhatch.faults.gateway_config_files import GatewayConfigFiles
from orchidhatch.faults.network import Network, address_text
from orchidhatch.faults.plan import Plan
from orchidhatch.faults.process_launcher import ProcessLauncher
from orchidhatch.faults.processes import ROOT
from orchidhatch.faults.readiness import ReadinessProbes

DEPLOY_FILE = ROOT / "deploy/balancer.toml"
BUILT_PYTHON = ".venv/bin/python"
"""The interpreter of the deploy file's `run`."""
HTTP_OK = 200


def gateway_command() -> list[str]:
    """The deploy file's `run`; where its build has not been made, the same program by this interpreter."""
    run = tomllib.loads(DEPLOY_FILE.read_text())["run"]
    if (ROOT / BUILT_PYTHON).exists():
        return ["/bin/sh", "-c", run]
    return ["/bin/sh", "-c", run.replace(BUILT_PYTHON, sys.executable)]


class GatewayProcesses:
    """Adds gateways."""

    def __init__(
        self,
        plan: Plan,
        network: Network,
        launcher: ProcessLauncher,
        probes: ReadinessProbes,
        config_files: GatewayConfigFiles,
    ) -> None:
        self._plan = plan
        self._network = network
        self._launcher = launcher
        self._probes = probes
        self._config_files = config_files

    def add(self, number: int) -> None:
        """Add a gateway; its configuration is written at each start."""
        name = f"door-{number}"

        async def ready() -> bool:
            return await self._is_ready(name)

        self._launcher.add_command(
            name,
            self._command(name),
            ready=ready,
            env=self._environment(name),
            prepare=lambda: self._config_files.write(number),
        )

    def _command(self, name: str) -> list[str]:
        launcher = self._launcher.launcher_words(name)
        if launcher:
            return [sys.executable, "-m", *launcher, "orchidhatch.proxy.main"]
        return gateway_command()

    def _environment(self, name: str) -> dict[str, str]:
        at = self._network.at
        return {
            "PROXY_NAME": name,
            "PROXY_LISTEN": address_text(at[name]),
            "PROXY_CONFIG": str(self._config_files.path(name)),
            "PROXY_MANAGEMENT": address_text(at[f"{name} management"]),
            "TMPDIR": str(self._config_files.temporary_folder(name)),
        }

    async def _is_ready(self, name: str) -> bool:
        """Whether a gateway serves.

        One that is under a policy is healthy only once its agent lets it, which faults may prevent.
        """
        if self._plan.policy:
            return await self._probes.listens(name)
        return await self._probes.answers(f"{name} management", HTTP_OK)
