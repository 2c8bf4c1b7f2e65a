"""Seeded defects: each replaces a function of the program by a faulty one, to show that a check detects it.

`orchidhatch.faults.stepped` applies a defect in the processes that the defect's pattern matches.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple


class SeededDefect(NamedTuple):
    """A defect of the program.

    `processes` is the pattern of the processes that it is applied in, `check` the check that is expected to
    detect it; `apply` patches the program's modules in the current process.
    """

    processes: str
    check: str
    apply: Callable[[], None]


def ignore_draining_state() -> None:
    """A gateway takes draining backends for backends in service."""
    from orchidhatch.gateway.endpoints import EndpointState
    from orchidhatch.proxy import endpoint_list_reader

    endpoint_list_reader.STATES["DRAINING"] = EndpointState.UP


def duplicate_replies() -> None:
    """A gateway sends every twentieth reply twice."""
    from orchidhatch.proxy.reply import Reply

    send = Reply.send
    reply_count = 0

    def send_with_duplicates(self: Reply, data: bytes) -> None:
        nonlocal reply_count
        reply_count += 1
        send(self, data + data if reply_count % 20 == 0 else data)

    Reply.send = send_with_duplicates


def duplicate_attempts() -> None:
    """A gateway sends each attempt twice at once."""
    from orchidhatch.proxy.attempt import Attempt
    from orchidhatch.proxy.backends import Backends

    send = Backends.send

    def send_duplicated(self: Backends, attempt: Attempt, timeout_us: int, start_within_us: int = 0) -> None:
        send(self, attempt, timeout_us, start_within_us)
        duplicate = Attempt(
            attempt.request_id, attempt.number, attempt.server, attempt.encode, lambda *_: None
        )
        send(self, duplicate, timeout_us)

    Backends.send = send_duplicated


def enforce_caps_per_gateway() -> None:
    """Each gateway grants the whole quota of a customer, as if it were alone in the customer's set."""
    from orchidhatch.gateway.quota import Customer

    init = Customer.__init__

    def init_alone(self: Customer, plan: Any, key: Any, set_: Any, now: int) -> None:  # noqa: ANN401
        init(self, plan, key._replace(set_first=set_.gateway_index, set_size=1), set_, now)
        self.key = key

    Customer.__init__ = init_alone


def acknowledge_before_commit() -> None:
    """A registry acknowledges writes 0.2 s before it makes them durable."""
    from orchidhatch.control.registry.write_pipeline import WritePipeline

    write_batch = WritePipeline.write_batch

    async def acknowledge_then_write(self: WritePipeline, queued_writes: Any) -> None:  # noqa: ANN401
        batch = self._store.plan([queued.write for queued in queued_writes])
        for queued, outcome in zip(queued_writes, batch.outcomes, strict=True):
            queued.acknowledge(outcome)
        await asyncio.sleep(0.2)
        await write_batch(self, queued_writes)

    WritePipeline.write_batch = acknowledge_then_write


def discard_cache() -> None:
    """An agent starts from an empty cache, so that its generations restart."""
    from orchidhatch.control.agent import command
    from orchidhatch.control.registry.store import Store

    def open_empty_cache(path: Any) -> Store:  # noqa: ANN401
        path.unlink(missing_ok=True)
        return Store(path, create=True, first=0)

    command.open_cache = open_empty_cache


def skip_peer_term_check() -> None:
    """A registry takes its term for current without a check of its peers' terms."""
    from orchidhatch.control.registry.peer_terms import PeerTermGuard

    PeerTermGuard.is_current = lambda self: True


def restart_epochs() -> None:
    """A registry restarts the count of claim epochs whenever it loads its claims."""
    from orchidhatch.control.registry.store import Store

    load_claims = Store.load_claims

    def load_claims_without_last_change(self: Store) -> None:
        load_claims(self)
        self.claims_table.last_change = 0

    Store.load_claims = load_claims_without_last_change


def ignore_fences() -> None:
    """Neither registries nor agents check fencing tokens; owners rely on their clocks alone."""
    from orchidhatch.control.agent.gateway_calls import GatewayCalls
    from orchidhatch.control.ownership.claims import ClaimsTransaction

    ClaimsTransaction.check_fence = lambda self, fence: None
    execute = GatewayCalls.execute

    async def execute_unfenced(self: GatewayCalls, fenced_call: Any) -> Any:  # noqa: ANN401
        self.fences.epochs.clear()
        self.fences.call_numbers.clear()
        return await execute(self, fenced_call)

    GatewayCalls.execute = execute_unfenced


def ignore_gateway_readiness() -> None:
    """A policy change is decided without regard to gateways that are not ready."""
    from orchidhatch.control.policy.change import PolicyChange

    PolicyChange.unready_gateways = lambda self, fleet: []


def permit_previous_policy() -> None:
    """An agent lets a gateway that is out of service resume under the policy that it had."""
    from orchidhatch.control.agent.gateway_steering import GatewaySteering

    permitted_digest = GatewaySteering.permitted_digest

    def previous_digest(self: GatewaySteering) -> str | None:
        state = self.gateway.state
        if state.policy and not state.serves:
            return state.digest
        return permitted_digest(self)

    GatewaySteering.permitted_digest = previous_digest


def never_expire_lease() -> None:
    """An agent's policy lease practically never expires; it is renewed as often as before."""
    from orchidhatch.control.agent import policy_lease

    policy_lease.LEASE_S = 1e6


def write_decision_unconditionally() -> None:
    """A registry accepts a policy decision despite a stale claim or a changed record."""
    from orchidhatch.control.ownership.claims import ClaimsTransaction
    from orchidhatch.control.ownership.writes import PutRecord
    from orchidhatch.control.policy.policy_records import DECISION_RECORD

    ClaimsTransaction.check_fence = lambda self, fence: None
    put_record = ClaimsTransaction.put_record

    def put_unconditionally(self: ClaimsTransaction, write: PutRecord) -> Any:  # noqa: ANN401
        if write.name == DECISION_RECORD:
            return put_record(self, PutRecord(write.name, write.text))
        return put_record(self, write)

    ClaimsTransaction.put_record = put_unconditionally


def ignore_policy_reloads() -> None:
    """A gateway ignores every policy after its first.

    The first is applied, as a gateway without any policy would not enter service at all.
    """
    from orchidhatch.proxy.configuration_reload import ConfigurationReloader

    switch_policy = ConfigurationReloader.switch_policy
    ConfigurationReloader.switch_policy = lambda self, config: (
        None if self.active.config.policy else switch_policy(self, config)
    )


def send_stale_deadlines() -> None:
    """An attempt's remaining time is computed at its start, not when it is written, and 400 ms too long."""
    from orchidhatch.proxy.attempt import Attempt

    Attempt.payload = lambda self, now: self.encode(max(1, self.deadline_us - self.sent_us) + 400_000)


def count_time_from_reading() -> None:
    """A gateway that stood still counts a request's time from its reading."""
    from orchidhatch.proxy.arrival_times import ArrivalTimes
    from orchidhatch.proxy.clock import now_us

    def arrive_now(self: ArrivalTimes) -> None:
        self._loop_watch.touch()
        self.arrived_us = now_us()

    ArrivalTimes.note_read = arrive_now


def repeat_past_window() -> None:
    """A keyed request is repeated at any time, by the decision core, the attempts and the guard alike."""
    from orchidhatch.gateway.candidates import CandidateFilter
    from orchidhatch.gateway.in_flight import InFlightRequest
    from orchidhatch.gateway.retries import RetryPolicy
    from orchidhatch.gateway.server_record import ServerRecord
    from orchidhatch.gateway.settings import Idempotency
    from orchidhatch.proxy.attempt_checks import AttemptChecks

    is_in_scope = CandidateFilter.is_in_scope

    def is_keyed_or_in_scope(self: CandidateFilter, request: InFlightRequest, server: ServerRecord) -> bool:
        return request.rule.idempotency is Idempotency.KEYED or is_in_scope(self, request, server)

    CandidateFilter.is_in_scope = is_keyed_or_in_scope
    RetryPolicy.start_within_us = lambda self, request: 0
    AttemptChecks._repeat_refusal = lambda self, exchange: None


def leave_reset_unanswered() -> None:
    """A request whose last attempt was reset by its backend gets no answer, by no timer either."""
    from orchidhatch.gateway.attempts import AttemptResult
    from orchidhatch.gateway.in_flight import InFlightRequest
    from orchidhatch.gateway.request_completion import RequestCompletion
    from orchidhatch.proxy.request_lifecycle import RequestLifecycle

    end_unserved = RequestCompletion.end_unserved

    def end_unless_reset(self: RequestCompletion, request: InFlightRequest, reason: Any) -> None:  # noqa: ANN401
        if reason is not AttemptResult.RESET:
            end_unserved(self, request, reason)

    RequestCompletion.end_unserved = end_unless_reset
    RequestLifecycle.fail_unanswered = lambda self, request_id: None


def close_on_termination() -> None:
    """A gateway ends at SIGTERM with requests in flight."""
    from orchidhatch.proxy.process_lifecycle import ProcessLifecycle

    async def close_at_once(self: ProcessLifecycle, close: Callable[[], None]) -> None:
        close()

    ProcessLifecycle.drain = close_at_once


def ignore_client_disconnects() -> None:
    """A gateway does not notice that a client closed its connection."""
    from orchidhatch.proxy.client_connection import ClientConnection

    ClientConnection.eof_received = lambda self: True
    ClientConnection.close_if_client_left = lambda self: False
    ClientConnection.abandon_replies = lambda self: None


def retry_all_classes() -> None:
    """The decision core takes every class of request for idempotent; the proxy's guard does not."""
    from orchidhatch.gateway.candidates import CandidateFilter

    CandidateFilter.is_in_scope = lambda self, request, server: True


def retry_all_classes_unguarded() -> None:
    """The decision core takes every class of request for idempotent, and the proxy's guard is off."""
    from orchidhatch.proxy.attempt_checks import AttemptChecks

    retry_all_classes()
    AttemptChecks._repeat_refusal = lambda self, exchange: None


def never_time_out_commands() -> None:
    """A gateway never closes the connection of a client whose command stays incomplete."""
    from orchidhatch.proxy.client_connection import ClientConnection

    ClientConnection.is_command_overdue = lambda self, now_s: False


def skip_slow_start() -> None:
    """A gateway prefers backends that are warming up, as if they had no load at all."""
    from orchidhatch.gateway.candidates import CandidateFilter
    from orchidhatch.gateway.expected_cost import ExpectedCost
    from orchidhatch.gateway.slow_start import SlowStart

    SlowStart.has_credit = lambda self, server: True
    ExpectedCost.compute = lambda self, server: 0.0 if self.slow_start.is_warming_up(server) else 1.0
    CandidateFilter.is_full = lambda self, server: False


SEEDED_DEFECTS = {
    "stale-deadline": SeededDefect("door-*", "deadlines", send_stale_deadlines),
    "told-from-reading": SeededDefect("door-*", "deadlines", count_time_from_reading),
    "past-window": SeededDefect("door-*", "repeats", repeat_past_window),
    "reset-unanswered": SeededDefect("door-*", "answers", leave_reset_unanswered),
    "ends-at-once": SeededDefect("door-*", "answers", close_on_termination),
    "serves-departed": SeededDefect("door-*", "departed", ignore_client_disconnects),
    "repeats": SeededDefect("door-*", "guards", retry_all_classes),
    "repeats-unguarded": SeededDefect("door-*", "repeats", retry_all_classes_unguarded),
    "waits-for-odd": SeededDefect("door-*", "odd", never_time_out_commands),
    "full-speed": SeededDefect("door-*", "slow-start", skip_slow_start),
    "unready": SeededDefect("steward-*", "promises", ignore_gateway_readiness),
    "returns-old": SeededDefect("agent-*", "policies", permit_previous_policy),
    "endless-lease": SeededDefect("agent-*", "policies", never_expire_lease),
    "late-decision": SeededDefect("registry-*", "promises", write_decision_unconditionally),
    "deaf-door": SeededDefect("door-1", "promises", ignore_policy_reloads),
    "epoch-anew": SeededDefect("registry-*", "owners", restart_epochs),
    "trusts-clock": SeededDefect("[ar]*-*", "effects", ignore_fences),
    "ignores-drain": SeededDefect("door-*", "drains", ignore_draining_state),
    "two-answers": SeededDefect("door-*", "answers", duplicate_replies),
    "overlap": SeededDefect("door-*", "attempts", duplicate_attempts),
    "cap-per-door": SeededDefect("door-*", "caps", enforce_caps_per_gateway),
    "early-ack": SeededDefect("registry-*", "writes", acknowledge_before_commit),
    "goes-back": SeededDefect("agent-*", "generations", discard_cache),
    "never-looks": SeededDefect("registry-*", "writes", skip_peer_term_check),
}
