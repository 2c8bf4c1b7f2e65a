"""What a task of the fleet controller is: a stored record, and steps that each make at most one change.

A step stores the state that calls for an action before the next step carries the action out. All actions are
idempotent and are repeated until their result is stored, so that any controller may go on where one stopped.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, ClassVar, Generic, Protocol, TypeVar

from msgspec import Struct

from orchidhatch.control.controller.registry_api import RegistryReply, StoredRecord
from orchidhatch.control.controller.summary import MetricsSample

RecordT = TypeVar("RecordT", bound=Struct)


class GatewayCommand(StrEnum):
    """What a gateway can be commanded to do with one backend."""

    WITHDRAW = "maint"
    RESTORE = "ready"


class GatewayQuery(StrEnum):
    """What a gateway can be asked."""

    METRICS = "stats"


class TaskContext(Protocol):
    """What a task may do, on behalf of the claim on its shard.

    Each method raises StepPostponedError where nobody answers or the claim may have been lost, and each that
    changes something raises FencedError where the claim belongs to another controller.
    """

    async def read(self, path: str) -> RegistryReply:
        """The registry's reply to a read."""

    async def read_record(self, name: str) -> StoredRecord | None:
        """A record of the registry; None where it has none of that name."""

    async def set_lifecycle(self, instance_id: str, lifecycle: str) -> RegistryReply:
        """Change an endpoint's lifecycle in the endpoint list."""

    async def remove_endpoint(self, instance_id: str) -> RegistryReply:
        """Remove an endpoint from the endpoint list."""

    async def create_backup(self) -> RegistryReply:
        """Have the registry back up its store."""

    async def expire_leases(self) -> RegistryReply:
        """Have the registry remove the endpoints whose leases are overdue."""

    async def put_record(self, name: str, text: str, if_version: int | None = None) -> RegistryReply:
        """Write a record, or remove it by an empty text; only at `if_version` where that is given."""

    async def save(self, task: "Task[Any]") -> None:
        """Store a task's record; raises StaleRecordError where it was written since it was read."""

    async def command_gateways(
        self, task: "Task[Any]", instance_id: str, command: GatewayCommand
    ) -> Sequence[str]:
        """Send a command about a backend to each gateway; the agents whose gateways did not carry it out."""

    async def query_gateways(self, query: GatewayQuery) -> dict[str, str]:
        """Each gateway's answer by its agent's address; empty where it gives none."""

    def claim_term(self) -> int:
        """The registry's term that the claim was taken in."""

    def metrics_samples(self, task: "Task[Any]") -> dict[str, MetricsSample]:
        """The last sample of each gateway that this process took for a task; the caller changes it."""


class Task(Generic[RecordT]):
    """A task as its record has it. Each kind of task is a subclass."""

    record_type: ClassVar[type[Struct]]

    def __init__(self, name: str, version: int, record: RecordT) -> None:
        self.name = name
        self.version = version
        self.record = record

    async def step(self, context: TaskContext) -> None:
        """Carry out the next action, if one is due, and store how far the task is.

        Raises TaskFailedError where the registry rejects the action, and what the context raises.
        """
        raise NotImplementedError

    async def move_to(
        self, context: TaskContext, state: StrEnum, *, done: bool = False, message: str = ""
    ) -> None:
        """Store the task's new state."""
        self.record.state = state
        self.record.done = done
        self.record.message = message
        await context.save(self)
