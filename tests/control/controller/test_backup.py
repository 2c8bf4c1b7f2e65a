"""Backups of the registry's store: by hand, and by a controller again and again."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path

from orchidhatch.control.registry.backups import Backups
from orchidhatch.control.registry.service import Registry
from tests.control.controller.helpers import start_controller, stored_task
from tests.control.registry.helpers import address_of, call
from tests.control.test_cli import client
from tests.control.test_schemas import body

EIGHT_DAYS_S = 8 * 24 * 3600


async def test_backups_are_kept_by_count_and_age(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]], tmp_path: Path
) -> None:
    """They are made by an operator or by the task's owner."""
    folder = tmp_path / "copies"
    async with running_registry() as registry:
        address = address_of(registry)
        assert (await client(address, "backup"))[0] == 1  # no folder is configured
        registry.backups = Backups(folder, max_backups=3)
        for number in range(5):
            assert (await call(address, "POST /entries", body(instanceId=f"s-{number}")))[0] == 200
            status, output, _ = await client(address, "backup")
            assert status == 0 and f"{number + 1} entries" in output
        assert [path.name for path in registry.backups.list_files()] == [f"list-1-{n}.db" for n in (3, 4, 5)]
        assert (await call(address, "POST /backup", b'{"claim":"x","epoch":1}'))[0] == 404

        assert (await client(address, "backup", "--every", "1h"))[0] == 0
        controller = await start_controller(registry, "controller-1")
        assert (await call(address, "DELETE /entries/s-0"))[0] == 200
        await controller.runner.run_once()
        newest = registry.backups.list_files()[-1]
        task = stored_task(registry, "task.backup")
        assert task["told"] == newest.name == "list-1-6.db" and task["leftMs"] == 3_600_000

        registry.backups.wall_clock_s = lambda: newest.stat().st_mtime + EIGHT_DAYS_S
        (folder / "list.db.new").write_bytes(b"cut short")
        assert (await client(address, "backup"))[0] == 0
        assert registry.backups.list_files() == [newest]
        newest.unlink()
        folder.rmdir()
        folder.write_bytes(b"")
        assert (await call(address, "POST /backup", b"{}"))[0] == 503
        assert (await call(address, "DELETE /entries/s-1"))[0] == 200  # writes go on


async def test_failed_backup_is_repeated_after_the_interval(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    """The task's message has the reason."""
    async with running_registry() as registry:
        assert (await client(address_of(registry), "backup", "--every", "1h"))[0] == 0
        controller = await start_controller(registry, "controller-1")
        await controller.runner.run_once()
        task = stored_task(registry, "task.backup")
        assert (
            task["told"] == "failed: no folder for backups is configured; start the registry with --backups"
        )
        assert (task["leftMs"], task["done"]) == (3_600_000, False)
