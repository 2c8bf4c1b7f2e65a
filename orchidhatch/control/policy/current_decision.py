"""The decision that holds at a registry, and when it is activated."""

import math

from orchidhatch.control.ownership.objects import Record
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.policy.policy_records import (
    ACTIVATED_RECORD,
    DECISION_RECORD,
    Decision,
    decode_decision,
)


class CurrentDecision:
    """The decision record, decoded once for each of its versions, and its activation time.

    The activation time is kept by this process's clock, as clocks of two machines cannot be compared. After a
    restart it is unknown until an agent reports it or the record of activated decisions names the decision.
    """

    def __init__(self, host: LeaseHost) -> None:
        self._host = host
        self.restart()

    def restart(self) -> None:
        """Forget the activation time, as with a new process or term."""
        self._decoded: Decision | None = None
        self._decoded_version: int | None = None
        self._activated_number: int | None = None
        self._activation_s = math.inf

    def get(self) -> Decision | None:
        """The decision; None where there never was one."""
        record = self._record(DECISION_RECORD)
        if record is None:
            return None
        if self._decoded_version != record.version:
            self._decoded = decode_decision(record.text)
            self._decoded_version = record.version
        return self._decoded

    def is_certain(self) -> bool:
        """Whether no decision can be missing here: this one was made in the store's own term."""
        decision = self.get()
        return decision is not None and decision.term == self._host.store.term

    def remaining_s(self) -> float | None:
        """Until the activation time, negative after it; None where that is not known."""
        decision = self.get()
        if decision is None:
            return None
        if self._activated_number == decision.number:
            return self._activation_s - self._host.clock()
        return -math.inf if self.is_recorded_as_activated() else None

    def activate_in(self, delay_s: float) -> None:
        """The decision that holds now is activated after this delay."""
        self._activated_number = self.get().number
        self._activation_s = self._host.clock() + delay_s

    def is_recorded_as_activated(self) -> bool:
        """Whether the store says that the activation time has passed."""
        decision = self.get()
        record = self._record(ACTIVATED_RECORD)
        return decision is not None and record is not None and record.text == str(decision.number)

    def _record(self, name: str) -> Record | None:
        return self._host.store.claims_table.records.get(name)
