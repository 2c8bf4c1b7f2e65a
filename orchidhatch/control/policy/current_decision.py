"""The current decision of a registry and its activation time."""

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
    """The decision record, decoded once per version, and the activation time of the decision.

    The activation time refers to this process's clock, as the clocks of two machines cannot be compared.
    After a restart it is unknown until an agent reports it, unless the record ACTIVATED_RECORD names the
    decision.
    """

    def __init__(self, host: LeaseHost) -> None:
        self._host = host
        self.restart()

    def restart(self) -> None:
        """Discard the activation time, as is needed for a new process or term."""
        self._decoded: Decision | None = None
        self._decoded_version: int | None = None
        self._activated_number: int | None = None
        self._activation_s = math.inf

    def get(self) -> Decision | None:
        """Return the current decision; None if there never was one."""
        record = self._record(DECISION_RECORD)
        if record is None:
            return None
        if self._decoded_version != record.version:
            self._decoded = decode_decision(record.text)
            self._decoded_version = record.version
        return self._decoded

    def is_certain(self) -> bool:
        """Return whether the decision is of the store's term, so that no later one can be missing here."""
        decision = self.get()
        return decision is not None and decision.term == self._host.store.term

    def remaining_s(self) -> float | None:
        """Return the seconds until the activation time, negative after it; None if it is unknown."""
        decision = self.get()
        if decision is None:
            return None
        if self._activated_number == decision.number:
            return self._activation_s - self._host.clock()
        return -math.inf if self.is_recorded_as_activated() else None

    def activate_in(self, delay_s: float) -> None:
        """Set the activation time of the current decision to the end of this delay."""
        self._activated_number = self.get().number
        self._activation_s = self._host.clock() + delay_s

    def is_recorded_as_activated(self) -> bool:
        """Return whether the store records that the decision's activation time has passed."""
        decision = self.get()
        record = self._record(ACTIVATED_RECORD)
        return decision is not None and record is not None and record.text == str(decision.number)

    def _record(self, name: str) -> Record | None:
        return self._host.store.claims_table.records.get(name)
