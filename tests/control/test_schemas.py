"""What the list service takes and gives: the protocol's form out, and nothing malformed in."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.control import schemas as forms
from orchidhatch.control.registry.store import Change, Entry, Remove
from orchidhatch.control.schemas import (
    InvalidRequestError,
    listing,
    read_after,
    read_change,
    read_register,
    read_remove,
    written,
)
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.proxy.endpoint_watch import Catalog
from tests.sockets import CONFIG

GIVEN = {
    "instanceId": "s-5be2a07c",
    "hostPort": "10.1.0.18:6379",
    "zone": "a",
    "machineType": "m2",
    "cell": 3,
    "lifecycle": "SERVING",
    "weight": 1.0,
    "startedAtMs": 0,
}


def body(**changes: object) -> bytes:
    """A registration as given above, with these changes; a field that is None is left out."""
    values = {**GIVEN, **changes}
    return json.dumps({key: value for key, value in values.items() if value is not None}).encode()


def test_list_is_in_the_protocols_form_to_the_letter() -> None:
    entry = read_register(body()).entry
    assert listing(41, True, [entry]) == (
        b'{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:6379",'
        b'"zone":"a","machineType":"m2","cell":3,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]}\n'
    )
    assert written(entry).items() >= {**GIVEN, "version": 0, "life": 0, "leaseMs": 0}.items()


def test_what_is_left_out_has_its_ordinary_value() -> None:
    found = read_register(body(cell=None, lifecycle=None, weight=None, startedAtMs=None, ifVersion=7))
    assert (found.entry.cell, found.entry.lifecycle, found.entry.weight, found.entry.started_ms) == (
        0,
        "SERVING",
        1.0,
        0,
    )
    assert found.if_version == 7 and read_register(body()).if_version is None


@pytest.mark.parametrize(
    ("given", "told"),
    [
        (b"", "not JSON"),
        (b"{", "not JSON"),
        (b"\xff", "not JSON"),
        (b"[]", "not a JSON object"),
        (b"[" * 4000, "not JSON"),
        (b" " * 9000, "longer than 8192"),
        (b'{"a":1,"a":2}', "given twice"),
        (body(extra=1), "'extra' is no field"),
        (body(zone=None), "zone: is needed"),
        (body(instanceId=""), "instanceId"),
        (body(instanceId="a/b"), "instanceId"),
        (body(instanceId=5), "instanceId"),
        (body(instanceId="x" * 65), "instanceId"),
        (body(instanceId="a\n"), "instanceId"),
        (body(hostPort="10.0.0.1"), "hostPort"),
        (body(hostPort="10.0.0.1:0"), "hostPort"),
        (body(hostPort="10.0.0.1:65536"), "hostPort"),
        (body(hostPort="10.0.0.1:08"), "hostPort"),
        (body(hostPort="evil:1"), "hostPort"),
        (body(hostPort="256.0.0.1:80"), "hostPort"),
        (body(hostPort="1.2.3.4.5:80"), "hostPort"),
        (body(hostPort=":80"), "hostPort"),
        (body(hostPort=["a", 1]), "hostPort"),
        (body(zone="a\u0000"), "zone"),
        (body(machineType=""), "machineType"),
        (body(cell=1.5), "cell"),
        (body(cell=True), "cell"),
        (body(cell=-1), "cell"),
        (body(cell=10**7), "cell"),
        (body(lifecycle="DELETED"), "lifecycle"),
        (body(lifecycle=["SERVING"]), "lifecycle"),
        (body(weight=0), "weight"),
        (body(weight=1e9), "weight"),
        (body(weight=float("nan")), "NaN"),
        (body(weight=float("inf")), "Infinity"),
        (body(weight="1"), "weight"),
        (body(startedAtMs=10**300), "startedAtMs"),
        (body(startedAtMs=-1), "startedAtMs"),
        (body(weight=1).replace(b'"weight": 1', b'"weight": 1e999'), "weight"),
        (body(cell=1).replace(b'"cell": 1', b'"cell": ' + b"9" * 3000), "cell"),
        (body(ifVersion="3"), "ifVersion"),
    ],
)
def test_what_is_not_in_form_is_told_in_one_plain_line(given: bytes, told: str) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        read_register(given)
    assert told in str(caught.value) and "\n" not in str(caught.value) and len(str(caught.value)) < 300


@given(
    st.binary(max_size=300)
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted([*GIVEN, "ifVersion", "life", "x"])), inner, max_size=9),
    ).map(lambda value: json.dumps(value).encode())
)
def test_whatever_comes_is_read_or_refused(given: bytes) -> None:
    for read in (read_register, lambda it: read_change("s-1", it), lambda it: read_remove("s-1", it)):
        try:
            read(given)
        except InvalidRequestError as error:
            assert "\n" not in str(error)


def test_changes_and_removals() -> None:
    assert read_change("s-1", b'{"lifecycle":"DRAINING","ifVersion":4}') == Change("s-1", "DRAINING", 4)
    assert read_remove("s-1", b"") == Remove("s-1")
    assert read_remove("s-1", b'{"life":9}') == Remove("s-1", None, 9)
    for words in (b"{}", b'{"lifecycle":"GONE"}'):
        with pytest.raises(InvalidRequestError, match="lifecycle"):
            read_change("s-1", words)
    with pytest.raises(InvalidRequestError, match="instanceId"):
        read_remove("../x", b"")


@pytest.mark.parametrize("value", ["", "-1", "1.0", "x", "\u0661", "9" * 17])
def test_generation_to_go_on_from_is_a_plain_number(value: str) -> None:
    with pytest.raises(InvalidRequestError):
        read_after(value)
    assert read_after("41") == 41


@given(
    st.builds(
        dict,
        instanceId=st.from_regex(forms.ID, fullmatch=True),
        zone=st.sampled_from(["a", "b", "zz"]),
        hostPort=st.integers(1, 65535).map(lambda port: f"127.0.0.1:{port}"),
        machineType=st.just("m2"),
        cell=st.integers(0, 99),
        lifecycle=st.sampled_from(["SERVING", "DRAINING"]),
        weight=st.floats(0.01, 100),
        startedAtMs=st.integers(0, 1 << 41),
    )
)
def test_front_door_reads_what_is_registered(given: dict[str, object]) -> None:
    entry: Entry = read_register(json.dumps(given).encode()).entry
    catalog = Catalog(CONFIG)
    news = catalog.news(json.loads(listing(3, True, [entry])))
    [server] = news.event.endpoints
    assert news.event.kind is EndpointListKind.FULL and server.name == given["instanceId"]
    assert news.addresses == {entry.id: ("127.0.0.1", int(entry.address.rpartition(":")[2]))}
    assert (server.state is EndpointState.UP) == (given["lifecycle"] == "SERVING")
    assert server.relative_capacity == given["weight"] and server.cell == given["cell"]
