"""Signals the gateway's process to reload its configuration."""

import logging
import os
import signal
from pathlib import Path

log = logging.getLogger("orchidhatch.gateway_process")

CONFIG_VARIABLE = "PROXY_CONFIG"


class GatewayProcess:
    """The process that uses a configuration file, found by its PID file."""

    def __init__(self, pid_file: Path, config_file: Path) -> None:
        self._pid_file = pid_file
        self._config_file = config_file

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
        environment = Path(f"/proc/{process_number}/environ").read_bytes().split(b"\0")
        return f"{CONFIG_VARIABLE}={self._config_file}".encode() in environment
