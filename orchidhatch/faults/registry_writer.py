"""Writes to the registries, as a client that goes on to the next one where one does not answer."""

import asyncio
import itertools

from orchidhatch.control.http_client import call
from orchidhatch.faults.call_results import body_of, status_of, store_of
from orchidhatch.faults.fleet import Fleet

WRITE_TIMEOUT_S = 20.0
WRITES_PER_REMOVAL = 3
"""Writes of entries to each that is removed again."""


class RegistryWriter:
    """Writes to the registry that took the last write, else to the next."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.recorder = fleet.recorder
        self.preferred = 0
        """The registry that took the last write."""
        self.numbers = itertools.count()
        self.written: set[str] = set()
        """Entries and records that were written."""

    async def write(self, name: str, method: str, path: str, value: object) -> bool:
        """Write, by one registry after the other; whether one took it.

        Each try is a write of its own, as one without an answer may have been carried out.
        """
        count = self.fleet.plan.registries
        for number in [(self.preferred + offset) % count for offset in range(count)]:
            if await self._write_at(number, name, method, path, value):
                self.preferred = number
                self.written.add(name)
                return True
        return False

    async def _write_at(self, number: int, name: str, method: str, path: str, value: object) -> bool:
        registry = f"registry-{number}"
        about = f"{name} {next(self.numbers)}"
        self.recorder.note("write", about, at=registry, id=name, method=method, value=value)
        address = self.fleet.over[f"writer>{registry}"]
        result = await call(address, method, path, value, timeout_s=WRITE_TIMEOUT_S)
        self.recorder.note(
            "answer",
            about,
            at=registry,
            id=name,
            status=status_of(result),
            store=store_of(result),
            told=body_of(result),
        )
        return result.ok

    async def set_lifecycle(self, backend: str, lifecycle: str) -> None:
        """Change the lifecycle of a backend's entry."""
        await self.write(backend, "POST", f"/entries/{backend}/lifecycle", {"lifecycle": lifecycle})

    async def write_in_background(self) -> None:
        """Write entries that no gateway uses, by open loop; one in three is removed again."""
        plan = self.fleet.plan
        tasks: list[asyncio.Task[bool]] = []
        for number in range(int(plan.writes.per_s * plan.seconds)):
            await asyncio.sleep(max(0.0, number / plan.writes.per_s - self.fleet.elapsed_s()))
            name = f"w-{number}"
            tasks.append(asyncio.ensure_future(self.write(name, "POST", "/entries", unused_entry(name))))
            removed = f"w-{number - 2 * WRITES_PER_REMOVAL}"
            if number % WRITES_PER_REMOVAL == 0 and removed in self.written:
                tasks.append(
                    asyncio.ensure_future(self.write(removed, "DELETE", f"/entries/{removed}", None))
                )
        await asyncio.gather(*tasks)


def unused_entry(name: str) -> dict[str, str]:
    """An entry that gateways are notified of and send nothing to."""
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:9",
        "zone": "a",
        "machineType": "m2",
        "lifecycle": "DRAINING",
    }
