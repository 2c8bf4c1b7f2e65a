"""The gossip codec: messages and observations are unpacked as they were packed."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.gossip import (
    MAX_STREAM,
    MAX_STREAM_AGE_US,
    SEQUENCE_NUMBERS,
    AttemptObservation,
    GossipMessage,
    SlotGrant,
    SpentTotal,
)
from orchidhatch.gateway.gossip_codec import (
    CLASSES_LIMIT,
    DATAGRAM_BYTES,
    MESSAGE,
    OBSERVATION,
    mark_of,
    pack_message,
    unpack_message,
)
from orchidhatch.gateway.times import S


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
    """Guards against lost messages because another message of the same send has a plan index above 255."""
    named = GossipMessage(1, 0, 0, 3, demand=1.0)
    unnamed = GossipMessage(2, 256, 0, 3, demand=1.0)
    [datagram] = pack_message([named, unnamed])
    assert unpack_message(datagram)[0] == (named,)


def test_no_datagram_is_sent_without_a_message() -> None:
    """Guards against a datagram without a message, which the recipient would reject as malformed."""
    unnamed = GossipMessage(2, 256, 0, 3, demand=1.0)
    observations = (AttemptObservation(1, 0, True, 1.0),)
    assert pack_message([unnamed, unnamed], observations) == []
    [datagram] = pack_message([GossipMessage(1, 255, 0, 3), unnamed], observations)
    assert unpack_message(datagram) == ((GossipMessage(1, 255, 0, 3),), observations)


REPORT = GossipMessage(1, 0, 0, 3, demand=1.0, spent=0.5)
ANSWER = GossipMessage(2, 0, 0, 3, is_answer=True, level=4.0)
OBSERVATIONS = tuple(AttemptObservation(n, n % 3, n % 2 == 0, n / 255) for n in range(16))


def report_with_total(number: int) -> GossipMessage:
    """Return a report with a distinct total."""
    total = SpentTotal(stream=number + 1, sequence=number, units=number / 50, age_us=number % 15 * 4 * S)
    return replace(REPORT, spent_total=total)


@pytest.mark.parametrize("mark", [0, 9])
@pytest.mark.parametrize("count", [1, 7, 8, 9, 60])
def test_totals_are_unpacked_as_packed(count: int, mark: int) -> None:
    """Guards against a total assigned to the wrong message among answers and messages without a total."""
    messages = tuple(
        message for number in range(count) for message in (ANSWER, report_with_total(number), REPORT)
    )[:60]
    datagrams = pack_message(messages, OBSERVATIONS, mark)
    unpacked = [unpack_message(datagram) for datagram in datagrams]
    assert sum((part for part, _ in unpacked), ()) == messages
    assert unpacked[-1][1] == OBSERVATIONS[: len(unpacked[-1][1])]
    assert max(map(len, datagrams)) <= DATAGRAM_BYTES
    assert {mark_of(datagram) for datagram in datagrams} == {mark}


def test_observations_are_sent_beside_a_total() -> None:
    [datagram] = pack_message([report_with_total(3)], OBSERVATIONS)
    assert unpack_message(datagram) == ((report_with_total(3),), OBSERVATIONS)


@pytest.mark.parametrize(
    ("total", "expected"),
    [
        (
            SpentTotal(MAX_STREAM, SEQUENCE_NUMBERS - 1, 335544.3, MAX_STREAM_AGE_US),
            SpentTotal(MAX_STREAM, SEQUENCE_NUMBERS - 1, 335544.3, MAX_STREAM_AGE_US),
        ),
        (SpentTotal(1, 0, 335544.319, 4 * S - 1), SpentTotal(1, 0, 0.0, 0)),
        (SpentTotal(1, 0, 1.004, 4 * S + 1), SpentTotal(1, 0, 1.0, 4 * S)),
        (SpentTotal(1, 0, 0.0, 10**12), SpentTotal(1, 0, 0.0, MAX_STREAM_AGE_US)),
    ],
    ids=["greatest", "rounded up past the range", "rounded down", "oldest"],
)
def test_totals_at_the_ends_of_their_ranges(total: SpentTotal, expected: SpentTotal) -> None:
    [datagram] = pack_message([replace(REPORT, spent_total=total)])
    assert unpack_message(datagram)[0] == (replace(REPORT, spent_total=expected),)


def test_previous_version_ignores_totals() -> None:
    """Guards against totals that a gateway of the previous version uses as observations."""
    messages = [ANSWER, report_with_total(1), report_with_total(2)]
    [datagram] = pack_message(messages, OBSERVATIONS)
    end = 1 + len(messages) * MESSAGE.size
    read = list(OBSERVATION.iter_unpack(datagram[end:]))
    classes = [kind >> 1 for _, kind, _ in read]
    assert [number for number in classes if number >= CLASSES_LIMIT] == [CLASSES_LIMIT] * 4
    assert len([number for number in classes if number < CLASSES_LIMIT]) == len(OBSERVATIONS)


def test_observation_of_the_class_of_totals_is_left_out() -> None:
    """Guards against an observation that is decoded as part of a total."""
    observations = [AttemptObservation(n, CLASSES_LIMIT, True, 1.0) for n in range(3)]
    [datagram] = pack_message([REPORT], observations)
    assert unpack_message(datagram) == ((REPORT,), ())
