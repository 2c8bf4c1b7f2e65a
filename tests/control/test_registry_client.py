"""Calls between the services: what a response becomes, and which registry is asked."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from orchidhatch.control import http_client
from orchidhatch.control.http_client import Address, HttpResponse, NoResponse, call
from orchidhatch.control.registry_client import RegistryClient
from tests.sockets import HOST, refusing_address


@asynccontextmanager
async def answering(status: int, content: bytes, requests: list[str] | None = None) -> AsyncIterator[Address]:
    """A service that gives each request this response, and notes the request lines."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line, *fields = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
        headers = dict(field.lower().split(": ", 1) for field in fields)
        await reader.readexactly(int(headers.get("content-length", 0)))
        if requests is not None:
            requests.append(line)
        head = f"HTTP/1.1 {status} X\r\nOrchidhatch-Store: abc 7\r\nContent-Length: {len(content)}\r\n\r\n"
        writer.write(head.encode() + content)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, HOST, 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


@pytest.mark.parametrize(
    ("status", "content", "expected"),
    [
        (200, b'{"a":1}', HttpResponse(200, {"a": 1}, "abc 7")),
        (404, b'{"error":"none"}', HttpResponse(404, {"error": "none"}, "abc 7")),
        (200, b"serves", HttpResponse(200, "serves", "abc 7")),
        (200, b"", HttpResponse(200, None, "abc 7")),
    ],
)
async def test_call_gives_status_value_and_store(status: int, content: bytes, expected: HttpResponse) -> None:
    async with answering(status, content) as address:
        result = await call(address, "GET", "/x")
    assert result == expected and result.ok == (status == 200)


async def test_call_without_an_answer_gives_no_response() -> None:
    result = await call(refusing_address(), "GET", "/x")
    assert isinstance(result, NoResponse) and not result.ok and "refused" in result.reason


@pytest.mark.parametrize(
    ("status", "content"),
    [
        (503, b'{"error":"too many writes wait"}'),
        (409, b'{"error":"it follows 127.0.0.1:1, and takes no writes"}'),
        (409, b'{"error":"fenced: 127.0.0.1:1 is of term 3, this is of 2"}'),
    ],
)
async def test_client_stays_with_the_registry_that_takes_writes(status: int, content: bytes) -> None:
    refused: list[str] = []
    async with answering(status, content, refused) as replica, answering(200, b"{}") as primary:
        client = RegistryClient([replica, primary])
        for _ in range(2):
            assert (await client.call("POST", "/entries", {})).ok
    assert client.current_index == 1 and refused == ["POST /entries HTTP/1.1"]


@pytest.mark.parametrize("status", [400, 404, 409, 500])
async def test_client_returns_a_rejection(status: int) -> None:
    async with answering(status, b'{"error":"s-1 is at version 3, not 2"}') as primary:
        client = RegistryClient([primary, refusing_address()])
        result = await client.call("POST", "/entries", {})
    assert result.status == status and client.current_index == 0


async def test_client_without_a_writable_registry() -> None:
    """It returns the last response only if that says that the service is unavailable."""
    async with answering(503, b'{"error":"busy"}') as busy, answering(409, b'{"error":"fenced"}') as fenced:
        unavailable = await RegistryClient([fenced, busy]).call("POST", "/entries", {})
        silent = await RegistryClient([busy, refusing_address()]).call("POST", "/entries", {})
        replaced = await RegistryClient([busy, fenced]).call("POST", "/entries", {})
    assert unavailable.status == 503
    assert isinstance(silent, NoResponse) and isinstance(replaced, NoResponse)


async def test_response_beyond_the_length_is_none(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_client, "MAX_LIST_BYTES", 10)
    async with answering(200, b"[1234567]") as address:
        assert (await call(address, "GET", "/")).status == 200
    async with answering(200, b"[123456789]") as address:
        assert isinstance(await call(address, "GET", "/"), NoResponse)
