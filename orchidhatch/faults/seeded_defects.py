"""Seeded defects: the real program with one function made wrong, to show that a checker finds it.

Each is put into the processes that its pattern names, by `orchidhatch.faults.stepped`.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple


class SeededDefect(NamedTuple):
    """A defect: the pattern of the processes that it is put into, the check that is to find it, and how."""

    processes: str
    check: str
    apply: Callable[[], None]


def ignore_drains() -> None:
    from orchidhatch.gateway.endpoints import EndpointState
    from orchidhatch.proxy import endpoint_list_reader

    endpoint_list_reader.STATES["DRAINING"] = EndpointState.UP


def answer_twice() -> None:
    from orchidhatch.proxy.reply import Reply

    send, count = Reply.send, 0

    def twice(self: Reply, data: bytes) -> None:
        nonlocal count
        count += 1
        send(self, data + data if count % 20 == 0 else data)

    Reply.send = twice


def overlap_attempts() -> None:
    from orchidhatch.proxy.attempt import Attempt
    from orchidhatch.proxy.backends import Backends

    send = Backends.send

    def both(self: Backends, attempt: Attempt, timeout_us: int, start_within_us: int = 0) -> None:
        send(self, attempt, timeout_us, start_within_us)
        copy = Attempt(attempt.request_id, attempt.number, attempt.server, attempt.encode, lambda *_: None)
        send(self, copy, timeout_us)

    Backends.send = both


def count_caps_alone() -> None:
    from orchidhatch.gateway.quota import Customer

    init = Customer.__init__

    def alone(self: Customer, plan: Any, key: Any, set_: Any, now: int) -> None:  # noqa: ANN401
        init(self, plan, key._replace(set_first=set_.gateway_index, set_size=1), set_, now)
        self.key = key

    Customer.__init__ = alone


def acknowledge_early() -> None:
    from orchidhatch.control.registry.write_pipeline import WritePipeline

    write_batch = WritePipeline.write_batch

    async def early(self: WritePipeline, wanted: Any) -> None:  # noqa: ANN401
        batch = self._store.plan([queued.write for queued in wanted])
        for queued, outcome in zip(wanted, batch.outcomes, strict=True):
            queued.acknowledge(outcome)
        await asyncio.sleep(0.2)
        await write_batch(self, wanted)

    WritePipeline.write_batch = early


def go_back() -> None:
    from orchidhatch.control.agent import command
    from orchidhatch.control.registry.store import Store

    def anew(path: Any) -> Store:  # noqa: ANN401
        path.unlink(missing_ok=True)
        return Store(path, create=True, first=0)

    command.open_cache = anew


def look_never() -> None:
    from orchidhatch.control.registry.peer_terms import PeerTermGuard

    PeerTermGuard.is_current = lambda self: True


def count_anew() -> None:
    from orchidhatch.control.registry.store import Store

    load_claims = Store.load_claims

    def load(self: Store) -> None:
        load_claims(self)
        self.claims_table.last_change = 0

    Store.load_claims = load


def trust_clocks() -> None:
    from orchidhatch.control.agent.gateway_calls import GatewayCalls
    from orchidhatch.control.ownership.claims import ClaimsTransaction

    ClaimsTransaction.check = lambda self, fence: None
    execute = GatewayCalls.execute

    async def unchecked(self: GatewayCalls, fenced_call: Any) -> Any:  # noqa: ANN401
        self.fences.epochs.clear()
        self.fences.call_numbers.clear()
        return await execute(self, fenced_call)

    GatewayCalls.execute = unchecked


def decide_unready() -> None:
    from orchidhatch.control.policy.change import PolicyChange

    PolicyChange.unready_gateways = lambda self, fleet: []


def return_as_it_was() -> None:
    from orchidhatch.control.agent.gateway_steering import GatewaySteering

    permitted_digest = GatewaySteering.permitted_digest

    def as_it_was(self: GatewaySteering) -> str | None:
        state = self.gateway.state
        return state.digest if state.policy and not state.serves else permitted_digest(self)

    GatewaySteering.permitted_digest = as_it_was


def lease_for_ever() -> None:
    from orchidhatch.control.agent import policy_lease

    policy_lease.LEASE_S = 1e6  # the lease only: it is renewed as often as before


def decide_late() -> None:
    """Neither the claim nor what was read before holds a decision back."""
    from orchidhatch.control.ownership.claims import ClaimsTransaction
    from orchidhatch.control.ownership.writes import PutRecord
    from orchidhatch.control.policy.policy_records import DECISION_RECORD

    ClaimsTransaction.check = lambda self, fence: None
    put_record = ClaimsTransaction.put_record

    def unconditional(self: ClaimsTransaction, write: PutRecord) -> Any:  # noqa: ANN401
        return put_record(self, PutRecord(write.name, write.text) if write.name == DECISION_RECORD else write)

    ClaimsTransaction.put_record = unconditional


def hear_nothing() -> None:
    """Nothing after the first, as a door that is under no policy at all is not kept."""
    from orchidhatch.proxy.configuration_reload import ConfigurationReloader

    switch_policy = ConfigurationReloader.switch_policy
    ConfigurationReloader.switch_policy = lambda self, config: (
        None if self.active.config.policy else switch_policy(self, config)
    )


def tell_stale_deadlines() -> None:
    """The time left is reckoned when an attempt is begun, not when it is written."""
    from orchidhatch.proxy.attempt import Attempt

    Attempt.payload = lambda self, now: self.encode(max(1, self.deadline_us - self.sent_us) + 400_000)


def serve_departed() -> None:
    """A client's end is not noticed."""
    from orchidhatch.proxy.client_connection import ClientConnection

    ClientConnection.eof_received = lambda self: True
    ClientConnection.end_if_left = lambda self: False
    ClientConnection.leave = lambda self: None


def repeat_everything() -> None:
    """The decision core takes every class for safe to repeat; the guard does not."""
    from orchidhatch.gateway.candidates import CandidateFilter

    CandidateFilter.is_in_scope = lambda self, request, server: True


def repeat_unguarded() -> None:
    """The same without the guard."""
    from orchidhatch.proxy.request_lifecycle import RequestLifecycle

    repeat_everything()
    RequestLifecycle._repeat_refusal = lambda self, exchange: None


def wait_for_odd_clients() -> None:
    """Who sends no whole command is never ended."""
    from orchidhatch.proxy.client_connection import ClientConnection

    ClientConnection.is_command_overdue = lambda self, now_s: False


def start_at_full_speed() -> None:
    """New backends are sent as much as the emptiest of all would be."""
    from orchidhatch.gateway.candidates import CandidateFilter
    from orchidhatch.gateway.expected_cost import ExpectedCost
    from orchidhatch.gateway.slow_start import SlowStart

    SlowStart.has_credit = lambda self, server: True
    ExpectedCost.of = lambda self, server: 0.0 if self.slow_start.is_warming_up(server) else 1.0
    CandidateFilter.is_full = lambda self, server: False


SEEDED_DEFECTS = {
    "stale-deadline": SeededDefect("door-*", "deadlines", tell_stale_deadlines),
    "serves-departed": SeededDefect("door-*", "departed", serve_departed),
    "repeats": SeededDefect("door-*", "guards", repeat_everything),
    "repeats-unguarded": SeededDefect("door-*", "repeats", repeat_unguarded),
    "waits-for-odd": SeededDefect("door-*", "odd", wait_for_odd_clients),
    "full-speed": SeededDefect("door-*", "slow-start", start_at_full_speed),
    "unready": SeededDefect("steward-*", "promises", decide_unready),
    "returns-old": SeededDefect("agent-*", "policies", return_as_it_was),
    "endless-lease": SeededDefect("agent-*", "policies", lease_for_ever),
    "late-decision": SeededDefect("registry-*", "promises", decide_late),
    "deaf-door": SeededDefect("door-1", "promises", hear_nothing),
    "epoch-anew": SeededDefect("registry-*", "owners", count_anew),
    "trusts-clock": SeededDefect("[ar]*-*", "effects", trust_clocks),
    "ignores-drain": SeededDefect("door-*", "drains", ignore_drains),
    "two-answers": SeededDefect("door-*", "answers", answer_twice),
    "overlap": SeededDefect("door-*", "attempts", overlap_attempts),
    "cap-per-door": SeededDefect("door-*", "caps", count_caps_alone),
    "early-ack": SeededDefect("registry-*", "writes", acknowledge_early),
    "goes-back": SeededDefect("agent-*", "generations", go_back),
    "never-looks": SeededDefect("registry-*", "writes", look_never),
}
