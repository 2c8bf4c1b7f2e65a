"""The gateway's process: where it takes management calls, and the signal to reload its configuration."""

import logging
import os
import signal
from argparse import ArgumentTypeError
from pathlib import Path

from orchidhatch.control.addresses import parse_address
from orchidhatch.control.http_client import Address

log = logging.getLogger("orchidhatch.gateway_process")

CONFIG_VARIABLE = "PROXY_CONFIG"
MANAGEMENT_VARIABLE = "PROXY_MANAGEMENT"


class GatewayProcess:
    """The process that uses a configuration file, found by its PID file."""

    def __init__(self, pid_file: Path, config_file: Path) -> None:
        self._pid_file = pid_file
        self._config_file = config_file

    def management_address(self) -> Address | None:
        """Return the address of the process's management calls, None if its environment names none.

        A process that takes over from another one has an address of its own.
        """
        try:
            environment = self._environment(int(self._pid_file.read_text()))
            if environment.get(CONFIG_VARIABLE) == str(self._config_file):
                return parse_address(environment[MANAGEMENT_VARIABLE])
        except (OSError, ValueError, KeyError, ArgumentTypeError):
            return None
        return None

    def reload(self) -> None:
        """Send SIGHUP to the gateway, but not to another process that reuses its process ID.

        A failure to find or signal the process is only logged: the caller checks at the gateway whether it
        has reloaded.
        """
        try:
            process_number = int(self._pid_file.read_text())
            descriptor = os.pidfd_open(process_number)
        except (OSError, ValueError) as error:
            log.warning("gateway process not found: error=%s", error)
            return
        # From here on the descriptor refers to this process, even if its process ID is reused.
        try:
            if self._uses_config_file(process_number):
                signal.pidfd_send_signal(descriptor, signal.SIGHUP)
            else:
                log.error("process is not the gateway: pid=%d config=%s", process_number, self._config_file)
        except OSError as error:
            log.warning("gateway not signalled: pid=%d error=%s", process_number, error)
        finally:
            os.close(descriptor)

    def _uses_config_file(self, process_number: int) -> bool:
        return self._environment(process_number).get(CONFIG_VARIABLE) == str(self._config_file)

    @staticmethod
    def _environment(process_number: int) -> dict[str, str]:
        """Return the environment variables of a process. Raises OSError if they cannot be read."""
        content = Path(f"/proc/{process_number}/environ").read_bytes()
        variables = [entry.partition("=") for entry in os.fsdecode(content).split("\0")]
        return {name: value for name, _, value in variables}
