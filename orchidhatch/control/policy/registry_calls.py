"""Typed blocking calls to the registry about policies, for the command line."""

import time
from collections.abc import Iterator, Mapping
from typing import Any

from orchidhatch.control.controller.task_records import encode_task_record
from orchidhatch.control.operator_client import CallError, call
from orchidhatch.control.policy.change_record import ChangeRecord, find_change
from orchidhatch.control.policy.document import Policy, parse_document
from orchidhatch.control.policy.fleet_status import FleetStatus, decode_fleet_status
from orchidhatch.control.policy.policy_records import (
    CHANGE_TASK_RECORD,
    HISTORY_RECORD_PREFIX,
    Decision,
    decode_decision,
    document_record,
)

POLL_INTERVAL_S = 0.5
WAIT_LIMIT_S = 300.0


class PolicyRegistry:
    """One registry, given as host:port.

    All methods raise CallError if the registry rejects the call or does not answer.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def fleet_status(self) -> FleetStatus:
        """Return all gateways and the current decision."""
        return decode_fleet_status(call(self.address, "GET", "/doors"))

    def policy_in_force(self) -> Policy | None:
        """Return the policy of the current decision; None if the gateways use their own settings files."""
        decision = self.fleet_status().decision
        if decision is None or not decision.digest:
            return None
        stored = call(self.address, "GET", f"/records/{document_record(decision.digest)}")
        return parse_document(stored["text"], decision.digest)

    def put_document(self, policy: Policy) -> None:
        """Store a document under its digest."""
        self._put_record(document_record(policy.digest()), {"text": policy.text()})

    def last_change(self) -> tuple[ChangeRecord | None, int]:
        """Return the last requested change and its record's version; None and 0 if there is none."""
        return find_change(self._records())

    def put_change(self, change: ChangeRecord, if_version: int) -> None:
        """Store a change; rejected unless the stored one is at that version."""
        self._put_record(CHANGE_TASK_RECORD, {"text": encode_task_record(change), "ifVersion": if_version})

    def wait_for_end(self, change_id: str) -> ChangeRecord | None:
        """Wait for a change to end and return it; None if it has not ended within WAIT_LIMIT_S."""
        deadline_s = time.monotonic() + WAIT_LIMIT_S
        while time.monotonic() < deadline_s:
            change, _ = self.last_change()
            if change is None or (change.change_id != change_id and not change.undo_reason):
                raise CallError("another change was requested in the meantime")
            if change.done:
                return change
            time.sleep(POLL_INTERVAL_S)
        return None

    def history(self) -> Iterator[Decision]:
        """Yield the decisions that are still recorded, in the registry's order."""
        for record in self._records():
            if record["name"].startswith(HISTORY_RECORD_PREFIX):
                yield decode_decision(record["text"])

    def remove_gateway(self, name: str) -> None:
        """Remove a gateway from the directory; rejected while the gateway may still serve."""
        call(self.address, "DELETE", f"/doors/{name}")

    def _records(self) -> list[Mapping[str, Any]]:
        return call(self.address, "GET", "/records")["records"]

    def _put_record(self, name: str, body: dict[str, Any]) -> None:
        call(self.address, "POST", f"/records/{name}", body)
