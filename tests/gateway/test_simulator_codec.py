"""The simulator's codec: the lines of actions."""

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
from orchidhatch.gateway.gossip import GossipMessage
from orchidhatch.gateway.simulator_codec import write_action


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
        (AddToCounter(4, 1, 9), "ADD_TO 4 1 9"),
        (Subscribe(False), "STREAM_CHANGES 0"),
        (FetchEndpointList(), "SNAPSHOT"),
        (LogLine("a\nb"), "EMIT a b"),
    ]
    assert [write_action(action) for action, _ in actions] == [line for _, line in actions]
