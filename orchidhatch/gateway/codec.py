"""The forms on the wires: settings, load reports, peers' words, and what a process hands to the next."""

import math
import struct
from collections.abc import Iterable, Mapping
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, get_args, get_origin, get_type_hints

from orchidhatch.gateway.attempts import LoadReport
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage, SlotGrant
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from orchidhatch.gateway.snapshots import (
    HandoverAttempt,
    HandoverAttemptEnd,
    HandoverEjection,
    HandoverMessage,
    HandoverSpend,
)

EFFECTS = {
    "read_like": Idempotency.SAFE,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.UNSAFE,
}
# The fields of a load report: as the wire names them, and as the servers themselves do.
REPORT_FIELDS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "inflight": "inflight",
    "queue": "queue",
    "util": "util",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}

# A message between gateways: a mark with the number of words, the words (amounts in steps of 1 / UNIT), and
# what was seen of servers (class and success in one byte, latency in steps of 1 / PARTS).
MARK, MARKED = 0xA0, 0xB0  # the second where a byte with the mark of a policy comes next
WORD = struct.Struct("!IBHHBhhhhB")
SIGHTING = struct.Struct("!HBB")
MOST_CLASSES = 128  # that a sighting can name
UNIT, PARTS = 50, 255
MESSAGE_BYTES = 256
PLACES = frozenset(SlotGrant)  # an earlier version sends none, and takes an answer with one for an answer
MOST_TEXT, MOST_ROWS = 256, 100_000  # of what another process hands over
# The messages between two processes of a handover, by their names on the wire.
HANDOVER_MESSAGES: dict[str, type[HandoverMessage]] = {
    "TwinSpend": HandoverSpend,
    "TwinSend": HandoverAttempt,
    "TwinEnd": HandoverAttemptEnd,
    "TwinMaint": HandoverEjection,
}
HANDOVER_NAMES = {kind: name for name, kind in HANDOVER_MESSAGES.items()}


class Pairs:
    """The settings of an instance as texts by their paths; unknown paths are never asked for."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str = "") -> str:
        value = self.values.get(path, "-")
        return default if value == "-" else value

    def number(self, path: str, default: float = 0.0) -> float:
        text = self.text(path, str(default))
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            raise ValueError(f"{path} is '{text:.40}', not a number")
        return value

    def whole(self, path: str, default: int = 0) -> int:
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        return self.text(path, "false") in ("true", "1")


def read_class(pairs: Pairs, at: str) -> RequestClass:
    return RequestClass(
        latency_objective_us=pairs.whole(f"{at}.on-time-us"),
        deadline_us=pairs.whole(f"{at}.deadline-us"),
        priority_weight=pairs.number(f"{at}.points", 1.0),
        late_priority_weight=pairs.number(f"{at}.late-worth"),
        idempotency=EFFECTS[pairs.text(f"{at}.idempotency", "read_like")],
        dedup_scope=DeduplicationScope(pairs.text(f"{at}.group", "all")),
        dedup_window_us=pairs.whole(f"{at}.window-us"),
        streamed=pairs.flag(f"{at}.streamed"),
    )


def read_plan(pairs: Pairs, at: str) -> Plan:
    return Plan(
        rate=pairs.number(f"{at}.units-per-s"),
        burst=pairs.number(f"{at}.burst"),
        max_in_flight=pairs.whole(f"{at}.max-out"),
        priority_factor=pairs.number(f"{at}.value-factor", 1.0),
        over_quota_weight=pairs.number(f"{at}.extra-worth"),
        over_quota_cost=pairs.number(f"{at}.overrun-cost"),
        ceiling_rate=pairs.number(f"{at}.never-over-rate"),
        ceiling_burst=pairs.number(f"{at}.hard-burst"),
        ceiling_slack=pairs.number(f"{at}.hard-slack"),
    )


def read_settings(seed: int, pairs: Pairs) -> Settings:
    classes = range(pairs.whole("categories.count"))
    plans = range(pairs.whole("plans.count"))
    return Settings(
        seed=seed,
        gateway_index=pairs.whole("me"),
        gateway_count=pairs.whole("balancers", 1),
        classes=tuple(read_class(pairs, f"categories.{n}") for n in classes),
        plans=tuple(read_plan(pairs, f"plans.{n}") for n in plans),
        zone=pairs.whole("zone"),
        max_attempts=pairs.whole("ceilings.max-attempts", 1),
        max_retry_after_us=(
            pairs.whole("ceilings.max-retry-after-us") if pairs.flag("ceilings.retry-after") else 0
        ),
        may_hedge=pairs.flag("ceilings.parallel-tries"),
        may_probe=pairs.flag("ceilings.may-probe"),
        may_cancel=pairs.flag("ceilings.may-cancel"),
        may_gossip=pairs.flag("ceilings.peers"),
        may_use_counter=pairs.flag("extra.counter"),
        must_subscribe=pairs.text("registry-mode") == "subscribe",
        settles_units=pairs.flag("extra.trued-up"),
        peer_messages_per_s=pairs.number("extra.mail-per-s"),
        cross_zone_price=pairs.number("prices.cross-zone"),
        waste_price=pairs.number("prices.waste"),
        late_fail_price=pairs.number("prices.late-fail"),
        message_price=pairs.number("prices.peer"),
        probe_price=pairs.number("prices.probe"),
        answer_grace_us=pairs.whole("obligations.grace-to-answer-us"),
        poll_within_us=pairs.whole("obligations.ask-within-us"),
        cold_capacity=pairs.number("obligations.cold-from", 1.0),
        warm_up_us=pairs.whole("obligations.warm-within-us"),
        overload_multiple=pairs.number("obligations.fall-multiple", 1.0),
        overload_time_us=pairs.whole("obligations.fall-us", 1),
        conn_idle_us=pairs.whole("ceilings.conn-idle-us", 30_000_000),
        banned_customers=frozenset(filter(None, pairs.text("banned").split(","))),
    )


def read_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """A load report from names and values; unknown names and absent values are skipped."""
    return LoadReport(
        **{
            REPORT_FIELDS[name]: float(value)
            for name, value in values
            if name in REPORT_FIELDS and value not in ("", "-")
        }
    )


def pack_message(
    words: Iterable[GossipMessage], sightings: Iterable[AttemptObservation] = (), mark: int = 0
) -> list[bytes]:
    """Messages between gateways, each as long as the wire allows; sightings fill up the last one. The mark of
    a policy is from 1 to 255; a gateway of an earlier version passes over a message with one."""
    packed = [
        WORD.pack(
            word.customer,
            word.plan_index,
            word.set_first,
            word.set_size,
            word.is_answer | word.slot_grant << 1,
            *(
                max(-32768, min(32767, round(amount * UNIT)))
                for amount in (word.demand, word.spent, word.requested, word.level)
            ),
            max(0, min(255, word.in_flight)),
        )
        for word in words
    ]
    most = (MESSAGE_BYTES - 2) // WORD.size
    parts = [packed[n : n + most] for n in range(0, len(packed), most)]
    heads = [bytes([MARKED | len(part), mark] if mark else [MARK | len(part)]) for part in parts]
    messages = [head + b"".join(part) for head, part in zip(heads, parts, strict=True)]
    seen = [
        SIGHTING.pack(
            seen.server_checksum,
            seen.class_index << 1 | seen.succeeded,
            round(min(1.0, seen.relative_latency) * PARTS),
        )
        for seen in sightings
        if seen.class_index < MOST_CLASSES
    ]
    room = (MESSAGE_BYTES - len(messages[-1])) // SIGHTING.size
    messages[-1] += b"".join(seen[:room])
    return messages


def mark_of(data: bytes) -> int:
    """The mark of the policy that a message goes by; 0 for none."""
    return data[1] if len(data) > 1 and data[0] & 0xF0 == MARKED else 0


def unpack_message(data: bytes) -> tuple[tuple[GossipMessage, ...], tuple[AttemptObservation, ...]]:
    """The words and sightings of a message; none where it is not of this version's form."""
    if mark_of(data):
        data = bytes([data[0] ^ MARKED ^ MARK]) + data[2:]
    end = 1 + (data[0] ^ MARK) * WORD.size if data else 0
    if not 1 < end <= len(data) <= MESSAGE_BYTES or (len(data) - end) % SIGHTING.size:
        return (), ()
    words = tuple(
        GossipMessage(
            *key,
            bool(answer & 1),
            *(amount / UNIT for amount in amounts),
            out,
            SlotGrant(answer >> 1) if answer >> 1 in PLACES else SlotGrant.NONE,
        )
        for *key, answer, demand, spent, asked, level, out in WORD.iter_unpack(data[1:end])
        for amounts in [(demand, spent, asked, level)]
    )
    return words, tuple(
        AttemptObservation(server, kind >> 1, bool(kind & 1), latency / PARTS)
        for server, kind, latency in SIGHTING.iter_unpack(data[end:])
    )


def plain(value: object) -> object:
    """A record as JSON can hold it: its fields in order, and so on within."""
    if is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in fields(value)]
    return [plain(item) for item in value] if isinstance(value, tuple) else value


@cache
def field_kinds(kind: type) -> tuple[Any, ...]:
    return tuple(get_type_hints(kind).values())


def read_plain(kind: Any, value: object) -> Any:  # noqa: ANN401 - it gives whatever kind is asked for
    """The reverse of `plain`; a ValueError where a value is not of its field's kind."""
    if kind is float and type(value) in (int, float) and math.isfinite(value):
        return float(value)
    if kind is int and type(value) is int and abs(value) < 1 << 63:
        return value
    if type(value) is kind and (kind is bool or (kind is str and len(value) <= MOST_TEXT)):
        return value
    if isinstance(value, list) and get_origin(kind) is tuple and len(value) <= MOST_ROWS:
        return tuple([read_plain(get_args(kind)[0], item) for item in value])
    if isinstance(value, list) and kind not in (float, int, bool, str) and get_origin(kind) is None:
        kinds = field_kinds(kind)
        if len(kinds) == len(value):
            return kind(*map(read_plain, kinds, value))
    raise ValueError(f"{value!r:.40} is no {kind}")
