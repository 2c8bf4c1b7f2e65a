"""Policy documents on the agent's disk, and their check by the gateway's own program."""

import json
from pathlib import Path

from orchidhatch.control.policy.records import CHANGE_TASK_RECORD, DOCUMENT_RECORD_PREFIX
from tests.control.agent.lease_fixture import leased_gateway
from tests.control.policy.helpers import DIGEST_A, DOCUMENT_A
from tests.control.registry.test_service import address_of, call

REJECT_BURST_OF_20 = (
    "import json, os, sys; sys.exit('no stor' if json.load(open(os.environ['PROXY_CONFIG']))["
    "'settings']['plans'][0]['burst'] == 20 else 0)"
)


async def test_document_when_the_gateways_program_rejects_it_then_is_reported_and_not_ready(
    tmp_path: Path,
) -> None:
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
