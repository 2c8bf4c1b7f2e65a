"""Signals the gateway's process to read its configuration again."""

import logging
import os
import signal
from pathlib import Path

log = logging.getLogger("orchidhatch.gateway_process")

CONFIG_VARIABLE = "PROXY_CONFIG"


class GatewayProcess:
    """The process that serves by a configuration file, found by a file with its number."""

    def __init__(self, pid_file: Path, config_file: Path) -> None:
        self._pid_file = pid_file
        self._config_file = config_file

    def reload(self) -> None:
        """Send SIGHUP to the gateway, and to no other process that has its number by now.

        A process that cannot be found or signalled is logged; whether the gateway has reloaded is seen at the
        gateway.
        """
        try:
            process_number = int(self._pid_file.read_text())
            descriptor = os.pidfd_open(process_number)
        except (OSError, ValueError) as error:
            log.warning("gateway process not found: error=%s", error)
            return
        # From here on the descriptor stands for this process, also if its number is used again.
        try:
            if self._serves_by_our_file(process_number):
                signal.pidfd_send_signal(descriptor, signal.SIGHUP)
            else:
                log.error("process is not the gateway: pid=%d config=%s", process_number, self._config_file)
        except OSError as error:
            log.warning("gateway not signalled: pid=%d error=%s", process_number, error)
        finally:
            os.close(descriptor)

    def _serves_by_our_file(self, process_number: int) -> bool:
        environment = Path(f"/proc/{process_number}/environ").read_bytes().split(b"\0")
        return f"{CONFIG_VARIABLE}={self._config_file}".encode() in environment
