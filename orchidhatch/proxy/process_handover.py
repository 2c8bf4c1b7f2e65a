"""What one gateway process gives its successor, and what a successor goes on from.

The protocol between the two is in `handover`; this is the gateway's side of it.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import Event, HandoverPeerGone, HandoverPeerUnknown, StartHandover
from orchidhatch.gateway.handover_codec import to_plain
from orchidhatch.gateway.snapshots import GatewaySnapshot, HandoverEjection, HandoverMessage
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader, EndpointUpdate
from orchidhatch.proxy.event_dispatcher import EventDispatcher
from orchidhatch.proxy.handover import HandoverPeer, optional_fields
from orchidhatch.proxy.process_lifecycle import ProcessLifecycle, ProcessState

log = logging.getLogger(__name__)

# Between attempts to listen at the peers' address.
INITIAL_PEER_BACKOFF_S = 0.02
MAX_PEER_BACKOFF_S = 1.0
# The name of the socket in the directory that the two processes share.
HANDOVER_SOCKET = "molereach-hand-over.socket"


class ProcessHandover:
    """The process's part in a handover, before (as successor) and after (as predecessor)."""

    def __init__(
        self,
        shared: Path | None,
        process: ProcessLifecycle,
        dispatcher: EventDispatcher,
        clients: Clients,
        backends: Backends,
        catalog: EndpointListReader,
        apply_endpoints: Callable[[EndpointUpdate], None],
        stop_listening: Callable[[], None],
    ) -> None:
        """`shared` is the directory of the two processes, None for a process that takes part in none."""
        self.process = process
        self.dispatcher = dispatcher
        self.clients = clients
        self.backends = backends
        self.catalog = catalog
        self.apply_endpoints = apply_endpoints
        self.stop_listening = stop_listening
        self.peer = HandoverPeer(self, shared / HANDOVER_SOCKET) if shared else None

    # --- as successor ---

    async def take_over(self) -> bool:
        """Go on from the state of the process that serves; whether there was one with sound state."""
        has_state = await self.peer.take_over()
        if has_state:
            log.info("goes on from the process that served so far")
        else:
            self.dispatcher.post(HandoverPeerUnknown())  # until the peers' address is free
        return has_state

    async def begin_serving(self, has_state: bool, open_peers: Callable[[], Any]) -> None:
        """Tell the predecessor that clients are served here, and listen for a successor."""
        await self.peer.serve()
        self.backends.spawn(self._open_peers_when_free(has_state, open_peers))
        await self.peer.offer()

    async def _open_peers_when_free(self, has_state: bool, open_peers: Callable[[], Any]) -> None:
        """Listen for peers once the predecessor has released the address, or has ended."""
        backoff_s = INITIAL_PEER_BACKOFF_S
        while True:
            try:
                await open_peers()
                break
            except OSError as error:
                log.warning("cannot listen for peers yet: %s", error)
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_PEER_BACKOFF_S, 2 * backoff_s)
        if not has_state:
            self.dispatcher.post(HandoverPeerGone())

    def resume(self, state: GatewaySnapshot, known: Mapping[str, Any]) -> None:
        """Restore the predecessor's state; its endpoint list holds unless this one's is as new."""
        self.catalog.adopt_starts(known, {server.name: server.started_us for server in state.servers})
        newest = known if known["generation"] > self.catalog.version else self.catalog.snapshot()
        self.apply_endpoints(self.catalog.read(newest, EndpointListKind.FULL))
        self.dispatcher.run_batch()
        self.dispatcher.post(state)
        self.dispatcher.run_batch()
        for word in state.ejections:
            self.backends.ban(word.server, word.is_ejected)

    # --- as predecessor ---

    def handover_state(self) -> dict[str, Any]:
        """The snapshot that a successor goes on from."""
        state = self.dispatcher.ask(StartHandover())
        return {
            "state": to_plain(state),
            "known": self.catalog.snapshot(),
            "count": self.socket_counts(),
            **optional_fields(state),
        }

    def release(self) -> None:
        """Stop accepting, release the addresses and close idle connections: a successor serves."""
        log.info("another process serves from now on")
        self.process.enter(ProcessState.REPLACED)
        self.stop_listening()
        self.clients.drain()
        self.backends.spawn(self.process.finish_replaced())

    # --- both ---

    def socket_counts(self) -> tuple[int, int]:
        """How many sockets are held here: to clients, and to backends."""
        return len(self.clients.connections), self.backends.held

    def set_peer_socket_counts(self, clients: int, backends: int) -> None:
        """Count the other process's sockets against the limits of both."""
        self.clients.handover_peer_connections = clients
        self.backends.others = backends

    def handover_peer_sent(self, event: Event) -> None:
        """Apply what the other process did; an operator's change to a backend holds here too."""
        self.dispatcher.post(event)
        if isinstance(event, HandoverEjection):
            self.backends.ban(event.server, event.is_ejected)

    def send_to_handover_peer(self, action: HandoverMessage) -> None:
        """Send the other process what the decision core did, if there is one."""
        if self.peer:
            self.peer.send(action)

    def close(self) -> None:
        """End the connection to the other process and stop listening for a successor."""
        if self.peer:
            self.peer.close()
