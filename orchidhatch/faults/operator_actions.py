"""What operators do during a trial: promotions, drains, policy changes."""

import asyncio
import itertools
import json

from orchidhatch.control.controller import task_records
from orchidhatch.control.http_client import call
from orchidhatch.control.policy import change_record, policy_records
from orchidhatch.control.policy import document as policy_document
from orchidhatch.faults.call_results import body_of, status_of
from orchidhatch.faults.fleet import Fleet
from orchidhatch.faults.plan import Customers, Fault
from orchidhatch.faults.processes import Process
from orchidhatch.faults.registry_writer import RegistryWriter

RETRY_INTERVAL_S = 0.25
"""Between two tries of an operator's action."""
PROMOTE_TIMEOUT_S = 30.0
TASKS_TIMEOUT_S = 30.0
"""For the controllers to finish what they were asked for, once all faults are undone."""


class OperatorActions:
    """Carries out operators' actions; `requested` are the names of the tasks asked of controllers."""

    def __init__(self, fleet: Fleet, writer: RegistryWriter) -> None:
        self.fleet = fleet
        self.recorder = fleet.recorder
        self.writer = writer
        self.requested: set[str] = set()

    async def promote(self, fault: Fault, process: Process) -> None:
        """Promote a replica, tried again until it is done; never forced."""
        name = process.name
        until_s = self.fleet.elapsed_s() + (fault.lasts or PROMOTE_TIMEOUT_S)
        while self.fleet.elapsed_s() < until_s:
            result = await call(self.fleet.at[name], "POST", "/promote", {})
            self.recorder.note("promote", name, status=status_of(result), told=body_of(result))
            if result.ok:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def drain(self, fault: Fault, process: Process) -> None:
        """Drain a backend for a while, by hand or by a controller's task; it may have left meanwhile."""
        backend = self.fleet.backends.ids[process.name]
        if fault.size:
            await self._request_drain(backend, fault.size)
            return
        await self.writer.set_lifecycle(backend, "DRAINING")
        await asyncio.sleep(fault.lasts)
        await self.writer.set_lifecycle(backend, "SERVING")

    async def _request_drain(self, backend: str, after_s: float) -> None:
        """Ask the controllers for a drain, unless one is under way; again until a registry takes it."""
        name = f"{task_records.TASK_RECORD_PREFIX}drain-{backend}"
        task = task_records.new_drain(backend, round(after_s * 1000), task_records.DrainEnd.RESTORE)
        text = task_records.encode_task_record(task)
        for number in itertools.cycle(range(self.fleet.plan.registries)):
            result = await call(self.fleet.at[f"registry-{number}"], "GET", f"/records/{name}")
            if result.ok and not json.loads(result.value["text"])["done"]:
                return
            if result.status in (200, 404):
                version = result.value["version"] if result.ok else 0
                record = {"text": text, "ifVersion": version}
                if await self.writer.write(name, "POST", f"/records/{name}", record):
                    self.requested.add(name)
                    return
            await asyncio.sleep(RETRY_INTERVAL_S)

    # --- policies ---

    async def propose_policy(self, fault: Fault, process: Process) -> None:
        """Propose other quotas for customers whose open caps and ceilings no check relies on."""
        plans = tuple(scaled_plan(customers, fault.size) for customers in self.fleet.plan.load.customers)
        policy = policy_document.Policy(plans=plans)
        await self._request_policy(policy.digest(), policy.text())

    async def undo_policy(self, fault: Fault, process: Process) -> None:
        """Propose the policy that was in force before."""
        for number in range(self.fleet.plan.registries):
            result = await call(self.fleet.at[f"registry-{number}"], "GET", "/doors")
            if result.ok and result.value["sure"] and result.value["now"]["before"]:
                await self._request_policy(result.value["now"]["before"], "")

    async def _request_policy(self, digest: str, text: str) -> None:
        """Ask the controllers for a change of policy, within a bound; not while another is under way."""
        until_s = self.fleet.elapsed_s() + TASKS_TIMEOUT_S
        for number in itertools.cycle(range(self.fleet.plan.registries)):
            if self.fleet.elapsed_s() > until_s:
                return
            result = await call(self.fleet.at[f"registry-{number}"], "GET", "/records")
            if result.ok:
                change, version = change_record.find_change(result.value["records"])
                if change and not change.done:
                    self.recorder.note("refused", digest, why=f"{change.digest} is {change.state}")
                    return
                if text and not await self._write_document(digest, text):
                    continue
                if await self._write_change(digest, version):
                    return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _write_document(self, digest: str, text: str) -> bool:
        path = f"/records/{policy_records.DOCUMENT_RECORD_PREFIX}{digest}"
        return await self.writer.write(digest, "POST", path, {"text": text})

    async def _write_change(self, digest: str, version: int) -> bool:
        task = change_record.new_change(digest, "trial", "a trial")
        record = {"text": task_records.encode_task_record(task), "ifVersion": version}
        path = f"/records/{policy_records.CHANGE_TASK_RECORD}"
        if not await self.writer.write(digest, "POST", path, record):
            return False
        self.recorder.note("asked", digest, id=task.change_id)
        self.requested.add(policy_records.CHANGE_TASK_RECORD)
        return True


def scaled_plan(customers: Customers, factor: float) -> policy_document.Plan:
    """The customers' plan with other quotas, unless they have an open cap or a ceiling."""
    is_limited = bool(customers.max_out or customers.ceiling_rate)
    quota_factor = 1 if is_limited else factor
    return policy_document.Plan(
        name=customers.plan,
        units_per_s=customers.rate * quota_factor,
        burst=customers.burst * quota_factor,
        max_out=customers.max_out,
        never_over_rate=customers.ceiling_rate,
        hard_burst=customers.ceiling_burst,
    )
