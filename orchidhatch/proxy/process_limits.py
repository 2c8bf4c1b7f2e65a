"""The limits of this process that follow from its configuration and the system."""

import logging
from dataclasses import replace

from orchidhatch.gateway.settings import Settings
from orchidhatch.proxy.config import Config
from orchidhatch.proxy.process_resources import allow_descriptors
from orchidhatch.proxy.send_backlog import PROGRAM_MEMORY_MB

log = logging.getLogger(__name__)

# Of the memory above the program's, one part in so many is for commands that are not answered yet.
COMMAND_MEMORY_DIVISOR = 6
MIN_COMMAND_BYTES = 1 << 20


def allowed_descriptors(config: Config) -> int:
    """How many descriptors this process may hold; logs an error if these are fewer than configured."""
    allowed = allow_descriptors(config.sockets)
    if allowed < config.sockets:
        log.error(
            "the system allows this process %d descriptors, not the %d of limits.sockets",
            allowed,
            config.sockets,
        )
    return allowed


def limited_settings(config: Config) -> Settings:
    """The decision core's settings with the bounds on open requests and on their bytes."""
    spare_bytes = (config.memory_mb - PROGRAM_MEMORY_MB) * (1 << 20)
    max_open_bytes = max(MIN_COMMAND_BYTES, spare_bytes // COMMAND_MEMORY_DIVISOR)
    return replace(config.settings, max_open_requests=config.max_open, max_open_bytes=max_open_bytes)
