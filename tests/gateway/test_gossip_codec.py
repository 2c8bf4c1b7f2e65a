"""The gossip codec: messages and observations come back from the datagrams they were packed into."""

from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage, SlotGrant
from orchidhatch.gateway.gossip_codec import pack_message, unpack_message


def test_messages_are_unpacked_as_packed() -> None:
    messages = tuple(
        GossipMessage(n, 1, 300, 200, n % 2 == 1, 2.5, 0.5, 1.0, -0.5, n, SlotGrant(n % 3)) for n in range(30)
    )
    datagrams = pack_message(messages)
    assert len(datagrams) > 1 and max(map(len, datagrams)) <= 256
    assert sum((unpack_message(datagram)[0] for datagram in datagrams), ()) == messages
    assert unpack_message(datagrams[0][:-1]) == ((), ())
    assert unpack_message(pack_message([GossipMessage(1, 0, 0, 2, level=1e9)])[0])[0][0].level == 32767 / 50


def test_observations_fill_up_the_last_datagram() -> None:
    observations = tuple(AttemptObservation(n, n % 3, n % 2 == 0, n / 255) for n in range(100))
    message = GossipMessage(1, 0, 0, 2)
    (datagram,) = pack_message([message], observations)
    messages, unpacked = unpack_message(datagram)
    assert len(datagram) <= 256 and messages == (message,)
    assert unpacked == observations[: len(unpacked)] and len(unpacked) > 50
    other_heads = [head + datagram[1:] for head in (b"\x51", b"\xa0", b"\xaf")]
    for malformed in (b"", b"\xa0", datagram[:-1], datagram + b"1234", *other_heads):
        assert unpack_message(malformed) == ((), ())


def test_plan_that_no_byte_names_loses_no_other_message() -> None:
    """Guards against messages that are lost as another one of the same send names a plan above 255."""
    named = GossipMessage(1, 0, 0, 3, demand=1.0)
    unnamed = GossipMessage(2, 256, 0, 3, demand=1.0)
    [datagram] = pack_message([named, unnamed])
    assert unpack_message(datagram)[0] == (named,)


def test_no_datagram_goes_out_for_unnamed_plans_alone() -> None:
    """Guards against a datagram without a message, which its reader takes for malformed."""
    unnamed = GossipMessage(2, 256, 0, 3, demand=1.0)
    observations = (AttemptObservation(1, 0, True, 1.0),)
    assert pack_message([unnamed, unnamed], observations) == []
    [datagram] = pack_message([GossipMessage(1, 255, 0, 3), unnamed], observations)
    assert unpack_message(datagram) == ((GossipMessage(1, 255, 0, 3),), observations)
