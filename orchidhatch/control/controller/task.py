"""The base of the fleet controller's tasks: a stored record, and steps that each make at most one change.

One step stores the state that stands for an action, and the next step carries out the action. All actions are
idempotent and are repeated until their result is stored, so any controller can resume an interrupted task.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, ClassVar, Generic, Protocol, TypeVar

from msgspec import Struct

from orchidhatch.control.controller.registry_api import RegistryReply, StoredRecord
from orchidhatch.control.controller.summary import MetricsSample

RecordT = TypeVar("RecordT", bound=Struct)


class GatewayCommand(StrEnum):
    """Commands to a gateway about one backend; the values are parts of the path."""

    WITHDRAW = "maint"
    RESTORE = "ready"


class GatewayQuery(StrEnum):
    """Queries to a gateway; the values are parts of the path."""

    METRICS = "stats"


class TaskContext(Protocol):
    """The actions that a task may carry out, under the claim on its shard.

    Methods raise StepPostponedError if no reply is received or the claim may have been lost. Methods that
    change something raise FencedError if another controller holds the claim.
    """

    async def read(self, path: str) -> RegistryReply:
        """Read from the registry and return its reply."""

    async def read_record(self, name: str) -> StoredRecord | None:
        """Return a record of the registry; None if there is none of that name."""

    async def set_lifecycle(self, instance_id: str, lifecycle: str) -> RegistryReply:
        """Change an endpoint's lifecycle in the endpoint list."""

    async def remove_endpoint(self, instance_id: str) -> RegistryReply:
        """Remove an endpoint from the endpoint list."""

    async def create_backup(self) -> RegistryReply:
        """Have the registry back up its store."""

    async def expire_leases(self) -> RegistryReply:
        """Have the registry remove the endpoints whose leases have expired."""

    async def put_record(self, name: str, text: str, if_version: int | None = None) -> RegistryReply:
        """Write a record, or remove it if the text is empty.

        The write is rejected if `if_version` is given and the record is at another version.
        """

    async def save(self, task: "Task[Any]") -> None:
        """Store a task's record; raises StaleRecordError if it was written since it was read."""

    async def command_gateways(
        self, task: "Task[Any]", instance_id: str, command: GatewayCommand
    ) -> Sequence[str]:
        """Send a command about a backend to each gateway.

        Returns the agents whose gateways did not carry it out.
        """

    async def query_gateways(self, query: GatewayQuery) -> dict[str, str]:
        """Return each gateway's reply by its agent's address; empty for a gateway that does not reply."""

    def claim_term(self) -> int:
        """Return the registry's term in which the claim was taken."""

    def metrics_samples(self, task: "Task[Any]") -> dict[str, MetricsSample]:
        """Return the last samples that this process took for a task, by gateway.

        The caller updates the returned dict in place.
        """


class Task(Generic[RecordT]):
    """A task and its stored record. Each kind of task is a subclass."""

    record_type: ClassVar[type[Struct]]

    def __init__(self, name: str, version: int, record: RecordT) -> None:
        self.name = name
        self.version = version
        self.record = record

    async def step(self, context: TaskContext) -> None:
        """Carry out the next action if one is due, and store the progress of the task.

        Raises TaskFailedError if the registry rejects the action, and the errors of the context.
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
