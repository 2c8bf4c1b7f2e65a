"""The decision core, its datagrams and its hand-over against recordings of versions 76db265 and 699a6b8."""

import gzip
import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import pytest

from orchidhatch.gateway.actions import Action, SendGossip
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.events import EndOpenRequests, Event
from orchidhatch.gateway.gossip import SEQUENCE_NUMBERS, TOTAL_UNITS, GossipMessage, SpentTotal
from orchidhatch.gateway.gossip_codec import mark_of, pack_message, unpack_message
from orchidhatch.gateway.handover_codec import MESSAGE_TYPES, from_plain, to_plain
from orchidhatch.gateway.snapshots import GatewaySnapshot
from tests.baseline.decoding import FOLDER, class_of, decode, read

LATER_EVENTS = {EndOpenRequests}
"""Events that the recorded versions did not know; `tests/proxy/test_kill_after_drain` has their actions."""
STREAMS = sorted(FOLDER.glob("events-*.jsonl.gz"))


class ReportedUnits:
    """What one process reports as spent, and the totals that it says of that in each stream."""

    def __init__(self) -> None:
        self.last: dict[tuple[int, ...], SpentTotal] = {}

    def check(self, message: GossipMessage) -> None:
        """Each total is the one before and what the message reports; an answer has none."""
        total = message.spent_total
        if total is None:
            return
        assert not message.is_answer
        stream = (message.customer, message.set_first, message.set_size, total.stream)
        last = self.last.get(stream, SpentTotal(total.stream, SEQUENCE_NUMBERS - 1, 0.0, 0))
        assert total.sequence == (last.sequence + 1) % SEQUENCE_NUMBERS
        assert total.units == pytest.approx((last.units + message.spent) % TOTAL_UNITS)
        self.last[stream] = total


def without_totals(actions: Iterable[Action], reported: ReportedUnits) -> list[Action]:
    """The actions as the recorded version reads them, which knows no totals; these are checked here."""
    read: list[Action] = []
    for action in actions:
        if isinstance(action, SendGossip):
            for message in action.messages:
                reported.check(message)
            messages = tuple(replace(message, spent_total=None) for message in action.messages)
            read.append(replace(action, messages=messages))
        elif isinstance(action, GatewaySnapshot):
            read.append(replace(action, report_streams=(), received_totals=()))
        else:
            read.append(action)
    return read


@pytest.mark.parametrize("path", STREAMS, ids=lambda path: path.name.partition(".")[0])
def test_recorded_events_give_the_recorded_actions(path: Path) -> None:
    with gzip.open(path, "rt") as lines:
        for line in lines:
            stream = json.loads(line)
            core = GatewayCore(decode(stream["settings"]))
            reported = ReportedUnits()
            for number, (now_us, event, actions) in enumerate(stream["steps"]):
                expected = [decode(action) for action in actions]
                acted = without_totals(core.handle(now_us, decode(event)), reported)
                assert acted == expected, (stream["process"], number, event)


def test_recording_covers_every_event_type() -> None:
    """The recording has each type of event that its version knew, and thousands of events."""
    counts: Counter[str] = Counter()
    for path in STREAMS:
        with gzip.open(path, "rt") as lines:
            for line in lines:
                counts.update(event["type"] for _, event, _ in json.loads(line)["steps"])
    assert len(STREAMS) == 10
    assert counts.total() > 10_000
    assert {class_of(name) for name in counts} == set(Event.__args__) - LATER_EVENTS


@pytest.mark.parametrize(
    "case", read("datagrams.json"), ids=lambda case: f"{case['name']}, mark {case['mark']}"
)
def test_recorded_datagrams_round_trip(case: dict) -> None:
    messages = decode(case["words"])
    observations = decode(case["sightings"])
    datagrams = [bytes.fromhex(data) for data in case["datagrams"]]
    assert pack_message(messages, observations, case["mark"]) == datagrams
    assert [unpack_message(data) for data in datagrams] == [decode(value) for value in case["decoded"]]
    assert {mark_of(data) for data in datagrams} == {case["mark"]}


def test_recorded_predecessor_state_round_trips() -> None:
    recorded = read("handover.json")
    state = from_plain(class_of("State"), recorded["state"])
    assert state == decode(recorded["decoded"])
    assert json.loads(json.dumps(to_plain(state))) == recorded["state"]


def test_recorded_handover_lines_round_trip() -> None:
    recorded = read("handover.json")
    for line, value in zip(recorded["lines"], recorded["records"], strict=True):
        record = from_plain(class_of(line["say"]), line["record"])
        assert record == decode(value)
        assert json.loads(json.dumps(to_plain(record))) == line["record"]


def test_names_that_go_over_the_wire_of_a_hand_over_stay() -> None:
    assert set(MESSAGE_TYPES) == {"TwinSpend", "TwinSend", "TwinEnd", "TwinMaint"}
