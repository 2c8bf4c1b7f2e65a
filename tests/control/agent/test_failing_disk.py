"""The agent's disk fails: its cache is no source of truth, and the endpoint list goes on without it."""

from pathlib import Path

from orchidhatch.control.agent.service import Agent
from tests.control.agent.helpers import register_endpoint, running_agent, until
from tests.control.registry.helpers import Watcher, address_of, named, serving


def fail_writes(agent: Agent, failing: bool) -> None:
    """As on a disk without room: nothing can be written to the cache."""
    agent.store.db.execute(f"PRAGMA query_only = {int(failing)}")


async def test_news_go_on_while_the_caches_disk_fails(tmp_path: Path) -> None:
    async with serving(tmp_path / "r.db") as registry:
        await register_endpoint(registry, "first")
        async with running_agent(tmp_path / "a.db", address_of(registry)) as agent:
            await until(lambda: agent.replicator.connected)
            watcher = await Watcher.open(address_of(agent))
            known = named(await watcher.news())
            fail_writes(agent, failing=True)
            for number in range(20):
                await register_endpoint(registry, f"s-{number}")
            while len(known) < 21:
                known |= named(await watcher.news())
            assert agent.replicator.upstream_switches == 0
