"""The registry's role, replica or primary, with the tasks that replicate the upstream."""

import asyncio
from collections.abc import Coroutine, Iterable

from orchidhatch.control.error_signs import READ_ONLY_SIGN
from orchidhatch.control.errors import ConflictError
from orchidhatch.control.registry.replication import Replicator


class ReplicaRole:
    """The role of this registry. `replicator` is None if it is the primary.

    Only `become_primary` changes the role, once. The tasks are cancelled then, or when the server closes.
    """

    def __init__(self, replicator: Replicator | None) -> None:
        self.replicator = replicator
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, coroutines: Iterable[Coroutine[None, None, None]]) -> list[asyncio.Task[None]]:
        """Start and return the replication tasks, which the caller must cancel and await at shutdown."""
        self.tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        return self.tasks

    def become_primary(self) -> None:
        """Stop replicating."""
        for task in self.tasks:
            task.cancel()
        self.replicator = None

    def check_is_primary(self) -> None:
        """Raise ConflictError while this registry is a replica."""
        if self.replicator:
            raise ConflictError(
                f"this registry is a replica of {self.replicator.upstream} and {READ_ONLY_SIGN}"
            )
