"""Single steps of a policy change, by what the registry shows."""

import pytest

from orchidhatch.control.controller.errors import StaleRecordError
from orchidhatch.control.policy.change import PolicyChange
from orchidhatch.control.policy.change_record import (
    ChangeRecord,
    ChangeState,
    Gate,
    OutcomeCounts,
    new_change,
)
from orchidhatch.control.policy.fleet_status import FleetStatus, GatewayState, GatewayStatus
from orchidhatch.control.policy.policy_records import (
    CHANGE_TASK_RECORD,
    DECISION_RECORD,
    Decision,
    decode_decision,
    document_record,
    encode_decision,
)
from tests.control.controller.fake_context import FakeContext

OLD = "0" * 16
NEW = "1" * 16
OTHER = "2" * 16
BASE = 1 << 32 | 5


def decision(number: int = BASE, digest: str = OLD, change_id: str = "") -> Decision:
    return Decision(
        number=number,
        digest=digest,
        previous_digest="",
        term=1,
        activation_delay_ms=13_000,
        change_id=change_id,
    )


def gateway(
    name: str,
    state: GatewayState = GatewayState.PRESENT,
    active_digest: str = OLD,
    ready: tuple[str, ...] = (NEW,),
) -> GatewayStatus:
    return GatewayStatus(
        name=name,
        zone="a",
        state=state,
        active_digest=active_digest,
        ready=ready,
        counts=OutcomeCounts(answered=10),
    )


def fleet(
    current: Decision, *gateways: GatewayStatus, remaining_ms: int = -20_000, is_certain: bool = True
) -> FleetStatus:
    return FleetStatus(is_certain=is_certain, decision=current, remaining_ms=remaining_ms, gateways=gateways)


def change_in(state: ChangeState, *, force: bool = False) -> PolicyChange:
    """A change from OLD to NEW that has come to this state."""
    record: ChangeRecord = new_change(NEW, "me", "why", force=force)
    record.state = state
    if state is not ChangeState.REQUESTED:
        record.base_number = BASE
        record.previous_digest = OLD
        record.counts_before = OutcomeCounts()
    return PolicyChange(CHANGE_TASK_RECORD, 1, record)


def context_with(current: FleetStatus) -> FakeContext:
    """The records as the registry that shows this status has them."""
    context = FakeContext(current)
    context.put_now(document_record(NEW), "{}")
    context.put_now(DECISION_RECORD, encode_decision(current.decision))
    return context


ONE_OF_TWO_ABSENT = (gateway("a"), gateway("b", GatewayState.ABSENT))


@pytest.mark.parametrize("state", [ChangeState.REQUESTED, ChangeState.DECIDING, ChangeState.DECIDED])
async def test_change_waits_for_a_certain_registry(state: ChangeState) -> None:
    change = change_in(state)
    await change.step(context_with(fleet(decision(), gateway("a"), is_certain=False)))
    assert change.record.state is state and change.version == 1


async def test_requested_change_notes_what_it_replaces() -> None:
    change = change_in(ChangeState.REQUESTED)
    await change.step(context_with(fleet(decision(), gateway("a"), gateway("b"))))
    assert change.record.state is ChangeState.PREPARING
    assert (change.record.base_number, change.record.previous_digest) == (BASE, OLD)
    assert change.record.counts_before == OutcomeCounts(answered=20)


async def test_requested_change_in_force_already_is_not_applied() -> None:
    change = change_in(ChangeState.REQUESTED)
    await change.step(context_with(fleet(decision(digest=NEW), gateway("a"))))
    assert (change.record.state, change.record.done) == (ChangeState.NOT_APPLIED, True)


@pytest.mark.parametrize("state", [ChangeState.REQUESTED, ChangeState.PREPARING])
async def test_change_with_many_gateways_absent_needs_force(state: ChangeState) -> None:
    change = change_in(state)
    await change.step(context_with(fleet(decision(), *ONE_OF_TWO_ABSENT)))
    assert (change.record.state, change.record.done) == (ChangeState.NOT_APPLIED, True)
    assert "1 of 2" in change.record.message
    forced = change_in(state, force=True)
    await forced.step(context_with(fleet(decision(), *ONE_OF_TWO_ABSENT)))
    expected = ChangeState.PREPARING if state is ChangeState.REQUESTED else ChangeState.DECIDING
    assert forced.record.state is expected


async def test_preparing_change_ends_at_another_decision() -> None:
    change = change_in(ChangeState.PREPARING)
    await change.step(context_with(fleet(decision(BASE + 1, OTHER, "other"), gateway("a"))))
    assert (change.record.state, change.record.done) == (ChangeState.NOT_APPLIED, True)


async def test_preparing_change_goes_on_in_a_new_term() -> None:
    """The old policy was decided again there."""
    change = change_in(ChangeState.PREPARING)
    number = 2 << 32 | 1
    await change.step(context_with(fleet(decision(number), gateway("a"))))
    assert change.record.state is ChangeState.DECIDING and change.record.base_number == number


@pytest.mark.parametrize("state", [ChangeState.PREPARING, ChangeState.DECIDING])
async def test_change_repeated_in_a_new_term_is_decided(
    state: ChangeState,
) -> None:
    own = change_in(state)
    await own.step(context_with(fleet(decision(BASE + 1, NEW, own.record.change_id), gateway("a"))))
    assert own.record.state is ChangeState.DECIDED
    repeated = change_in(state)
    await repeated.step(context_with(fleet(decision(2 << 32 | 1, NEW), gateway("a"))))
    assert repeated.record.state is ChangeState.DECIDED


def test_decision_not_above_the_base_is_not_the_changes() -> None:
    change = change_in(ChangeState.DECIDING)
    assert not change.is_decided(decision(BASE, NEW))
    assert change.is_decided(decision(BASE + 1, NEW))
    assert not change.is_decided(decision(BASE + 1, NEW, "other"))


async def test_deciding_change_writes_the_decision() -> None:
    change = change_in(ChangeState.DECIDING)
    context = context_with(fleet(decision(), gateway("a"), gateway("b", GatewayState.ABSENT)))
    await change.step(context)
    written = decode_decision(context.records[DECISION_RECORD].text)
    assert (written.number, written.digest, written.previous_digest) == (BASE + 1, NEW, OLD)
    assert (written.change_id, written.absent, written.term) == (change.record.change_id, ["b"], 1)
    assert written.activation_delay_ms == 13_125
    assert change.record.state is ChangeState.DECIDED


@pytest.mark.parametrize(
    "current",
    [
        fleet(decision(), gateway("a", ready=())),
        fleet(decision(2 << 32 | 1), gateway("a")),
    ],
)
async def test_deciding_change_prepares_again(
    current: FleetStatus,
) -> None:
    """A gateway, or a term, came since."""
    change = change_in(ChangeState.DECIDING)
    context = context_with(current)
    await change.step(context)
    assert change.record.state is ChangeState.PREPARING
    assert decode_decision(context.records[DECISION_RECORD].text) == current.decision


async def test_deciding_change_writes_none_after_another() -> None:
    change = change_in(ChangeState.DECIDING)
    context = context_with(fleet(decision(), gateway("a")))
    another = encode_decision(decision(BASE + 1, OTHER, "other"))
    read_record = context.read_record

    async def read_before_the_other_write(name: str) -> object:
        stored = await read_record(name)
        context.put_now(name, another)
        return stored

    context.read_record = read_before_the_other_write
    with pytest.raises(StaleRecordError):
        await change.step(context)
    assert context.records[DECISION_RECORD].text == another
    assert change.record.state is ChangeState.DECIDING


async def test_decided_change_is_undone_by_another_decision() -> None:
    change = change_in(ChangeState.DECIDED)
    await change.step(context_with(fleet(decision(BASE + 2, OTHER, "other"), gateway("a"))))
    assert (change.record.state, change.record.done) == (ChangeState.UNDONE, True)


@pytest.mark.parametrize(
    ("remaining_ms", "active_digest", "is_done"),
    [(100, NEW, False), (0, NEW, True), (-4_900, OLD, False), (-5_000, OLD, True)],
)
async def test_activated_change_waits_for_gateways_behind(
    remaining_ms: int, active_digest: str, is_done: bool
) -> None:
    change = change_in(ChangeState.DECIDED)
    current = decision(BASE + 1, NEW, change.record.change_id)
    behind_or_not = gateway("a", active_digest=active_digest)
    await change.step(context_with(fleet(current, behind_or_not, remaining_ms=remaining_ms)))
    assert change.record.done is is_done
    assert (change.record.state is ChangeState.IN_FORCE) is is_done


async def test_watched_change_with_few_requests_is_in_force() -> None:
    """Its message says that there were too few."""
    change = change_in(ChangeState.WATCHED)
    change.record.gate = Gate(for_ms=1000)
    change.record.counts_at_switch = OutcomeCounts()
    change.record.remaining_ms = 0
    current = decision(BASE + 1, NEW, change.record.change_id)
    await change.step(context_with(fleet(current, gateway("a", active_digest=NEW))))
    assert (change.record.state, change.record.done) == (ChangeState.IN_FORCE, True)
    assert "could not be evaluated" in change.record.message
