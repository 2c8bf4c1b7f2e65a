"""A rebuilt store: from which source, of which term, and what is never changed."""

import asyncio
import shutil
import sys
from pathlib import Path

from orchidhatch.control.registry.endpoints import RegisterEndpoint
from orchidhatch.control.registry.store import Store
from tests.control.agent.helpers import register_endpoint, running_agent, until
from tests.control.registry.helpers import Watcher, address_of, lifecycles_by_id, serving
from tests.control.registry.test_store import entry, one
from tests.sockets import refusing_address

ROOT = Path(__file__).parents[3]


async def run_rebuild(path: Path, *arguments: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.rebuild",
        "--store",
        str(path),
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def damage(path: Path) -> bytes:
    data = path.read_bytes().replace(b"127.0.0.1:7001", b"127.0.0.1:7009")
    path.write_bytes(data)
    return data


async def test_rebuild_uses_the_agents_list_in_a_higher_term(
    tmp_path: Path,
) -> None:
    path = tmp_path / "list.db"
    async with serving(path, term=3) as registry:
        for number in (1, 2):
            await register_endpoint(registry, f"s-{number}", hostPort=f"127.0.0.1:700{number}")
        at = address_of(registry)
        async with running_agent(tmp_path / "a.db", at) as agent:
            await until(lambda: len(agent.store.entries) == 2)
            watcher = await Watcher.open(address_of(agent))
            before = await watcher.next_event()
            await registry.close()
            broken = damage(path)
            source = "{}:{}".format(*address_of(agent))
            status, output, _ = await run_rebuild(path, "--from", source)
            assert status == 0 and "damaged" in output and "2 entries" in output
            assert (tmp_path / "list.db.damaged").read_bytes() == broken
            again = Store(path)
            assert again.term == 4  # above the one that the agent knew of
            assert again.entries.keys() == {"s-1", "s-2"} and again.generation > before["generation"]
            assert again.entries["s-1"].address == "127.0.0.1:7001"
            again.close()
            assert (await run_rebuild(path, "--from", source))[2].endswith("is sound; it is not replaced\n")


async def test_agents_prefer_a_store_rebuilt_from_a_backup(
    tmp_path: Path,
) -> None:
    path = tmp_path / "list.db"
    copy = tmp_path / "copy.db"
    new = tmp_path / "new.db"
    store = Store(path, create=True)
    one(store, RegisterEndpoint(entry(1, lease_ms=5000)))
    store.close()
    shutil.copy(path, copy)
    assert (await run_rebuild(new, "--backup", str(copy)))[0] == 0
    async with serving(path, create=False) as old, serving(new, create=False) as fresh:
        assert fresh.store.term == old.store.term + 1 and fresh.store.identity != old.store.identity
        assert fresh.store.entries["s-1"].lease_ms == 5000
        async with running_agent(tmp_path / "a.db", address_of(fresh), address_of(old)) as agent:
            await until(lambda: agent.replicator.connected)
            watcher = await Watcher.open(address_of(agent))
            assert lifecycles_by_id(await watcher.next_event()) == {"s-1": "SERVING"}
            await register_endpoint(old, "s-old")
            await fresh.close()
            await until(lambda: agent.replicator.stale_lists)
            assert list(agent.store.entries) == ["s-1"]


async def test_rebuild_without_a_source_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "list.db"
    store = Store(path, create=True)
    one(store, RegisterEndpoint(entry(1)))
    store.close()
    broken = damage(path)
    gone = "{}:{}".format(*refusing_address())
    for arguments in (
        ("--from", gone),
        ("--backup", str(tmp_path / "none.db")),
        ("--backup", str(path)),
        ("--from", "nowhere"),
    ):
        status, output, errors = await run_rebuild(path, *arguments)
        assert (status, output) == (1, "") and errors.count("\n") == 1
    assert path.read_bytes() == broken and not (tmp_path / "list.db.damaged").exists()


async def test_rebuild_does_not_replace_a_store_in_use(tmp_path: Path) -> None:
    path = tmp_path / "list.db"
    async with serving(path) as registry:
        await register_endpoint(registry, "s-1")
        status, _, errors = await run_rebuild(path, "--from", "{}:{}".format(*address_of(registry)))
        assert status == 1 and "locked" in errors and registry.store.entries
