"""The gateway's side of a handover: the state that a predecessor sends and a successor restores.

The protocol between the two processes is in `handover`.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.events import Event, HandoverPeerGone, HandoverPeerUnknown, StartHandover
from orchidhatch.gateway.handover_codec import to_plain
from orchidhatch.gateway.snapshots import (
    GatewaySnapshot,
    HandoverAttempt,
    HandoverEjection,
    HandoverMessage,
)
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader, EndpointUpdate
from orchidhatch.proxy.event_dispatcher import EventDispatcher
from orchidhatch.proxy.handover import OPERATOR_DRAIN, RECENT_REQUESTS, HandoverPeer, optional_fields
from orchidhatch.proxy.process_lifecycle import ProcessLifecycle, ProcessState
from orchidhatch.proxy.request_lifecycle import RequestLifecycle
from orchidhatch.proxy.service_state import ServiceState, SuspensionReason

log = logging.getLogger(__name__)

# Delay between attempts to bind the address for gossip from peers.
INITIAL_PEER_BACKOFF_S = 0.02
MAX_PEER_BACKOFF_S = 1.0
# The name of the Unix socket in the directory that both processes share.
HANDOVER_SOCKET = "molereach-hand-over.socket"


class ProcessHandover:
    """A process's part in handovers, first as successor and later as predecessor."""

    def __init__(
        self,
        shared_directory: Path | None,
        process: ProcessLifecycle,
        service_state: ServiceState,
        requests: RequestLifecycle,
        dispatcher: EventDispatcher,
        clients: Clients,
        backends: Backends,
        endpoint_list_reader: EndpointListReader,
        apply_endpoints: Callable[[EndpointUpdate], None],
        stop_listening: Callable[[], None],
    ) -> None:
        """Create the handover part of a process.

        `shared_directory` is the directory of the handover socket, None to disable handover.
        """
        self.process = process
        self.service_state = service_state
        self.requests = requests
        self.dispatcher = dispatcher
        self.clients = clients
        self.backends = backends
        self.endpoint_list_reader = endpoint_list_reader
        self.apply_endpoints = apply_endpoints
        self.stop_listening = stop_listening
        self.peer = HandoverPeer(self, shared_directory / HANDOVER_SOCKET) if shared_directory else None

    # --- as successor ---

    async def take_over(self) -> bool:
        """Take over the state of the serving process; return whether there was one with a valid state."""
        has_state = await self.peer.take_over()
        if has_state:
            log.info("handover state received from the predecessor")
        else:
            self.dispatcher.post(HandoverPeerUnknown())  # until the gossip address is free
        return has_state

    async def begin_serving(self, has_state: bool, open_peers: Callable[[], Any]) -> None:
        """Tell the predecessor that this process serves clients, and listen for a successor."""
        await self.peer.announce_serving()
        self.backends.spawn(self._open_peers_when_free(has_state, open_peers))
        await self.peer.listen_for_successor()

    async def _open_peers_when_free(self, has_state: bool, open_peers: Callable[[], Any]) -> None:
        """Listen for gossip once the predecessor has released the address or exited."""
        backoff_s = INITIAL_PEER_BACKOFF_S
        while True:
            try:
                await open_peers()
                break
            except OSError as error:
                log.warning("cannot listen for peers, retrying: %s", error)
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_PEER_BACKOFF_S, 2 * backoff_s)
        if not has_state:
            self.dispatcher.post(HandoverPeerGone())

    def resume(
        self,
        state: GatewaySnapshot,
        known: Mapping[str, Any],
        recent_requests: Iterable[str],
        is_drained_by_operator: bool,
    ) -> None:
        """Restore the predecessor's state, and its endpoint list if it is newer than this process's own.

        Go on with a drain of the operators, which only they end.
        """
        if is_drained_by_operator:
            self.service_state.begin_drain(SuspensionReason.OPERATOR)
        self.requests.recent.note_all(recent_requests)
        self.endpoint_list_reader.adopt_starts(
            known, {server.name: server.started_us for server in state.servers}
        )
        newest = (
            known
            if known["generation"] > self.endpoint_list_reader.version
            else self.endpoint_list_reader.snapshot()
        )
        self.apply_endpoints(self.endpoint_list_reader.read(newest, EndpointListKind.FULL))
        self.dispatcher.run_batch()
        self.dispatcher.post(state)
        self.dispatcher.run_batch()
        for ejection in state.ejections:
            self.backends.set_ejected(ejection.server, ejection.is_ejected)

    # --- as predecessor ---

    def create_handover_state(self) -> dict[str, Any]:
        """Return the fields of the state message for a successor."""
        state = self.dispatcher.query(StartHandover())
        return {
            "state": to_plain(state),
            "known": self.endpoint_list_reader.snapshot(),
            "count": self.socket_counts(),
            OPERATOR_DRAIN: self.service_state.is_drained_by_operator(),
            RECENT_REQUESTS: [*self.requests.recent.ids(), *self.requests.ended, *self.requests.open],
            **optional_fields(state),
        }

    def release(self) -> None:
        """Stop accepting, release the addresses and close idle connections, as a successor serves."""
        log.info("handover complete, a successor serves")
        self.process.enter(ProcessState.REPLACED)
        self.stop_listening()
        self.clients.drain()
        self.backends.spawn(self.process.finish_replaced())

    # --- both ---

    def socket_counts(self) -> tuple[int, int]:
        """Return the numbers of open sockets to clients and to backends."""
        return len(self.clients.connections), self.backends.connection_count

    def set_peer_socket_counts(self, clients: int, backends: int) -> None:
        """Count the other process's sockets toward the limits that both processes share."""
        self.clients.handover_peer_connections = clients
        self.backends.handover_peer_connections = backends

    def apply_peer_event(self, event: Event) -> None:
        """Apply an event of the other process, including an operator's ejection of a backend."""
        self.dispatcher.post(event)
        if isinstance(event, HandoverAttempt):
            self.requests.recent.note(event.id)
        if isinstance(event, HandoverEjection):
            self.backends.set_ejected(event.server, event.is_ejected)

    def send_to_handover_peer(self, action: HandoverMessage) -> None:
        """Send a message of the decision core to the other process, if there is one."""
        if self.peer:
            self.peer.send(action)

    def close(self) -> None:
        """Close the connection to the other process and stop listening for a successor."""
        if self.peer:
            self.peer.close()
