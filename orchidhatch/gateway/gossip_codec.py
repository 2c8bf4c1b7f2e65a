"""The codec of datagrams between gateways: gossip messages and attempt observations in at most 256 bytes.

A datagram consists of a header, messages, their spent totals and observations. The header is one byte,
HEADER combined with the number of messages, or two bytes if it carries a policy mark: HEADER_WITH_MARK
combined with the number, and the mark. Amounts are encoded in steps of 1 / STEPS_PER_UNIT, relative
latencies in steps of 1 / LATENCY_STEPS.
"""

import struct
from collections.abc import Iterable, Iterator, Sequence

from orchidhatch.gateway.gossip import (
    MAX_AMOUNT_STEPS,
    MAX_PLAN_INDEX,
    STEPS_PER_UNIT,
    AttemptObservation,
    GossipMessage,
    SlotGrant,
)
from orchidhatch.gateway.spent_total_codec import (
    TOTAL_BYTES,
    TOTAL_CLASS,
    has_totals,
    pack_totals,
    unpack_totals,
)

HEADER = 0xA0
HEADER_WITH_MARK = 0xB0

HEADER_TYPE_MASK = 0xF0
"""The bits of the header that distinguish its two types; the others hold the number of messages."""

HEADER_BYTES = 2
DATAGRAM_BYTES = 256
MESSAGE = struct.Struct("!IBHHBhhhhB")
OBSERVATION = struct.Struct("!HBB")

CLASSES_LIMIT = TOTAL_CLASS
"""The number of request classes that an observation can identify."""

MIN_AMOUNT_STEPS = -32768
IN_FLIGHT_LIMIT = 255
LATENCY_STEPS = 255

SLOT_GRANTS = frozenset(SlotGrant)
"""The slot grants known to this version; the first version sends none and ignores them."""

SLOT_GRANT_SHIFT = 1
SLOT_GRANT_MASK = 0b11
GRANT_NUMBER_SHIFT = 3
"""The positions of slot grant and grant number in the flags byte; earlier versions ignore a grant number."""


def pack_message(
    messages: Iterable[GossipMessage], observations: Iterable[AttemptObservation] = (), policy_mark: int = 0
) -> list[bytes]:
    """Return the datagrams that hold the messages; observations fill up the last one.

    Messages about a plan index above MAX_PLAN_INDEX are left out, and no datagram is returned without a
    message. The mark of a policy is from 1 to 255, 0 for none; a gateway of an earlier version ignores a
    datagram with a mark.
    """
    named = [message for message in messages if message.plan_index <= MAX_PLAN_INDEX]
    if not named:
        return []
    datagrams = [
        pack_header(len(chunk), policy_mark) + b"".join(map(pack_gossip, chunk)) + pack_totals(chunk)
        for chunk in split_messages(named)
    ]
    capacity = (DATAGRAM_BYTES - len(datagrams[-1])) // OBSERVATION.size
    packed_observations = [
        pack_observation(observation)
        for observation in observations
        if observation.class_index < CLASSES_LIMIT
    ]
    datagrams[-1] += b"".join(packed_observations[:capacity])
    return datagrams


def split_messages(messages: Sequence[GossipMessage]) -> Iterator[list[GossipMessage]]:
    """Yield the messages of each datagram, as many as fit with their totals."""
    total_bytes = TOTAL_BYTES if has_totals(messages) else 0
    chunk: list[GossipMessage] = []
    free_bytes = DATAGRAM_BYTES - HEADER_BYTES
    for message in messages:
        message_bytes = MESSAGE.size if message.is_answer else MESSAGE.size + total_bytes
        if message_bytes > free_bytes:
            yield chunk
            chunk = []
            free_bytes = DATAGRAM_BYTES - HEADER_BYTES
        chunk.append(message)
        free_bytes -= message_bytes
    yield chunk


def pack_header(count: int, policy_mark: int) -> bytes:
    """Return the header of a datagram with `count` messages."""
    return bytes([HEADER_WITH_MARK | count, policy_mark] if policy_mark else [HEADER | count])


def amount_steps(units: float) -> int:
    """Return an amount in steps, clamped to the range of a message field."""
    return max(MIN_AMOUNT_STEPS, min(MAX_AMOUNT_STEPS, round(units * STEPS_PER_UNIT)))


def requested_steps(units: float) -> int:
    """Return the requested amount in steps; at least one step, because zero would make it a report."""
    steps = amount_steps(units)
    if steps or not units:
        return steps
    return 1 if units > 0 else -1


def pack_gossip(message: GossipMessage) -> bytes:
    """Return one encoded message; answer flag, slot grant and grant number share a byte."""
    flags = message.is_answer | message.slot_grant << SLOT_GRANT_SHIFT
    return MESSAGE.pack(
        message.customer,
        message.plan_index,
        message.set_first,
        message.set_size,
        flags | message.grant_number << GRANT_NUMBER_SHIFT,
        amount_steps(message.demand),
        amount_steps(message.spent),
        requested_steps(message.requested),
        amount_steps(message.level),
        max(0, min(IN_FLIGHT_LIMIT, message.in_flight)),
    )


def pack_observation(observation: AttemptObservation) -> bytes:
    """Return one encoded observation; class and success share a byte."""
    return OBSERVATION.pack(
        observation.server_checksum,
        observation.class_index << 1 | observation.succeeded,
        round(min(1.0, observation.relative_latency) * LATENCY_STEPS),
    )


def mark_of(data: bytes) -> int:
    """Return the mark of the policy in a datagram, 0 for none."""
    return data[1] if len(data) > 1 and data[0] & HEADER_TYPE_MASK == HEADER_WITH_MARK else 0


def unpack_message(data: bytes) -> tuple[tuple[GossipMessage, ...], tuple[AttemptObservation, ...]]:
    """Return the messages and observations of a datagram; none if it is malformed."""
    if mark_of(data):
        data = bytes([data[0] ^ HEADER_WITH_MARK ^ HEADER]) + data[2:]
    end = 1 + (data[0] ^ HEADER) * MESSAGE.size if data else 0
    holds_messages = 1 < end <= len(data) <= DATAGRAM_BYTES
    if not holds_messages or (len(data) - end) % OBSERVATION.size:
        return (), ()
    messages = tuple(unpack_gossip(*values) for values in MESSAGE.iter_unpack(data[1:end]))
    messages, observation_data = unpack_totals(messages, data[end:])
    observations = tuple(
        AttemptObservation(
            server, class_and_success >> 1, bool(class_and_success & 1), latency / LATENCY_STEPS
        )
        for server, class_and_success, latency in OBSERVATION.iter_unpack(observation_data)
    )
    return messages, observations


def unpack_gossip(
    customer: int,
    plan_index: int,
    set_first: int,
    set_size: int,
    flags: int,
    demand: int,
    spent: int,
    requested: int,
    level: int,
    in_flight: int,
) -> GossipMessage:
    """Return a message from the fields of its struct, in order; an unknown slot grant becomes NONE."""
    slot_grant = flags >> SLOT_GRANT_SHIFT & SLOT_GRANT_MASK
    return GossipMessage(
        customer,
        plan_index,
        set_first,
        set_size,
        bool(flags & 1),
        demand / STEPS_PER_UNIT,
        spent / STEPS_PER_UNIT,
        requested / STEPS_PER_UNIT,
        level / STEPS_PER_UNIT,
        in_flight,
        SlotGrant(slot_grant) if slot_grant in SLOT_GRANTS else SlotGrant.NONE,
        flags >> GRANT_NUMBER_SHIFT,
    )
