"""Policy documents on the agent's disk, and their check by the gateway's own program."""

import json
import sqlite3
from collections.abc import Callable
from pathlib import Path

import pytest

from orchidhatch.control.agent import policy_documents
from orchidhatch.control.agent.cache_database import CacheDatabase
from orchidhatch.control.agent.policy_documents import PolicyDocuments
from orchidhatch.control.http_client import CallResult, HttpResponse, NoResponse
from orchidhatch.control.policy.document import document_digest
from orchidhatch.control.policy.policy_records import CHANGE_TASK_RECORD, DOCUMENT_RECORD_PREFIX
from tests.control.agent.lease_fixture import leased_gateway
from tests.control.policy.helpers import DIGEST_A, DOCUMENT_A
from tests.control.registry.helpers import address_of, call

REJECT_BURST_OF_20 = (
    "import json, os, sys; sys.exit('no stor' if json.load(open(os.environ['PROXY_CONFIG']))["
    "'settings']['plans'][0]['burst'] == 20 else 0)"
)


async def test_document_rejected_by_the_gateway_is_reported(
    tmp_path: Path,
) -> None:
    """It is not ready, and the gateway goes on by the policy before."""
    async with leased_gateway(tmp_path, REJECT_BURST_OF_20) as fixture:
        await fixture.advance()
        await fixture.put_record(DOCUMENT_RECORD_PREFIX + DIGEST_A, DOCUMENT_A)
        change = {"digest": DIGEST_A, "state": "preparing", "done": False}
        await fixture.put_record(CHANGE_TASK_RECORD, json.dumps(change))
        await fixture.advance()
        await fixture.advance()
        [listed] = (await call(address_of(fixture.registry), "GET /doors"))[1]["doors"]
        assert listed["flaw"] == f"{DIGEST_A} no stor" and listed["ready"] == [] and listed["has"] == ""
        ended = {**change, "state": "nowhere", "done": True}
        await fixture.put_record(CHANGE_TASK_RECORD, json.dumps(ended))
        await fixture.advance()
        # It may be proposed again once the gateway accepts it.
        assert fixture.holder.documents.rejected is None
        restarted = fixture.new_holder()
        assert restarted.lease.incarnation == fixture.holder.lease.incarnation
        assert restarted.lease.decision.number == fixture.holder.lease.decision.number
        assert restarted.documents.texts == {DIGEST_A: DOCUMENT_A}
        assert restarted.lease.permitted_digest() is None


class FakeRegistry:
    """Answers with the record of a path, as a registry client does."""

    def __init__(self, *texts: str) -> None:
        self.texts_by_path = {
            f"/records/{DOCUMENT_RECORD_PREFIX}{document_digest(text)}": text for text in texts
        }

    async def call(self, method: str, path: str, body: object = None) -> CallResult:
        if path not in self.texts_by_path:
            return NoResponse("no registry answers")
        return HttpResponse(200, {"text": self.texts_by_path[path]})


@pytest.fixture
def database(tmp_path: Path) -> CacheDatabase:
    async def run_directly(work: Callable[[], None]) -> None:
        work()

    return CacheDatabase(sqlite3.connect(tmp_path / "a.db", isolation_level=None), run_directly)


async def accept(digest: str) -> None:
    """A check that finds nothing wrong."""


async def test_document_with_another_digest_is_not_kept(
    database: CacheDatabase,
) -> None:
    registry = FakeRegistry("one")
    digest = document_digest("one")
    documents = PolicyDocuments(database, registry, accept)
    [path] = registry.texts_by_path
    registry.texts_by_path[path] = "another"
    await documents.prepare({digest}, in_use=())
    assert not documents.texts and not documents.checked
    registry.texts_by_path[path] = "one"
    await documents.prepare({digest}, in_use=())
    assert documents.texts == {digest: "one"} and documents.checked == {digest}


async def test_excess_documents_are_dropped_unless_in_use(
    database: CacheDatabase, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The oldest of those that are not in use goes first."""
    monkeypatch.setattr(policy_documents, "MAX_DOCUMENTS", 2)
    texts = ("one", "two", "three")
    used, unused, new = map(document_digest, texts)
    documents = PolicyDocuments(database, FakeRegistry(*texts), accept)
    for digest in (used, unused, new):
        await documents.prepare({digest}, in_use={used})
    assert documents.texts.keys() == documents.checked == {used, new}
    restarted = PolicyDocuments(database, FakeRegistry(), accept)
    assert restarted.texts == {used: "one", new: "three"} and not restarted.checked
