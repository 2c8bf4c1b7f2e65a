"""Commands that are wrong, and whatever their fields may hold."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.proxy import command_parser
from orchidhatch.proxy.command_parser import CommandError, CommandParser
from tests.sockets import CONFIG, CUSTOMER, Backend, Client, front_door, resp

PARSER = CommandParser(CONFIG)


FIELDS = "c=read,t=team,d=500"


@pytest.mark.parametrize(
    "arguments",
    [
        ("GET", "x"),
        ("svc.query", CUSTOMER, "a", FIELDS),
        ("SVC.QUERY",),
        ("SVC.QUERY", CUSTOMER, "a"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS, "BODY"),
        ("SVC.SUBMIT", CUSTOMER, "a", "c=settle,t=team,d=500"),
        ("SVC.QUERY", "b4d65521", "a", FIELDS),
        ("SVC.QUERY", "0" * 15 + "g", "a", FIELDS),
        ("SVC.QUERY", "f" * 16, "a", FIELDS),
        ("SVC.QUERY", CUSTOMER, "", FIELDS),
        ("SVC.QUERY", CUSTOMER, "a b", FIELDS),
        ("SVC.QUERY", CUSTOMER, "a", ""),
        ("SVC.QUERY", CUSTOMER, "a", "c=what,t=team,d=500"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=what,d=500"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=-5"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=1e3"),
        ("SVC.QUERY", CUSTOMER, "a", "c=settle,t=team,d=500"),
        ("SVC.SUBMIT", CUSTOMER, "a", FIELDS, "B"),
        ("SVC.SUBMIT", CUSTOMER, "a", "c=book,t=team,d=500", "B"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=nan"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=0"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=1_0"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units= 1"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=3"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",first=2"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",d=900"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",é=1"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",odd"),
        ("PING", "a", "b"),
    ],
)
async def test_wrong_command_gets_an_error_without_a_close(arguments: tuple[str, ...]) -> None:
    backend = Backend()
    async with front_door(backend) as (_, address):
        client = await Client.open(address)
        assert str(await client.ask(resp(*arguments))).startswith("-ERR ")
        assert await client.ask(resp("PING")) == b"PONG"
        assert backend.commands == []


TEXTS = ["read", "book", "team", "500", "", "=", "-1", "²"]


FIELD = st.tuples(st.sampled_from("ctdkrx"), st.sampled_from(TEXTS))


@given(st.sampled_from([b"SVC.QUERY", b"SVC.SUBMIT"]), st.lists(FIELD, max_size=6), st.booleans())
def test_any_fields_are_accepted_or_a_command_error(
    name: bytes, fields: list[tuple[str, str]], body: bool
) -> None:
    text = ",".join(f"{key}={word}" for key, word in fields)
    arguments = [name, CUSTOMER.encode(), b"a1", text.encode(), *[b"B"] * body]
    try:
        command = PARSER.parse(arguments, 0)
    except CommandError:
        return
    assert command.request.time_left_us == 500_000
    assert text.replace("d=500", "d=7") in command.payload(7_000).decode()


@pytest.mark.parametrize(
    "units",
    [
        pytest.param("1" * 60_000 + "x", id="letter"),
        pytest.param("1." + "1" * 60_000, id="fraction"),
        pytest.param("1e" + "1" * 60_000, id="exponent"),
    ],
)
def test_long_units_are_refused_unparsed(units: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one command of a bad client that holds the event loop for minutes (review case 6)."""
    parsed = []

    class RecordingPattern:
        @staticmethod
        def fullmatch(text: str) -> None:
            parsed.append(text)

    monkeypatch.setattr(command_parser, "DECIMAL_NUMBER", RecordingPattern)
    with pytest.raises(CommandError):
        PARSER.parse([b"SVC.QUERY", CUSTOMER.encode(), b"a", f"{FIELDS},units={units}".encode()], 0)
    assert parsed == []


@pytest.mark.parametrize("units", ["1", "+1", "1.", "1.5", ".5", "5e-1", "1.E+2", "000.25"])
def test_units_are_read_in_each_decimal_form(units: str) -> None:
    arguments = [b"SVC.QUERY", CUSTOMER.encode(), b"a", f"{FIELDS},units={units}".encode()]
    assert PARSER.parse(arguments, 0).request.units == float(units)


@pytest.mark.parametrize("units", ["", ".", "+", "1..", "1.5.5", "e5", "1e", "1e+", "-1", "0x1", "1" * 65])
def test_units_of_no_decimal_form_are_refused(units: str) -> None:
    with pytest.raises(CommandError):
        PARSER.parse([b"SVC.QUERY", CUSTOMER.encode(), b"a", f"{FIELDS},units={units}".encode()], 0)
