"""The fields of handover records that are later than the version before."""

import json

import pytest

from orchidhatch.gateway.events import StartHandover
from orchidhatch.gateway.handover_codec import (
    from_plain,
    from_plain_with_optional,
    optional_to_plain,
    to_plain,
)
from orchidhatch.gateway.snapshots import CustomerKey, GatewaySnapshot, GrantRequestSnapshot, HandoverSpend
from tests.gateway.held_pair import HeldPair
from tests.helpers import of

KEY = CustomerKey(1, 0, 0, 4)
ANSWERED = GrantRequestSnapshot(KEY, number=3, opened_us=5, units=6.0, counted=6.0, spent=6.0)


def test_version_before_reads_a_record_with_optional_fields() -> None:
    record = HandoverSpend(KEY, 6.0, counted=6.0)
    assert json.loads(json.dumps(to_plain(record))) == [[1, 0, 0, 4], 6.0]


def test_record_of_the_version_before_has_the_defaults() -> None:
    assert from_plain(HandoverSpend, [[1, 0, 0, 4], 6.0]) == HandoverSpend(KEY, 6.0)


@pytest.mark.parametrize(
    ("record", "names"),
    [
        (HandoverSpend(KEY, 6.0), set()),
        (HandoverSpend(KEY, 6.0, 6.0), {"counted"}),
        (HandoverSpend(KEY, 0.0, 6.0, (ANSWERED,)), {"counted", "answered"}),
    ],
    ids=["none", "counted", "answered"],
)
def test_optional_fields_round_trip(record: HandoverSpend, names: set[str]) -> None:
    plain, optional = json.loads(json.dumps([to_plain(record), optional_to_plain(record)]))
    assert len(plain) == 2
    assert set(optional) == names
    assert from_plain_with_optional(HandoverSpend, plain, {**optional, "later": []}) == record


@pytest.mark.parametrize("optional", [{"counted": "6"}, {"counted": [6.0]}, {"counted": float("inf")}])
def test_malformed_optional_field_is_a_value_error(optional: dict[str, object]) -> None:
    with pytest.raises(ValueError):
        from_plain_with_optional(HandoverSpend, [[1, 0, 0, 4], 6.0], optional)


def test_version_before_reads_a_snapshot_with_grants() -> None:
    pair = HeldPair()
    pair.ask("a", units=6.0)
    pair.deliver_to_leader()
    for world, grants, totals in (
        (pair.member, "grant_requests", "report_streams"),
        (pair.leader, "counted_grants", "received_totals"),
    ):
        [snapshot] = of(GatewaySnapshot, pair.tell(world, StartHandover()))
        plain, optional = json.loads(json.dumps([to_plain(snapshot), optional_to_plain(snapshot)]))
        assert len(plain) == 7
        assert set(optional) == {grants, totals}
        assert [grant[3] for grant in optional[grants]] == [6.0]
        assert len(optional[totals]) == 1
        before = from_plain(GatewaySnapshot, plain)
        assert getattr(before, grants) == () and getattr(before, totals) == ()
        assert from_plain_with_optional(GatewaySnapshot, plain, optional_to_plain(snapshot)) == snapshot
