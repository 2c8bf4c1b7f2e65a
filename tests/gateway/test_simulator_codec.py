"""The simulator's codec: events from their lines, and lines of actions."""

import pytest

from orchidhatch.gateway.actions import (
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    HealthCheck,
    LogLine,
    Reject,
    SendGossip,
    SetTimer,
    Subscribe,
)
from orchidhatch.gateway.events import Request
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.simulator_codec import Fields, WireError, read_event, read_load, write_action


def test_action_is_encoded_as_its_line() -> None:
    actions = [
        (CancelAttempt("a", 1), "CANCEL a 1"),
        (Reject("a", 5), "TURN_AWAY a 5"),
        (Fail("a"), "END_FAILED a"),
        (SetTimer(5, 7), "ARM 5 7"),
        (HealthCheck("s"), "CHECK s"),
        (CloseIdleConnections("s"), "HANG_UP s"),
        (
            SendGossip(2, (GossipMessage(5, 1, 3, 4, True, level=-1.5),)),
            f"TELL 2 a100000005010003000401{0:012x}ffb500",
        ),
        (SendGossip(2, (GossipMessage(5, 256, 3, 4),)), ""),
        (AddToCounter(4, 1, 9), "ADD_TO 4 1 9"),
        (Subscribe(False), "STREAM_CHANGES 0"),
        (FetchEndpointList(), "SNAPSHOT"),
        (LogLine("a\nb"), "EMIT a b"),
    ]
    assert [write_action(action) for action, _ in actions] == [line for _, line in actions]


def test_request_is_decoded_with_its_marks() -> None:
    fields = Fields(["rq_a", "1", "0", "cust/x", "900000", "2.5", "3", "1", "2"])
    expected = Request("rq_a", 1, 0, "cust/x", 900_000, 2.5, 3, 1, is_repeat=True)
    assert read_event("NEW_REQUEST", fields, []) == expected
    fields = Fields(["rq_a", "1", "0", "cust/x", "900000", "2.5", "3", "1", "5"])
    assert read_event("NEW_REQUEST", fields, []) == Request(
        "rq_a", 1, 0, "cust/x", 900_000, 2.5, 3, 1, is_write=True
    )


def test_absent_values_of_a_request_have_defaults() -> None:
    assert read_event("NEW_REQUEST", Fields(["rq_a", "1", "-", "-", "5", "-", "0"]), []) == Request(
        "rq_a", 1, 0, "", 5, 1.0, set_size=1, set_first=0
    )


def test_load_report_with_more_values_than_names_is_rejected() -> None:
    assert read_load(Fields(["1"]), ["cpu_share", "pending"]).util == 1.0
    with pytest.raises(WireError, match="more values than names"):
        read_load(Fields(["1,2"]), ["cpu_share"])
