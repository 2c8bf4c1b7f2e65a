"""The fencing tokens that a receiver of fenced calls has seen, on disk and in memory.

Before a call under a claim is executed, the claim's highest epoch and the number of the last call on each
subject are durable. The call numbers reject a delayed call of the same owner that arrives after a later one.
"""

from collections.abc import Mapping

from orchidhatch.control.agent.cache_database import CacheDatabase, Statement
from orchidhatch.control.error_signs import CLAIM_SIGN
from orchidhatch.control.ownership.objects import Fence

MAX_CLAIMS_AND_SUBJECTS = 20_000


class StaleCallError(Exception):
    """A fenced call that arrived after a later one, or whose sender has lost the claim."""


class FenceTable:
    """The highest epoch of each claim and the highest call number of each subject; neither decreases.

    `initialized` is False until the epochs were fetched from a registry once: a new table, or one whose file
    was lost, would accept any epoch.
    """

    def __init__(self, database: CacheDatabase) -> None:
        self._database = database
        database.create_table("epochs (claim TEXT PRIMARY KEY, epoch INTEGER NOT NULL)")
        database.create_table("acts (subject TEXT PRIMARY KEY, number INTEGER NOT NULL)")
        database.create_table("epochs_known (only INTEGER PRIMARY KEY CHECK (only = 1))")
        self.epochs: dict[str, int] = dict(database.read("SELECT claim, epoch FROM epochs"))
        self.call_numbers: dict[str, int] = dict(database.read("SELECT subject, number FROM acts"))
        self.initialized = bool(database.read("SELECT only FROM epochs_known"))

    def is_full(self) -> bool:
        """Return whether the limit of recorded claims and subjects is reached."""
        return len(self.epochs) + len(self.call_numbers) >= MAX_CLAIMS_AND_SUBJECTS

    def check(self, fence: Fence, subject: str, call_number: int) -> None:
        """Raise StaleCallError if a higher epoch or a later call on the subject was recorded."""
        highest_epoch = self.epochs.get(fence.claim, 0)
        if fence.epoch < highest_epoch:
            raise StaleCallError(
                f"{CLAIM_SIGN}{fence.claim} is at epoch {highest_epoch} here, not {fence.epoch}"
            )
        last_number = self.call_numbers.get(subject, 0)
        if call_number < last_number:
            raise StaleCallError(f"act {call_number} on {subject} comes after {last_number}")

    async def record(self, fence: Fence, subject: str, call_number: int) -> None:
        """Make a call's epoch and number durable if they are higher. Raises sqlite3.Error if that fails."""
        await self._raise_to({fence.claim: fence.epoch}, {subject: call_number})

    async def initialize(self, epochs: Mapping[str, int]) -> None:
        """Record the current epochs of a registry. Raises sqlite3.Error if they cannot be saved."""
        await self._raise_to(epochs, {}, initialized=True)

    async def _raise_to(
        self, epochs: Mapping[str, int], call_numbers: Mapping[str, int], initialized: bool = False
    ) -> None:
        higher_epochs = higher_values(epochs, self.epochs)
        higher_numbers = higher_values(call_numbers, self.call_numbers)
        if not (higher_epochs or higher_numbers or initialized):
            return
        statements = [
            Statement("INSERT OR REPLACE INTO epochs VALUES (?, ?)", list(higher_epochs.items())),
            Statement("INSERT OR REPLACE INTO acts VALUES (?, ?)", list(higher_numbers.items())),
        ]
        if initialized:
            statements.append(Statement("INSERT OR IGNORE INTO epochs_known VALUES (1)"))
        await self._database.write(*statements)
        self.epochs.update(higher_epochs)
        self.call_numbers.update(higher_numbers)
        self.initialized = self.initialized or initialized


def higher_values(values: Mapping[str, int], known: Mapping[str, int]) -> dict[str, int]:
    """Return the values that exceed the known value of the same name; an unknown name counts as 0."""
    return {name: value for name, value in values.items() if value > known.get(name, 0)}
