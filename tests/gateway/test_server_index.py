"""The index of servers by state."""

from orchidhatch.gateway.server_index import ServerIndex, ServersExcept
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.times import NEVER
from tests.helpers import S, servers


def warm_records(count: int) -> list[ServerRecord]:
    records = [ServerRecord(endpoint) for endpoint in servers(count)]
    for serial, record in enumerate(records):
        record.serial = serial
        record.warm_at_us = -NEVER
    return records


def test_unhealthy_servers_are_ejected_or_need_a_probe() -> None:
    index = ServerIndex()
    ejected, probed, healthy = warm_records(3)
    ejected.ejected_until_us = 10 * S
    probed.needs_probe = True
    for record in (ejected, probed, healthy):
        index.add(record, is_up=True)
    assert index.unhealthy_at(10 * S - 1) == [ejected, probed]
    assert index.unhealthy_at(10 * S) == [probed]
    assert list(index.unhealthy) == [probed]


def test_warm_servers_leave_the_warming_ones() -> None:
    index = ServerIndex()
    warming, warm = warm_records(2)
    warming.warm_at_us = 10 * S
    for record in (warming, warm):
        index.add(record, is_up=True)
    assert index.warming_at(10 * S - 1) == [warming]
    assert index.warming_at(10 * S) == []
    assert not index.warming


def test_servers_up_keep_the_order_of_the_list() -> None:
    index = ServerIndex()
    records = warm_records(4)
    for record in reversed(records):
        index.add(record, is_up=True)
    assert index.up == records
    index.add(records[1], is_up=False)
    assert index.up == [records[0], records[2], records[3]]
    assert index.position(records[3]) == 2 and not index.is_up(records[1])


def test_connected_servers_are_busy_or_have_answered_lately() -> None:
    index = ServerIndex()
    busy, silent, answered = warm_records(3)
    busy.in_flight[("a", 0)] = 0
    for record in (busy, silent, answered):
        index.add(record, is_up=True)
    for record in (silent, answered):
        index.record_answer(record)
    silent.last_answer_us = 5 * S
    answered.last_answer_us = 6 * S
    assert index.connected_since(5 * S) == [busy, answered]


def test_view_without_positions_is_the_list_without_them() -> None:
    records = warm_records(6)
    view = ServersExcept(records, [4, 0, 3])
    expected = [records[1], records[2], records[5]]
    assert list(view) == expected
    assert [view[position] for position in range(len(view))] == expected
    assert view[1:] == expected[1:]
