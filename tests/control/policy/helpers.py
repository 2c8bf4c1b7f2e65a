"""Two documents, a registry on a clock that the test moves, and gateways that renew as their agents would."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from orchidhatch.control.controller.service import Controller
from orchidhatch.control.controller.task_records import encode_task_record
from orchidhatch.control.ownership.writes import PutRecord
from orchidhatch.control.policy.change_record import Gate, new_change
from orchidhatch.control.policy.document import document_digest, parse_document
from orchidhatch.control.policy.policy_records import ACTIVATED_RECORD, CHANGE_TASK_RECORD, DECISION_RECORD
from orchidhatch.control.policy.timing import ABSENT_AFTER_S
from orchidhatch.control.registry.service import Registry
from tests.control.agent.helpers import until
from tests.control.registry.helpers import address_of, call, serving

PLAN = {"name": "stor", "units-per-s": 10.0, "burst": 20.0}
LOW_BURST = {"plans": [PLAN]}
HIGH_BURST = {"plans": [{**PLAN, "burst": 40.0}]}


def canonical_text(document: dict[str, Any]) -> str:
    return parse_document(json.dumps(document), "x.json").text()


DOCUMENT_A = canonical_text(LOW_BURST)
DOCUMENT_B = canonical_text(HIGH_BURST)
DIGEST_A = document_digest(DOCUMENT_A)
DIGEST_B = document_digest(DOCUMENT_B)


class FakeClock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@asynccontextmanager
async def registry_on_clock(path: Path, clock: FakeClock, **options: Any) -> AsyncIterator[Registry]:  # noqa: ANN401
    """A registry on that clock, whose policy leases are looked at by the test only."""
    async with serving(path, **options) as registry:
        registry.clock = clock
        registry.policy_leases.restart()
        yield registry


async def renew(registry: Registry, gateway: str, **changes: Any) -> tuple[int, Any]:  # noqa: ANN401
    """Renew a gateway's lease as its agent does, listing it first if need be; the status and the answer."""
    report = report_of(gateway) | changes
    content = json.dumps(report).encode()
    status, answer = await call(address_of(registry), f"POST /doors/{gateway}/renew", content)
    if status == 404:
        written = json.dumps({"name": gateway, "life": report["life"], "zone": gateway[0]}).encode()
        assert (await call(address_of(registry), "POST /doors", written))[0] == 200
        return await renew(registry, gateway, **changes)
    return status, answer


def report_of(gateway: str) -> dict[str, Any]:
    """What the agent of a gateway without any policy reports."""
    return {
        "life": f"{gateway}-1",
        "has": "",
        "number": 0,
        "digest": "",
        "ready": [],
        "flaw": "",
        "counts": [0, 0, 0],
        "serves": True,
    }


def decision_number(registry: Registry) -> int:
    """Of the decision that holds; 0 where there is none."""
    decision = registry.policy_leases.current_decision.get()
    return decision.number if decision else 0


async def decide(registry: Registry, digest: str, before: str, number: int, **more: Any) -> None:  # noqa: ANN401
    """Write a decision as the owner of a change does."""
    decision = {
        "number": number,
        "digest": digest,
        "before": before,
        "moveMs": 13_000,
        "term": registry.store.term,
        "change": "c",
        "who": "w",
        "why": "y",
        "absent": [],
    }
    registry.writes.enqueue_internal(PutRecord(DECISION_RECORD, json.dumps(decision | more)))
    await until(lambda: decision_number(registry) == number)


async def settle(registry: Registry, clock: FakeClock) -> None:
    """Past the time in which an unknown gateway may serve, and what is to be written written."""
    clock.now += ABSENT_AFTER_S
    registry.policy_leases.check()
    await until(registry.policy_leases.current_decision.is_certain)
    registry.policy_leases.check()
    await until(lambda: ACTIVATED_RECORD in registry.store.claims_table.records)


class Fleet:
    """Gateways that renew as their agents would, and one controller."""

    def __init__(self, registry: Registry, clock: FakeClock, *gateways: str) -> None:
        self.registry = registry
        self.clock = clock
        self.gateways = gateways
        self.controller = self.new_controller("controller-1")
        self.reports: dict[str, dict[str, Any]] = {gateway: {} for gateway in gateways}

    def new_controller(self, name: str) -> Controller:
        return Controller(name, [address_of(self.registry)], lease_ms=600_000, clock=self.clock)

    async def start(self) -> None:
        await settle(self.registry, self.clock)
        await self.renew_all()
        await self.start_controller()

    async def start_controller(self) -> None:
        await self.controller.session.open()
        await self.controller.balancer.rebalance()

    async def renew_all(self) -> None:
        for gateway in self.gateways:
            await renew(self.registry, gateway, **self.reports[gateway])

    def report(self, **changes: Any) -> None:  # noqa: ANN401
        """What all gateways report from now on."""
        for gateway in self.gateways:
            self.reports[gateway] |= changes

    async def put_record(self, name: str, text: str) -> None:
        self.registry.writes.enqueue_internal(PutRecord(name, text))
        await until(lambda: getattr(self.registry.store.claims_table.records.get(name), "text", "") == text)

    async def request_change(self, digest: str, gate: Gate | None = None) -> None:
        change = new_change(digest, "me", "why", gate)
        await self.put_record(CHANGE_TASK_RECORD, encode_task_record(change))

    def change(self) -> dict[str, Any]:
        return json.loads(self.registry.store.claims_table.records[CHANGE_TASK_RECORD].text)

    async def work(self, until_state: str = "") -> dict[str, Any]:
        """Steps until the change is in that state, or has ended."""
        for _ in range(40):
            await self.renew_all()
            await self.controller.runner.run_once()
            if self.change()["state"] == until_state or self.change()["done"]:
                break
        return self.change()
