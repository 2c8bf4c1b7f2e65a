"""The list services that a process knows, of which one takes writes."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from orchidhatch.control.http_client import Address, call

PATIENCE_S = 1.0
MOVED_ON = ("takes no writes", "fenced")  # what one answers in whose place another takes writes


@dataclass
class RegistryClient:
    """Found by asking the next where one does not take writes."""

    registries: Sequence[Address]
    at: int = 0

    async def call(self, method: str, path: str, value: object = None) -> tuple[int, Any]:
        """Status and value of the one that takes writes; 0 where none answers."""
        status, told = 0, None
        for _ in self.registries:
            status, told, _ = await call(self.registries[self.at], method, path, value, PATIENCE_S)
            if status in (0, 503) or (status == 409 and any(sign in str(told) for sign in MOVED_ON)):
                self.at = (self.at + 1) % len(self.registries)
                continue
            return status, told
        return (status if status == 503 else 0), told
