"""The configuration of an agent for the gateway whose policy lease it holds."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class GatewaySetup:
    """A gateway's name and zone, and how it is configured.

    `config_file` is the file that its PROXY_CONFIG names. `pid_file` contains its process ID and is written
    by the program that starts it. `check_command` checks the configuration that PROXY_CONFIG names.
    """

    name: str
    zone: str
    config_file: Path
    pid_file: Path
    check_command: Sequence[str]
