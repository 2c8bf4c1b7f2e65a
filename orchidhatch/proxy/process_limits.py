"""Limits of this process derived from its configuration and the operating system."""

import logging
from dataclasses import replace

from orchidhatch.gateway.settings import Settings
from orchidhatch.proxy.config import Config
from orchidhatch.proxy.memory_budget import memory_budget
from orchidhatch.proxy.process_resources import raise_descriptor_limit

log = logging.getLogger(__name__)


def apply_descriptor_limit(config: Config) -> int:
    """Raise the descriptor limit as configured; return how many descriptors the process may hold.

    Logs an error if these are fewer than configured.
    """
    allowed = raise_descriptor_limit(config.sockets)
    if allowed < config.sockets:
        log.error(
            "the system allows this process %d descriptors, fewer than limits.sockets=%d",
            allowed,
            config.sockets,
        )
    return allowed


def create_core_settings(config: Config) -> Settings:
    """Return the decision core's settings with the limits on open requests, their bytes, and customers."""
    budget = memory_budget(config.memory_mb)
    return replace(
        config.settings,
        max_open_requests=config.max_open,
        max_open_bytes=budget.open_commands_bytes,
        max_customers=budget.customers,
    )
