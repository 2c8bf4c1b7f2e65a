"""Decides again, in a registry's own term, what was decided before it.

After a promotion or a rebuild a registry cannot know whether it misses a decision. It certifies none until
every gateway that may still serve has reported the highest decision it knows; that one is then decided again.
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

# Stored with the decision, and shown with it by earlier versions.
REQUESTED_BY_REGISTRY = "list service"
ABSENT_VERSION = 0


class KnownDecision(NamedTuple):
    """A decision's number, by which decisions are ordered, and its document's digest."""

    number: int
    digest: str


class TermDecision:
    """Writes the decision of a new term. `_is_writing`: one is on its way to the store."""

    def __init__(self, host: LeaseHost, current: CurrentDecision, directory: GatewayDirectory) -> None:
        self._host = host
        self._current = current
        self._directory = directory
        self.is_writing = False

    def restart(self) -> None:
        """Nothing is on its way to the store, as with a new process or term."""
        self.is_writing = False

    def write_ended(self) -> None:
        """A write of ours may have succeeded or failed; nothing is lost by trying it again."""
        self.is_writing = False

    def highest_known(self) -> KnownDecision:
        """The highest decision that is known here or to any gateway."""
        decision = self._current.get()
        known = [KnownDecision(report.number, report.digest) for report in self._directory.reports()]
        stored = KnownDecision(decision.number, decision.digest) if decision else KnownDecision(0, "")
        return max([stored, *known])

    def requested_document(self, gateway: str) -> str:
        """The digest of a document that must be stored before it can be decided, if this gateway has it."""
        digest = self.highest_known().digest
        report = self._directory.report_of(gateway)
        is_missing = bool(digest) and not self._has_document(digest)
        return digest if is_missing and digest in report.ready else ""

    def advance(self) -> None:
        """Store a reported document that is missing, or write the decision, as soon as that is possible."""
        if self._store_reported_document():
            return
        digest = self.highest_known().digest
        lacks_document = bool(digest) and not self._has_document(digest)
        if self.is_writing or lacks_document or not self._directory.all_reported():
            return
        write = PutRecord(DECISION_RECORD, encode_decision(self._next_decision()))
        self.is_writing = self._host.enqueue_internal(write)

    def _store_reported_document(self) -> bool:
        """Whether a gateway has sent the missing document, which is being stored now."""
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
        """What the gateways may go by until they go by this document.

        If some do already, its activation time has passed, and no gateway goes by another one any more,
        whether or not the decision had reached it. If all go by one other document, one of them may do so a
        while longer without reaching this registry, and so they all may.
        """
        reports = map(self._directory.report_of, self._directory.names())
        active = {report.active_digest for report in reports if report is not None}
        return active.pop() if len(active) == 1 else digest

    def _has_document(self, digest: str) -> bool:
        return document_record(digest) in self._host.store.claims_table.records
