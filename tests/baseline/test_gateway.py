"""The decision core, its datagrams and its hand-over against recordings of versions 76db265 and 699a6b8."""

import gzip
import json
from collections import Counter
from pathlib import Path

import pytest

from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.events import Event
from orchidhatch.gateway.gossip_codec import mark_of, pack_message, unpack_message
from orchidhatch.gateway.handover_codec import MESSAGE_KINDS, from_plain, to_plain
from tests.baseline.decoding import FOLDER, class_of, decode, read

STREAMS = sorted(FOLDER.glob("events-*.jsonl.gz"))


@pytest.mark.parametrize("path", STREAMS, ids=lambda path: path.name.partition(".")[0])
def test_recorded_events_give_the_recorded_actions(path: Path) -> None:
    with gzip.open(path, "rt") as lines:
        for line in lines:
            stream = json.loads(line)
            core = GatewayCore(decode(stream["settings"]))
            for number, (now_us, event, actions) in enumerate(stream["steps"]):
                expected = [decode(action) for action in actions]
                assert core.handle(now_us, decode(event)) == expected, (stream["process"], number, event)


def test_recording_covers_every_event_type() -> None:
    """The recording has each type of event, and thousands of events."""
    counts: Counter[str] = Counter()
    for path in STREAMS:
        with gzip.open(path, "rt") as lines:
            for line in lines:
                counts.update(event["type"] for _, event, _ in json.loads(line)["steps"])
    assert len(STREAMS) == 10
    assert counts.total() > 10_000
    assert {class_of(name) for name in counts} == set(Event.__args__)


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
    assert set(MESSAGE_KINDS) == {"TwinSpend", "TwinSend", "TwinEnd", "TwinMaint"}
