"""Requests to the registry and its responses: the protocol's form out, and nothing malformed in."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.control.errors import InvalidRequestError
from orchidhatch.control.field_types import NAME_PATTERN
from orchidhatch.control.registry.endpoints import ChangeLifecycle, Endpoint, RemoveEndpoint
from orchidhatch.control.responses import encode_watch_event, endpoint_response
from orchidhatch.control.schemas import (
    read_after,
    read_change_lifecycle,
    read_register_endpoint,
    read_remove_endpoint,
)
from orchidhatch.gateway.endpoints import EndpointListKind, EndpointState
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader
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


def test_watch_event_has_the_protocols_form() -> None:
    """To the letter."""
    entry = read_register_endpoint(body()).endpoint
    assert encode_watch_event(41, True, [entry]) == (
        b'{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:6379",'
        b'"zone":"a","machineType":"m2","cell":3,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]}\n'
    )
    assert (
        msgspec.to_builtins(endpoint_response(entry)).items()
        >= {**GIVEN, "version": 0, "life": 0, "leaseMs": 0}.items()
    )


def test_registration_has_defaults_for_missing_fields() -> None:
    found = read_register_endpoint(
        body(cell=None, lifecycle=None, weight=None, startedAtMs=None, ifVersion=7)
    )
    assert (
        found.endpoint.cell,
        found.endpoint.lifecycle,
        found.endpoint.weight,
        found.endpoint.started_ms,
    ) == (
        0,
        "SERVING",
        1.0,
        0,
    )
    assert found.if_version == 7 and read_register_endpoint(body()).if_version is None


@pytest.mark.parametrize(
    ("given", "reason"),
    [
        (b"", "not JSON"),
        (b"{", "not JSON"),
        (b"\xff", "not JSON"),
        (b"[]", "not a JSON object"),
        (b"[" * 4000, "not JSON"),
        (b" " * 9000, "longer than 8192"),
        (b'{"a":1,"a":2}', "given twice"),
        (body(extra=1), "unknown field `extra`"),
        (body(zone=None), "missing required field `zone`"),
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
def test_malformed_registration_is_rejected_in_one_line(given: bytes, reason: str) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        read_register_endpoint(given)
    assert reason in str(caught.value) and "\n" not in str(caught.value) and len(str(caught.value)) < 300


@given(
    st.binary(max_size=300)
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted([*GIVEN, "ifVersion", "life", "x"])), inner, max_size=9),
    ).map(lambda value: json.dumps(value).encode())
)
def test_arbitrary_body_is_read_or_rejected(given: bytes) -> None:
    for read in (
        read_register_endpoint,
        lambda it: read_change_lifecycle("s-1", it),
        lambda it: read_remove_endpoint("s-1", it),
    ):
        try:
            read(given)
        except InvalidRequestError as error:
            assert "\n" not in str(error)


def test_changes_and_removals_have_their_conditions() -> None:
    assert read_change_lifecycle("s-1", b'{"lifecycle":"DRAINING","ifVersion":4}') == ChangeLifecycle(
        "s-1", "DRAINING", 4
    )
    assert read_remove_endpoint("s-1", b"") == RemoveEndpoint("s-1")
    assert read_remove_endpoint("s-1", b'{"life":9}') == RemoveEndpoint("s-1", None, 9)
    for content in (b"{}", b'{"lifecycle":"GONE"}'):
        with pytest.raises(InvalidRequestError, match="lifecycle"):
            read_change_lifecycle("s-1", content)
    with pytest.raises(InvalidRequestError, match="instanceId"):
        read_remove_endpoint("../x", b"")


@pytest.mark.parametrize("value", ["", "-1", "1.0", "x", "\u0661", "9" * 17])
def test_odd_generation_of_a_watch_is_rejected(value: str) -> None:
    with pytest.raises(InvalidRequestError):
        read_after(value)
    assert read_after("41") == 41


@given(
    st.builds(
        dict,
        instanceId=st.from_regex(NAME_PATTERN, fullmatch=True),
        zone=st.sampled_from(["a", "b", "zz"]),
        hostPort=st.integers(1, 65535).map(lambda port: f"127.0.0.1:{port}"),
        machineType=st.just("m2"),
        cell=st.integers(0, 99),
        lifecycle=st.sampled_from(["SERVING", "DRAINING"]),
        weight=st.floats(0.01, 100),
        startedAtMs=st.integers(0, 1 << 41),
    )
)
def test_gateway_reads_a_registered_endpoint(given: dict[str, object]) -> None:
    entry: Endpoint = read_register_endpoint(json.dumps(given).encode()).endpoint
    reader = EndpointListReader(CONFIG)
    update = reader.read(json.loads(encode_watch_event(3, True, [entry])))
    [server] = update.event.endpoints
    assert update.event.kind is EndpointListKind.FULL and server.name == given["instanceId"]
    assert update.addresses == {entry.id: ("127.0.0.1", int(entry.address.rpartition(":")[2]))}
    assert (server.state is EndpointState.UP) == (given["lifecycle"] == "SERVING")
    assert server.relative_capacity == given["weight"] and server.cell == given["cell"]
