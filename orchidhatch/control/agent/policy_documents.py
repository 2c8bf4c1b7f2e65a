"""The policy documents of an agent: fetched, saved to disk and checked with the gateway's program."""

import logging
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

from orchidhatch.control.agent.cache_database import CacheDatabase, Statement
from orchidhatch.control.policy.document import InvalidPolicyError, document_digest
from orchidhatch.control.policy.policy_records import DOCUMENT_RECORD_PREFIX
from orchidhatch.control.registry_client import RegistryClient

log = logging.getLogger("orchidhatch.policy_documents")

# The current, the previous and a proposed document, and some that may be needed again.
MAX_DOCUMENTS = 6
MAX_REJECTION_CHARACTERS = 300

CheckDocument = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RejectedDocument:
    """A document that the gateway's program rejects, and the reason."""

    digest: str
    reason: str

    def __str__(self) -> str:
        return f"{self.digest} {self.reason}"[:MAX_REJECTION_CHARACTERS]


class PolicyDocuments:
    """Documents by digest. A document is ready once it is on disk and checked.

    `check` raises InvalidPolicyError for the digest of a document that the gateway cannot apply.
    """

    def __init__(self, database: CacheDatabase, registry: RegistryClient, check: CheckDocument) -> None:
        self._database = database
        self._registry = registry
        self._check = check
        database.create_table(
            "policy_documents (digest TEXT PRIMARY KEY, text TEXT NOT NULL, at INTEGER NOT NULL)"
        )
        rows = database.read("SELECT digest, text FROM policy_documents ORDER BY at")
        self.texts: dict[str, str] = {
            digest: text for digest, text in rows if document_digest(text) == digest
        }
        self.checked: set[str] = set()
        self.rejected: RejectedDocument | None = None

    async def prepare(self, needed: Collection[str], in_use: Collection[str]) -> None:
        """Fetch, save and check the needed documents, and drop unused ones beyond MAX_DOCUMENTS.

        A rejection is forgotten once its document is not needed: the document may be proposed again when the
        gateway accepts it. Raises OSError or sqlite3.Error if a document cannot be checked or saved.
        """
        if self.rejected and self.rejected.digest not in needed:
            self.rejected = None
        for digest in sorted(needed):
            await self._make_ready(digest, in_use)

    async def _make_ready(self, digest: str, in_use: Collection[str]) -> None:
        is_rejected = self.rejected is not None and self.rejected.digest == digest
        if digest in self.checked or is_rejected:
            return
        if digest not in self.texts:
            text = await self._fetch(digest)
            if text is None:
                return
            await self._save(digest, text, in_use)
        try:
            await self._check(digest)
        except InvalidPolicyError as error:
            log.error("document rejected: digest=%s reason=%s", digest, error)
            self.rejected = RejectedDocument(digest, str(error))
        else:
            self.checked.add(digest)

    async def _fetch(self, digest: str) -> str | None:
        """Return the document's text from the registry, None if it fails or the text has another digest."""
        result = await self._registry.call("GET", f"/records/{DOCUMENT_RECORD_PREFIX}{digest}")
        if not result.ok:
            return None
        text = result.value["text"]
        return text if document_digest(text) == digest else None

    async def _save(self, digest: str, text: str, in_use: Collection[str]) -> None:
        self.texts[digest] = text
        excess = max(0, len(self.texts) - MAX_DOCUMENTS)
        unused = [known for known in self.texts if known not in in_use and known != digest]
        for dropped in unused[:excess]:
            del self.texts[dropped]
            self.checked.discard(dropped)
        rows = [(known, text, position) for position, (known, text) in enumerate(self.texts.items())]
        await self._database.write(
            Statement("DELETE FROM policy_documents"),
            Statement("INSERT INTO policy_documents VALUES (?, ?, ?)", rows),
        )
