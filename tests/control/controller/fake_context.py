"""A context of tasks without a registry: records in memory, a fleet that the test sets, failing gateways."""

from http import HTTPStatus
from typing import Any

from orchidhatch.control.controller.registry_api import RegistryReply, StoredRecord
from orchidhatch.control.controller.summary import MetricsSample
from orchidhatch.control.controller.task import GatewayCommand, GatewayQuery, Task
from orchidhatch.control.policy.fleet_status import FleetStatus, encode_fleet_status

OK = RegistryReply(HTTPStatus.OK, {})
CONFLICT = RegistryReply(HTTPStatus.CONFLICT, {"error": "record is at another version"})


class FakeContext:
    """Carries out everything at once, and notes the commands that gateways were sent."""

    def __init__(self, fleet: FleetStatus | None = None, term: int = 1) -> None:
        self.fleet = fleet
        self.term = term
        self.records: dict[str, StoredRecord] = {}
        self.lifecycles: dict[str, str] = {}
        self.commands: list[tuple[str, GatewayCommand]] = []
        self.missing_agents: list[str] = []
        self.reply = OK  # to what is not about records
        self.last_version = 0

    def claim_term(self) -> int:
        return self.term

    async def read(self, path: str) -> RegistryReply:
        if path == "/doors":
            return RegistryReply(HTTPStatus.OK, encode_fleet_status(self.fleet))
        records = [{"name": one.name, "text": one.text, "version": 1} for one in self.records.values()]
        return RegistryReply(HTTPStatus.OK, {"records": records})

    async def read_record(self, name: str) -> StoredRecord | None:
        return self.records.get(name)

    async def set_lifecycle(self, instance_id: str, lifecycle: str) -> RegistryReply:
        if self.reply.ok:
            self.lifecycles[instance_id] = lifecycle
        return self.reply

    async def remove_endpoint(self, instance_id: str) -> RegistryReply:
        return self.reply

    async def create_backup(self) -> RegistryReply:
        return self.reply

    async def expire_leases(self) -> RegistryReply:
        return self.reply

    async def put_record(self, name: str, text: str, if_version: int | None = None) -> RegistryReply:
        stored = self.records.get(name)
        if if_version is not None and if_version != (stored.version if stored else 0):
            return CONFLICT
        self.put_now(name, text)
        return OK

    def put_now(self, name: str, text: str) -> None:
        """Write a record as somebody else does."""
        self.last_version += 1
        self.records[name] = StoredRecord(name, text, self.last_version)

    async def save(self, task: Task[Any]) -> None:
        task.version += 1

    async def command_gateways(self, task: Task[Any], instance_id: str, command: GatewayCommand) -> list[str]:
        self.commands.append((instance_id, command))
        return self.missing_agents

    async def query_gateways(self, query: GatewayQuery) -> dict[str, str]:
        return {}

    def metrics_samples(self, task: Task[Any]) -> dict[str, MetricsSample]:
        return {}
