"""The client side of a watch: an unending HTTP response with one line for each watch event."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import h11
import msgspec

from orchidhatch.control.errors import InvalidRequestError
from orchidhatch.control.http_client import MAX_LIST_BYTES, Address, format_address
from orchidhatch.control.http_response import STORE_HEADER
from orchidhatch.streams.http_input import MAX_RESPONSE_HEAD_BYTES, HttpInput
from orchidhatch.streams.line_splitter import LineSplitter, LineTooLongError

CONNECT_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 5.0  # without any data; a registry sends an empty line every 2 s
READ_SIZE_BYTES = 1 << 16


class WatchEvent(msgspec.Struct):
    """An event as on the wire: if `reset`, the whole endpoint list, else the changes since the last event."""

    generation: int
    reset: bool
    instances: list[Any]


class WatchConnection:
    """An open connection to a service whose endpoint list is watched."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._http = h11.Connection(h11.CLIENT)
        self._reader = reader
        self._writer = writer
        self._input = HttpInput(self._http, MAX_RESPONSE_HEAD_BYTES)
        self._splitter = LineSplitter(MAX_LIST_BYTES)

    async def open_watch(self, address: Address, target: str, store_name: str) -> str:
        """Request a watch and return the name of the store whose list is sent.

        `store_name` names the store that the generation in `target` belongs to, "" for none. Raises
        InvalidRequestError if the watch is refused, and the errors of `lines`.
        """
        headers = [("Host", format_address(address))]
        if store_name:
            headers.append((STORE_HEADER, store_name))
        request = h11.Request(method="GET", target=target, headers=headers)
        self._writer.write(self._http.send(request) + self._http.send(h11.EndOfMessage()))
        response = await self._next_event()
        while not isinstance(response, h11.Response):
            check_not_ended(response)
            response = await self._next_event()
        if response.status_code != 200:
            raise InvalidRequestError(f"the watch was refused with status {response.status_code}")
        return dict(response.headers).get(STORE_HEADER.lower().encode(), b"").decode(errors="replace")

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield each line without its line ending; an empty line is a heartbeat.

        Raises InvalidRequestError if the watch ends or a line is too long, TimeoutError after WATCH_TIMEOUT_S
        without data, and OSError or h11.ProtocolError if the connection fails.
        """
        while True:
            event = await self._next_event()
            check_not_ended(event)
            if isinstance(event, h11.Data):
                for line in self._split_lines(event.data):
                    yield line

    def _split_lines(self, data: bytes) -> list[bytes]:
        try:
            return self._splitter.feed(data)
        except LineTooLongError as error:
            raise InvalidRequestError("a line of the watch is too long") from error

    async def _next_event(self) -> h11.Event:
        event = self._input.next_event()
        while event in (h11.NEED_DATA, h11.PAUSED):
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                data = await self._reader.read(READ_SIZE_BYTES)
            self._input.receive_data(data)
            event = self._input.next_event()
        return event


@asynccontextmanager
async def connect_watch(address: Address) -> AsyncIterator[WatchConnection]:
    """Open a connection, which is aborted at the end of the block. Raises OSError or TimeoutError."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
    try:
        yield WatchConnection(reader, writer)
    finally:
        writer.transport.abort()


def check_not_ended(event: h11.Event) -> None:
    """Raise InvalidRequestError if the event is the end of the watch."""
    if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
        raise InvalidRequestError("the watch ended")


def decode_watch_event(line: bytes) -> WatchEvent:
    """Decode a line of a watch. Raises InvalidRequestError if it is malformed.

    The endpoints are not decoded here, so that a malformed one does not invalidate the others.
    """
    try:
        return msgspec.convert(json.loads(line), WatchEvent)
    except (ValueError, RecursionError) as error:  # msgspec's errors are ValueErrors
        raise InvalidRequestError(f"malformed watch event: {error!r:.120}") from error
