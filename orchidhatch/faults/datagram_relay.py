"""The relay of datagrams over a link: loses, doubles, reorders, delays or keeps them."""

import asyncio
from collections import deque
from collections.abc import Iterator

from orchidhatch.faults.links import Address, Link

MAX_QUEUED_DATAGRAMS = 10_000
"""That a held link keeps."""


class DatagramRelay(asyncio.DatagramProtocol):
    """Where one process's datagrams to another come in, and the other's to it go out from."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.transport: asyncio.DatagramTransport | None = None
        self.opposite: DatagramRelay | None = None
        """The relay of the same two processes, the other way round."""
        self.to: Address | None = None
        """The process that the datagrams that come in here go to."""
        self.held: deque[bytes] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        """Kept while the link is closed."""
        self.overtaken: bytes | None = None
        """Waits until the next has gone."""

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """The socket is open."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass on what came."""
        self._relay(data)

    def error_received(self, error: OSError) -> None:
        """A process that is down refuses its datagrams, as on a real network."""

    def resume(self) -> None:
        """Pass on what was kept while the link was closed."""
        held = self.held
        self.held = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        for data in held:
            self._relay(data)

    def _relay(self, data: bytes) -> None:
        direction = self.link.forward
        chance = self.link.chance
        if self.link.is_cut or chance.random() < direction.loss:
            return
        if direction.is_closed:
            self.held.append(data)
        elif self.overtaken is None and chance.random() < direction.reordering:
            self.overtaken = data
        else:
            for copy in self._copies(data):
                self._send_later(copy)

    def _copies(self, data: bytes) -> Iterator[bytes]:
        """The datagram, perhaps twice, and the one that it overtakes."""
        yield data
        if self.link.chance.random() < self.link.forward.duplication:
            yield data
        if self.overtaken is not None:
            overtaken = self.overtaken
            self.overtaken = None
            yield overtaken

    def _send_later(self, data: bytes) -> None:
        delay_s = self.link.forward.delay_for(len(data), self.link.chance)
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._send, data)
        else:
            self._send(data)

    def _send(self, data: bytes) -> None:
        if not self.opposite.transport.is_closing():
            self.opposite.transport.sendto(data, self.to)
