"""What a trial reads of its registries and agents, during the scenario and at its end, and records."""

import asyncio
import json
import time
from typing import Any

from orchidhatch.control.http_client import CallResult, call
from orchidhatch.faults.call_results import body_of, status_of, store_of
from orchidhatch.faults.fleet import Fleet
from orchidhatch.faults.operator_actions import RETRY_INTERVAL_S, TASKS_TIMEOUT_S

CLAIMS_INTERVAL_S = 0.1
"""Between two readings of the claims, and the longest that one may take."""


class Observations:
    """Reads the state of the control plane into the trial's events."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.recorder = fleet.recorder

    async def watch_claims(self) -> None:
        """Record each change of a claim's holder, by the registry of the highest term, until cancelled."""
        known: dict[str, object] = {}
        while True:
            await asyncio.sleep(CLAIMS_INTERVAL_S)
            for claim in await self._read_claims():
                if known.get(claim["name"]) != claim:
                    known[claim["name"]] = claim
                    details = {key: claim[key] for key in ("holder", "life", "epoch", "held")}
                    self.recorder.note("claim", claim["name"], **details)

    async def _read_claims(self) -> list[dict[str, Any]]:
        """The claims by the registry of the highest term, and of those by the one with the most claims."""
        calls = [
            call(self.fleet.at[f"registry-{number}"], "GET", "/claims", timeout_s=CLAIMS_INTERVAL_S)
            for number in range(self.fleet.plan.registries)
        ]
        results = [result for result in await asyncio.gather(*calls) if result.ok]

        def rank(result: CallResult) -> tuple[int, int]:
            return int(result.store_name.rpartition(" ")[2]), len(result.value["claims"])

        return max(results, key=rank).value["claims"] if results else []

    async def wait_for_tasks(self, requested: set[str]) -> None:
        """Wait, within a bound, for what the controllers were asked for; then record what became of it."""
        until_s = time.monotonic() + TASKS_TIMEOUT_S
        while requested:
            done = await self._done_tasks(requested)
            if done >= requested or time.monotonic() > until_s:
                for name in sorted(requested):
                    self.recorder.note("task", name, done=name in done)
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _done_tasks(self, requested: set[str]) -> set[str]:
        records: list[dict[str, str]] = []
        for number in range(self.fleet.plan.registries):
            result = await call(self.fleet.at[f"registry-{number}"], "GET", "/records")
            if result.ok:
                records += result.value["records"]
        requested_records = [record for record in records if record["name"] in requested]
        return {record["name"] for record in requested_records if json.loads(record["text"])["done"]}

    async def read_gateways(self) -> None:
        """Record which policy each gateway serves by in the end, once all had their time."""
        until_s = time.monotonic() + TASKS_TIMEOUT_S
        directory: dict[str, Any] = {}
        while time.monotonic() < until_s:
            directory = await self._gateway_directory()
            gateways = directory.get("doors", ())
            if directory and all(serves_by_decision(gateway, directory) for gateway in gateways):
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        for gateway in directory.get("doors", ()):
            is_current = serves_by_decision(gateway, directory)
            self.recorder.note("door", gateway["name"], alike=is_current, told=gateway, now=directory["now"])

    async def _gateway_directory(self) -> dict[str, Any]:
        """The gateway directory by the registry of the highest term that is sure of it; empty if none is."""
        found: dict[str, Any] = {}
        highest_term = 0
        for number in range(self.fleet.plan.registries):
            result = await call(self.fleet.at[f"registry-{number}"], "GET", "/doors")
            if result.ok and result.value["sure"] and result.value["now"]["term"] > highest_term:
                found = result.value
                highest_term = found["now"]["term"]
        return found

    async def read_lists(self) -> None:
        """Record the endpoint list of each registry and agent in the end."""
        for name in self.fleet.processes.all:
            if name.startswith(("registry-", "agent-")):
                await self._read_list(name)

    async def _read_list(self, name: str) -> None:
        health = await call(self.fleet.at[name], "GET", "/healthcheck")
        members = await call(self.fleet.at[name], "GET", "/catalog/members")
        instances = members.value["instances"] if members.ok else []
        self.recorder.note(
            "list",
            name,
            status=status_of(members),
            health=body_of(health),
            store=store_of(health),
            listed={entry["instanceId"]: entry["lifecycle"] for entry in instances},
            generation=members.value["generation"] if members.ok else 0,
        )


def serves_by_decision(gateway: dict[str, Any], directory: dict[str, Any]) -> bool:
    """Whether a gateway serves by the policy that the directory says is in force."""
    has_policy = gateway.get("has") == directory["now"]["digest"]
    return has_policy and bool(gateway.get("serves")) and gateway["state"] == "present"
