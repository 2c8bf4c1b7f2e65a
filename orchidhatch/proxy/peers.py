"""Gossip datagrams between the gateways of a tier."""

import asyncio
from collections.abc import Callable

from orchidhatch.gateway.actions import SendGossip
from orchidhatch.gateway.events import PeerMessage
from orchidhatch.gateway.gossip_codec import mark_of, pack_message, unpack_message
from orchidhatch.proxy.config import Address
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.wait_queues import WaitHistogram

MAX_UNSENT_BYTES = 16 * 1024
"""Bytes buffered for the socket; beyond that, datagrams are dropped, as the network may drop them anyway."""


class Peers(asyncio.DatagramProtocol):
    """Datagrams to and from the other gateways; malformed ones and those of unknown senders are dropped."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        gateway_index: int,
        on_message: Callable[[PeerMessage], None],
        account: CpuAccounting | None = None,
    ) -> None:
        self.addresses = addresses
        self.gateway_index = gateway_index
        self.on_message = on_message
        self.account = account or CpuAccounting()
        self.policy_mark = 0
        """The mark of the policy that sent messages are based on."""
        self.senders = {address: index for index, address in enumerate(addresses) if index != gateway_index}
        self.transport: asyncio.DatagramTransport | None = None
        self.is_writable = True
        self.waits = WaitHistogram()
        # Datagrams since the start: dropped on sending, malformed, and from unknown senders.
        self.dropped = 0
        self.malformed = 0
        self.from_unknown_senders = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Record that the socket is open."""
        self.transport = transport
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Process a datagram."""
        previous_category = self.account.enter(CostCategory.PEERS)
        try:
            self._read(data, self.senders.get(address))
        finally:
            self.account.leave(previous_category)

    def _read(self, data: bytes, sender: int | None) -> None:
        if sender is None:
            self.from_unknown_senders += 1
            return
        messages, observations = unpack_message(data)
        if messages:
            self.on_message(PeerMessage(sender, messages, observations, mark_of(data)))
        else:
            self.malformed += 1

    def error_received(self, error: OSError) -> None:
        """Ignore the error, such as of a peer that is down; datagrams may be lost in any case."""

    def pause_writing(self) -> None:
        """Record that the socket's buffer is full."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Record that the socket accepts datagrams again."""
        self.is_writable = True

    def send(self, action: SendGossip) -> None:
        """Send the messages to their peer, or drop them while the socket's buffer is full."""
        self.waits.note(action.waited_us)
        if not self.is_writable:
            self.dropped += 1
        elif self.transport and action.peer != self.gateway_index and action.peer < len(self.addresses):
            for datagram in pack_message(action.messages, action.observations, self.policy_mark):
                self.transport.sendto(datagram, self.addresses[action.peer])

    def close(self) -> None:
        """Close the socket."""
        if self.transport:
            self.transport.close()
