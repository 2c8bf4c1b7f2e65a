"""Request handlers for backups of a registry's store."""

import logging
from collections.abc import Awaitable, Callable, Coroutine

from orchidhatch.control.errors import ConflictError, ControlError, StoreError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.ownership.objects import Fence
from orchidhatch.control.registry.backups import Backups, BackupSummary
from orchidhatch.control.registry.store import Store, check_fence
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import read_optional_fence

log = logging.getLogger("orchidhatch.registry")

RunSerialized = Callable[[Callable[[], None]], Awaitable[None]]
StartTask = Callable[[Coroutine[None, None, None]], None]


class BackupHandlers:
    """The request handlers for backups. `backups` is None if no folder is configured."""

    def __init__(self, store: Store, run_serialized: RunSerialized, start_task: StartTask) -> None:
        self.backups: Backups | None = None
        self._store = store
        self._run_serialized = run_serialized
        self._start_task = start_task

    def add_routes(self, router: Router) -> None:
        """Register the routes of these handlers."""
        router.add("POST", "/backup", self._back_up)

    def _back_up(self, request: Request) -> None:
        fence = read_optional_fence(request.body)
        self._start_task(self._answer_backup(request.connection, fence))

    async def _answer_backup(self, connection: Connection, fence: Fence | None) -> None:
        try:
            summary = await self._create_backup(fence)
        except ControlError as error:
            if isinstance(error, StoreError):
                log.error("backup failed: reason=%s", error)
            connection.fail(error)
        else:
            connection.answer(Response(200, summary))

    async def _create_backup(self, fence: Fence | None) -> BackupSummary:
        """Create a backup and return its summary. Raises ConflictError or StoreError."""
        backups = self.backups
        if backups is None:
            raise ConflictError("no folder for backups is configured; start the registry with --backups")
        summaries: list[BackupSummary] = []

        def check_and_copy() -> None:
            """Check the fence and copy the store without a write in between."""
            check_fence(self._store, fence)
            summaries.append(backups.create(self._store))

        await self._run_serialized(check_and_copy)
        return summaries[0]

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name, without the registry's prefix."""
        if self.backups is None:
            return {}
        return {"backups_total": self.backups.completed, "backups_failed_total": self.backups.failed}
