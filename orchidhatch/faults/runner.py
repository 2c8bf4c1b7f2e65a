"""Runs a scenario: each fault at its time, its end after it, and the operators' actions between."""

import asyncio
from collections.abc import Awaitable, Callable

from orchidhatch.faults.fleet import Fleet
from orchidhatch.faults.link_faults import LinkFaults
from orchidhatch.faults.observations import Observations
from orchidhatch.faults.operator_actions import OperatorActions
from orchidhatch.faults.plan import LINK_KINDS, SHIM_KINDS, Fault, matching
from orchidhatch.faults.process_faults import ProcessFaults
from orchidhatch.faults.processes import Process
from orchidhatch.faults.registry_writer import RegistryWriter

SETTLE_S = 2.0
"""After the last fault is undone, before the lists are read."""
CLIENT_PROCESSES = ("clients", "odd-clients")

Action = Callable[[Fault, Process], Awaitable[None]]


class ScenarioRunner:
    """Carries the scenario of a trial out on its fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.writer = RegistryWriter(fleet)
        self.process_faults = ProcessFaults(fleet, self.writer)
        self.link_faults = LinkFaults(fleet)
        self.operator = OperatorActions(fleet, self.writer)
        self.observations = Observations(fleet)

    async def run(self) -> None:
        """Run until the load is over and all faults are undone; record how everything is in the end."""
        plan = self.fleet.plan
        jobs = [self._inject(fault) for fault in self.fleet.script.faults]
        if plan.writes.per_s:
            jobs.append(self.writer.write_in_background())
        claims_watch = None
        if plan.stewards:
            claims_watch = asyncio.ensure_future(self.observations.watch_claims())
        await asyncio.gather(*jobs)
        await asyncio.sleep(max(0.0, plan.seconds - self.fleet.elapsed_s()))
        for process in self.fleet.processes.all.values():
            process.bound_files(None)
        for name in CLIENT_PROCESSES:
            if name in self.fleet.processes.all:
                await self.fleet.processes[name].ended.wait()
        await asyncio.sleep(SETTLE_S)
        await self._observe_end()
        if claims_watch:
            claims_watch.cancel()

    async def _observe_end(self) -> None:
        await self.observations.wait_for_tasks(self.operator.requested)
        if self.fleet.plan.policy:
            await self.observations.read_gateways()
        await self.observations.read_lists()

    async def _inject(self, fault: Fault) -> None:
        """Carry out a fault or action at its time, on all links or processes that it names."""
        await asyncio.sleep(max(0.0, fault.at - self.fleet.elapsed_s()))
        if fault.kind in LINK_KINDS:
            await self.link_faults.inject(fault)
            return
        action = self._actions()[fault.kind]
        names = matching(fault.who, list(self.fleet.processes.all))
        await asyncio.gather(*[self._act(fault, name, action) for name in names])

    def _actions(self) -> dict[str, Action]:
        """What carries out each kind of fault of a process, and each kind of operator's action."""
        faults = self.process_faults
        return {
            "kill": faults.end,
            "term": faults.end,
            "shutdown": faults.shut_down,
            "stop": faults.stop,
            "full": faults.fill_disk,
            "old": faults.restore_old_store,
            "clock": faults.step_clock,
            "replace": faults.replace_backend,
            "reload": faults.reload,
            "spoil": faults.malform_replies,
            **dict.fromkeys(SHIM_KINDS, faults.fail_system_calls),
            "promote": self.operator.promote,
            "drain": self.operator.drain,
            "policy": self.operator.propose_policy,
            "undo": self.operator.undo_policy,
        }

    async def _act(self, fault: Fault, name: str, action: Action) -> None:
        self.fleet.note_fault(fault, name)
        await action(fault, self.fleet.processes[name])
        self.fleet.note_fault_end(fault, name)
