"""Datagrams between the front doors of a tier."""

import asyncio
from collections.abc import Callable

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.events import PeerMessage
from orchidhatch.gateway.gossip_codec import mark_of, pack_message, unpack_message
from orchidhatch.proxy.config import Address
from orchidhatch.proxy.cpu_accounting import Account, Place
from orchidhatch.proxy.wait_queues import Waits

MOST_UNSENT = 16 * 1024  # bytes that wait for the socket; what comes then is dropped, as words may be lost


class Peers(asyncio.DatagramProtocol):
    """Words to and from the other front doors; what strangers send or what is malformed is dropped."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        me: int,
        heard: Callable[[PeerMessage], None],
        account: Account | None = None,
    ) -> None:
        self.account = account or Account()
        self.addresses, self.me, self.heard = addresses, me, heard
        self.mark = 0  # of the policy that our words go by
        self.senders = {address: number for number, address in enumerate(addresses) if number != me}
        self.transport: asyncio.DatagramTransport | None = None
        self.waits, self.clogged = Waits(), False
        self.dropped = self.malformed = self.strange = 0  # datagrams, since the start

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(MOST_UNSENT)

    def datagram_received(self, data: bytes, address: Address) -> None:
        was = self.account.enter(Place.PEERS)
        try:
            self.read(data, self.senders.get(address))
        finally:
            self.account.leave(was)

    def read(self, data: bytes, sender: int | None) -> None:
        if sender is None:
            self.strange += 1
            return
        words, sightings = unpack_message(data)
        if words:
            self.heard(PeerMessage(sender, words, sightings, mark_of(data)))
        else:
            self.malformed += 1

    def error_received(self, error: OSError) -> None:
        """A peer that is down may show as an error here; words may be lost in any case."""

    def pause_writing(self) -> None:
        self.clogged = True

    def resume_writing(self) -> None:
        self.clogged = False

    def tell(self, action: SendGossip) -> None:
        self.waits.note(action.waited_us)
        if self.clogged:
            self.dropped += 1
        elif self.transport and action.peer != self.me and action.peer < len(self.addresses):
            for data in pack_message(action.messages, action.observations, self.mark):
                self.transport.sendto(data, self.addresses[action.peer])

    def close(self) -> None:
        if self.transport:
            self.transport.close()
