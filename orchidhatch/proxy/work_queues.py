"""The current status of every place where work can wait, from the clients' sockets to the log."""

from orchidhatch.gateway.actions import MetricsSnapshot
from orchidhatch.gateway.peer_outbox import MESSAGES_LIMIT
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.log_writer import LogWriter
from orchidhatch.proxy.management import Management
from orchidhatch.proxy.peers import Peers
from orchidhatch.proxy.request_lifecycle import RequestLifecycle
from orchidhatch.proxy.wait_queues import QueueStatus, oldest_age


class WorkQueues:
    """Reads the depth, the limit and the oldest entry of every place where work waits."""

    def __init__(
        self,
        clients: Clients,
        backends: Backends,
        peers: Peers,
        requests: RequestLifecycle,
        management: Management,
        writer: LogWriter | None,
        max_open: int,
    ) -> None:
        self.clients = clients
        self.backends = backends
        self.peers = peers
        self.requests = requests
        self.management = management
        self.writer = writer
        self.max_open = max_open

    def statuses(self, snapshot: MetricsSnapshot) -> list[QueueStatus]:
        """Return the status of all places, in the order in which a request passes them."""
        return [
            self._unread_clients(),
            self._partial_commands(),
            self._queued_requests(snapshot),
            self._connecting_attempts(),
            self._unanswered_attempts(),
            self._unsent_bytes(),
            self._peer_messages(snapshot),
            self.management.queue_status(),
            *([self.writer.queue_status()] if self.writer else []),
        ]

    def _unread_clients(self) -> QueueStatus:
        clients = self.clients
        metrics = clients.metrics
        unread = [connection for connection in clients.connections if not connection.is_reading]
        oldest_us = max((clients.elapsed_us(connection.read_paused_s) for connection in unread), default=0)
        return QueueStatus(
            "unread",
            clients.max_connections,
            len(unread),
            oldest_us,
            metrics.evictions,
            metrics.unread_waits,
        )

    def _partial_commands(self) -> QueueStatus:
        clients = self.clients
        metrics = clients.metrics
        partial = [connection for connection in clients.connections if connection.reader.buffer]
        starts_s = [connection.input.awaiting_since_s() for connection in partial]
        waits_us = [clients.elapsed_us(start_s) for start_s in starts_s if start_s is not None]
        return QueueStatus(
            "partial",
            clients.max_connections,
            len(partial),
            max(waits_us, default=0),
            metrics.command_timeouts + metrics.refused_commands,
            metrics.partial_waits,
        )

    def _queued_requests(self, snapshot: MetricsSnapshot) -> QueueStatus:
        rejected = dict(snapshot.ended).get("crowded", 0)
        return QueueStatus(
            "held", self.max_open, snapshot.queued, snapshot.queued_us, rejected, self.requests.queue_waits
        )

    def _connecting_attempts(self) -> QueueStatus:
        backends = self.backends
        connecting = backends.connecting_attempts()
        oldest_us = oldest_age(now_us(), (attempt.sent_us for attempt in connecting))
        return QueueStatus(
            "connecting",
            backends.max_connections,
            len(connecting),
            oldest_us,
            backends.attempts_without_socket,
            backends.connect_waits,
        )

    def _unanswered_attempts(self) -> QueueStatus:
        backends = self.backends
        unanswered = backends.unanswered_attempts()
        oldest_us = oldest_age(now_us(), (attempt.written_us for attempt in unanswered))
        return QueueStatus(
            "backend",
            backends.max_connections,
            len(unanswered),
            oldest_us,
            backends.attempts_timed_out,
            backends.reply_waits,
        )

    def _unsent_bytes(self) -> QueueStatus:
        clients = self.clients
        backlog = clients.backlog
        metrics = clients.metrics
        unsent = [connection for connection in clients.connections if connection.unsent.memory_bytes]
        oldest_us = max(
            (clients.elapsed_us(connection.unsent.last_progress_s) for connection in unsent), default=0
        )
        return QueueStatus(
            "unsent_bytes",
            backlog.shed_limit_bytes(),
            backlog.unsent_bytes,
            oldest_us,
            metrics.slow_readers,
            metrics.unsent_waits,
        )

    def _peer_messages(self, snapshot: MetricsSnapshot) -> QueueStatus:
        peers = self.peers
        dropped = snapshot.messages_dropped + peers.dropped
        bound = MESSAGES_LIMIT * len(peers.addresses)
        return QueueStatus("peers", bound, snapshot.messages, snapshot.messages_us, dropped, peers.waits)
