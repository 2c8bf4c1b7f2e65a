"""Repeats the last decision of an earlier term in the registry's current term.

After a promotion or a rebuild a registry cannot know whether it lacks a decision. It confirms none until
every gateway that may still serve has reported the highest decision that it knows, and then repeats that one.
"""

import logging
from typing import NamedTuple

from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.ownership.writes import PutRecord
from orchidhatch.control.policy.current_decision import CurrentDecision
from orchidhatch.control.policy.document import document_digest
from orchidhatch.control.policy.gateway_directory import GatewayDirectory
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.policy.policy_records import (
    DECISION_RECORD,
    Decision,
    document_record,
    encode_decision,
)
from orchidhatch.control.policy.timing import ACTIVATION_DELAY_S

log = logging.getLogger("orchidhatch.policy")

# Stored with the decision and shown with it, also by earlier versions.
REQUESTED_BY_REGISTRY = "list service"
ABSENT_VERSION = 0  # the version of a record that does not exist


class KnownDecision(NamedTuple):
    """A decision by its number, which orders decisions, and its document's digest."""

    number: int
    digest: str


class TermDecision:
    """Writes the decision of a new term; `is_writing` says whether such a write is in progress."""

    def __init__(self, host: LeaseHost, current: CurrentDecision, directory: GatewayDirectory) -> None:
        self._host = host
        self._current = current
        self._directory = directory
        self.is_writing = False

    def restart(self) -> None:
        """Reset the state, as is needed for a new process or term: no write is in progress."""
        self.is_writing = False

    def write_ended(self) -> None:
        """Mark the write as ended, whether it succeeded or failed; repeating it is harmless."""
        self.is_writing = False

    def highest_known(self) -> KnownDecision:
        """Return the highest decision that is known here or to any gateway."""
        decision = self._current.get()
        known = [KnownDecision(report.number, report.digest) for report in self._directory.reports()]
        stored = KnownDecision(decision.number, decision.digest) if decision else KnownDecision(0, "")
        return max([stored, *known])

    def requested_document(self, gateway: str) -> str:
        """Return the digest of the highest decision's document if it is missing here and this gateway has it.

        Empty otherwise. The decision can only be repeated once its document is stored.
        """
        digest = self.highest_known().digest
        report = self._directory.report_of(gateway)
        is_missing = bool(digest) and not self._has_document(digest)
        return digest if is_missing and digest in report.ready else ""

    def advance(self) -> None:
        """Store the missing document once a gateway sends it, or write the decision once that is possible."""
        if self._store_reported_document():
            return
        digest = self.highest_known().digest
        lacks_document = bool(digest) and not self._has_document(digest)
        if self.is_writing or lacks_document or not self._directory.all_reported():
            return
        write = PutRecord(DECISION_RECORD, encode_decision(self._next_decision()))
        self.is_writing = self._host.enqueue_internal(write)

    def _store_reported_document(self) -> bool:
        """Store the missing document if a gateway has sent it, and return whether one has."""
        digest = self.highest_known().digest
        for report in self._directory.reports():
            text = report.document_text
            if text and document_digest(text) == digest and not self._has_document(digest):
                write = PutRecord(document_record(digest), text, if_version=ABSENT_VERSION)
                self._host.enqueue_internal(write)
                return True
        return False

    def _next_decision(self) -> Decision:
        known = self.highest_known()
        term = self._host.store.term
        previous_digest = self._previous_digest(known.digest)
        activation_delay_s = ACTIVATION_DELAY_S if previous_digest != known.digest else 0.0
        log.warning(
            "policy decided again: term=%d digest=%s after=%d", term, known.digest or "-", known.number
        )
        return Decision(
            number=max(known.number + 1, term << EPOCH_COUNT_BITS | 1),
            digest=known.digest,
            previous_digest=previous_digest,
            term=term,
            activation_delay_ms=round(activation_delay_s * 1000),
            change_id="",
            requested_by=REQUESTED_BY_REGISTRY,
            reason=f"a new term, after number {known.number}",
            absent=[],
        )

    def _previous_digest(self, digest: str) -> str:
        """Return the digest of the document that gateways may apply until they apply the one given.

        If some gateways already apply the given document, its activation time has passed and none may apply
        another, whether or not the decision reached it. If all apply one other document, a gateway that
        cannot reach this registry may apply it for a while longer, and so all of them may.
        """
        reports = map(self._directory.report_of, self._directory.names())
        active = {report.active_digest for report in reports if report is not None}
        return active.pop() if len(active) == 1 else digest

    def _has_document(self, digest: str) -> bool:
        return document_record(digest) in self._host.store.claims_table.records
