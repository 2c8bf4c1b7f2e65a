"""The gateway server: creates, connects, starts and closes the components of one gateway process.

The path of a request: `clients` reads a command, `request_lifecycle` posts it as an event,
`event_dispatcher` hands the event to the decision core and the core's actions to the handlers in
`GatewayServer.action_handlers`, `backends` sends the attempts, and `request_lifecycle` answers.
"""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

from orchidhatch.gateway.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    LogLine,
    Reject,
    SendAttempt,
    SendGossip,
    SetTimer,
    Subscribe,
    WaitTimes,
)
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.gateway.snapshots import HandoverAttempt, HandoverAttemptEnd, HandoverEjection, HandoverSpend
from orchidhatch.proxy.active_configuration import ActiveConfiguration
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.config import MIN_SOCKETS, SPARE_SOCKETS, Address, Config
from orchidhatch.proxy.configuration_reload import ConfigurationReloader
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader, EndpointUpdate
from orchidhatch.proxy.endpoint_watch import EndpointWatcher
from orchidhatch.proxy.event_dispatcher import ActionHandlers, EventDispatcher
from orchidhatch.proxy.guards import Guard
from orchidhatch.proxy.listening import closed_on_error, datagram_socket, stream_socket
from orchidhatch.proxy.local_errors import error_name, retry_local
from orchidhatch.proxy.log_writer import LogWriter
from orchidhatch.proxy.loop_watch import LoopWatch, poll_return_us
from orchidhatch.proxy.management import CallRouter, Management
from orchidhatch.proxy.management_handlers import ManagementHandlers
from orchidhatch.proxy.memory_budget import memory_budget
from orchidhatch.proxy.metrics import RequestMetrics
from orchidhatch.proxy.metrics_page import MetricsPage
from orchidhatch.proxy.peers import Peers
from orchidhatch.proxy.periodic_log import PeriodicLog
from orchidhatch.proxy.policy_guard import PolicyGuard
from orchidhatch.proxy.process_handover import ProcessHandover
from orchidhatch.proxy.process_lifecycle import ProcessLifecycle, ProcessState
from orchidhatch.proxy.process_limits import apply_descriptor_limit, create_core_settings
from orchidhatch.proxy.request_lifecycle import RequestLifecycle
from orchidhatch.proxy.send_backlog import SendBacklog
from orchidhatch.proxy.service_state import ServiceState
from orchidhatch.proxy.work_queues import WorkQueues

log = logging.getLogger(__name__)

Opened = TypeVar("Opened")

# How long the start waits for an endpoint list. The wait is shorter if a saved list is known: many gateways
# start during a release, and discovery may not answer for long.
FIRST_LIST_TIMEOUT_S = 0.3
NEWER_LIST_TIMEOUT_S = 0.05
# How often a successor looks whether its agent has confirmed the policy; the agent comes every 0.2 s.
POLICY_POLL_INTERVAL_S = 0.02
LISTEN_BACKLOG = 1024
# How long the start retries to open a socket.
OPEN_TIMEOUT_S = 2.0
# The clients' share of the sockets that remain without SPARE_SOCKETS.
CLIENT_SOCKET_SHARE = 0.6


class GatewayServer:
    """Owner of all components of one gateway process."""

    def __init__(self, config: Config, writer: LogWriter | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.active = ActiveConfiguration(config)
        self.account = CpuAccounting(config.settings.seed)
        self.max_descriptors = apply_descriptor_limit(config)
        self.core = GatewayCore(create_core_settings(config))
        self.dispatcher = EventDispatcher(self.core, self.account)
        self.request_metrics = RequestMetrics(config.class_numbers)
        self.guard = Guard()
        self.loop_watch = LoopWatch(turn_us=poll_return_us)
        self.requests = RequestLifecycle(
            self.active, self.request_metrics, self.dispatcher.post, self.guard, self.loop_watch
        )
        self._create_connections(config)
        self._create_endpoint_watch(config)
        self._create_process(config)
        self._create_operations(config, writer)
        self.requests.set_collaborators(self.clients, self.backends, self.policy_guard)
        self.service_state.set_policy_guard(self.policy_guard)
        self.dispatcher.set_handlers(self.action_handlers(), self.requests.fail_on_internal_error)

    def _create_connections(self, config: Config) -> None:
        sockets = max(MIN_SOCKETS, self.max_descriptors) - SPARE_SOCKETS
        max_clients = round(sockets * CLIENT_SOCKET_SHARE)
        budget = memory_budget(config.memory_mb)
        backlog = SendBacklog(budget.answers_bytes)
        self.backends = Backends(
            config.conn_idle_us,
            config.connect_timeout_us,
            sockets - max_clients,
            self.account,
            self.guard,
            self.loop_watch,
            backlog,
        )
        self.clients = Clients(
            max_clients,
            self.requests.start_request,
            self.requests.abandon_request,
            self.account,
            self.guard,
            self.loop_watch,
            backlog,
        )
        self.clients.max_partial_command_bytes = budget.input_bytes
        self.peers = Peers(config.peers, config.settings.gateway_index, self.dispatcher.post, self.account)
        self.peers.policy_mark = config.settings.policy_mark

    def _create_endpoint_watch(self, config: Config) -> None:
        self.endpoint_list_reader = EndpointListReader(config)
        known_update = self._apply_known_endpoints(config)
        self.discovery = EndpointWatcher(
            config.discovery,
            self.endpoint_list_reader,
            known_update.event.version if known_update else 0,
            self.apply_endpoints,
            config.settings.seed,
            config.settings.gateway_count,
            self.account,
            is_agent=not config.settings.must_subscribe,
        )
        self.backends.list_events_are_unread = self.discovery.has_unread

    def _create_process(self, config: Config) -> None:
        self.process = ProcessLifecycle(self.active, self.clients, self.requests)
        self.service_state = ServiceState(self.process, self.clients, self.dispatcher.post)
        self.policy_guard = PolicyGuard(
            config.policy, self.discovery.last_sign_of_life_s, self.service_state.suspend_admission
        )
        self.handover = ProcessHandover(
            config.shared_directory if config.socket_fd is not None else None,
            self.process,
            self.service_state,
            self.requests,
            self.dispatcher,
            self.clients,
            self.backends,
            self.endpoint_list_reader,
            self.apply_endpoints,
            self._stop_listening,
        )
        self.reloader = ConfigurationReloader(
            self.active, self.dispatcher, self.discovery, self.peers, self.policy_guard
        )

    def _create_operations(self, config: Config, writer: LogWriter | None) -> None:
        # The management server and the metrics page refer to each other, so the server's calls are set last.
        self.management = Management(CallRouter({}), self.account)
        self.queues = WorkQueues(
            self.clients,
            self.backends,
            self.peers,
            self.requests,
            self.management,
            writer,
            config.max_open,
        )
        self.metrics_page = self._create_metrics_page()
        self.management_handlers = ManagementHandlers(
            self.process,
            self.service_state,
            self.policy_guard,
            self.dispatcher,
            self.backends,
            self.metrics_page,
        )
        self.management.calls = CallRouter(self.management_handlers.routes())
        self.periodic_log = PeriodicLog(
            self.requests, self.dispatcher, self.clients, self.backends, self.account, self.max_descriptors
        )

    def _create_metrics_page(self) -> MetricsPage:
        return MetricsPage(
            self.request_metrics,
            self.dispatcher,
            self.requests,
            self.clients,
            self.backends,
            self.peers,
            self.management,
            self.account,
            self.queues,
            self.max_descriptors,
            self.guard,
        )

    def action_handlers(self) -> ActionHandlers:
        """Return the handler of each action type of the decision core, with its CPU cost category."""
        requests = self.requests
        send_to_handover_peer = (CostCategory.PEERS, self.handover.send_to_handover_peer)
        return {
            SendAttempt: (CostCategory.BACKENDS, requests.send),
            CancelAttempt: (CostCategory.BACKENDS, requests.cancel),
            Reject: (CostCategory.CLIENTS, requests.reject),
            Fail: (CostCategory.CLIENTS, requests.fail),
            SetTimer: (CostCategory.DECISION_CORE, self.dispatcher.set_timer),
            SendGossip: (CostCategory.PEERS, self.peers.send),
            LogLine: (CostCategory.LOG, log_core_line),
            WaitTimes: (CostCategory.DECISION_CORE, self.metrics_page.add_queued_time),
            CloseIdleConnections: (
                CostCategory.BACKENDS,
                lambda action: self.backends.close_idle(action.server),
            ),
            HandoverSpend: send_to_handover_peer,
            HandoverAttempt: send_to_handover_peer,
            HandoverAttemptEnd: send_to_handover_peer,
            HandoverEjection: send_to_handover_peer,
            Subscribe: (CostCategory.DISCOVERY, ignore_action),
            FetchEndpointList: (CostCategory.DISCOVERY, ignore_action),
        }

    # --- the endpoint list ---

    def _apply_known_endpoints(self, config: Config) -> EndpointUpdate | None:
        if not config.known_endpoint_list:
            return None
        try:
            update = self.endpoint_list_reader.read(config.known_endpoint_list, EndpointListKind.SAVED)
        except (KeyError, TypeError, ValueError) as error:
            log.error("saved endpoint list malformed: error=%s", error)
            return None
        self.apply_endpoints(update)
        return update

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        """Pass an endpoint list update to the decision core and to the connection pools."""
        is_full_list = update.event.kind is not EndpointListKind.CHANGES
        states = {server.name: server.state for server in update.event.endpoints}
        # Posted first: attempts that wait at removed backends end in `update`, and their retries need the new
        # list.
        self.dispatcher.post(update.event)
        self.backends.update(states, update.addresses, is_full_list)

    # --- start and close ---

    async def start(self) -> None:
        """Start to serve; return once clients are accepted. Raises OSError if an address cannot be bound."""
        config = self.active.config
        self.loop_watch.start()
        self.policy_guard.begin(is_suspended=True)
        if config.management:
            host, port = config.management
            await open_with_retries(lambda: self.management.start(host, port))
        self.periodic_log.schedule()
        if not self.handover.peer:
            await open_with_retries(self._open_peers)
        self.backends.spawn(self.discovery.run(), CostCategory.DISCOVERY)
        await self._wait_for_endpoints()
        if self.handover.peer:
            await self._serve_inherited(config.socket_fd)
        else:
            self.server = await open_with_retries(lambda: self._listen(config.listen))
        self.process.enter(ProcessState.SERVING)

    async def _wait_for_endpoints(self) -> None:
        """Wait briefly for an endpoint list: one newer than the saved list, or any if none is saved."""
        is_known = bool(self.endpoint_list_reader.entries)
        received = self.discovery.has_accepted_watch if is_known else self.discovery.has_update
        timeout_s = NEWER_LIST_TIMEOUT_S if is_known else FIRST_LIST_TIMEOUT_S
        try:
            await asyncio.wait_for(received.wait(), timeout_s)
        except TimeoutError:
            log.warning("no endpoint list from discovery in time; starting with the saved list")

    async def _listen(self, address: Address) -> asyncio.Server:
        """Accept clients at the address. Raises OSError if it cannot be bound."""
        with closed_on_error(stream_socket(address)) as listening:
            return await self.loop.create_server(
                self.clients.create_connection, sock=listening, backlog=LISTEN_BACKLOG
            )

    async def _serve_inherited(self, descriptor: int) -> None:
        """Serve on the inherited socket, with the predecessor's state if a predecessor is serving."""
        has_state = await self.handover.take_over()
        if has_state and not await self._wait_for_policy():
            log.warning("told to end before the policy was confirmed; the predecessor goes on")
            self.handover.close()
            return
        listening = socket.socket(fileno=descriptor)
        listening.setblocking(False)
        self.server = await self.loop.create_server(
            self.clients.create_connection, sock=listening, backlog=LISTEN_BACKLOG
        )
        await self.handover.begin_serving(has_state, self._open_peers)

    async def _wait_for_policy(self) -> bool:
        """Wait until the agent has confirmed the policy, or the predecessor that serves meanwhile has ended.

        Return False if this process is told to end first.
        """
        while self.policy_guard.is_suspended and self.handover.peer.connection:
            if self.process.terminated_us:
                return False
            await asyncio.sleep(POLICY_POLL_INTERVAL_S)
        return True

    async def _open_peers(self) -> None:
        config = self.active.config
        if config.settings.may_gossip and config.peer_listen:
            with closed_on_error(datagram_socket(config.peer_listen)) as opened:
                await self.loop.create_datagram_endpoint(lambda: self.peers, sock=opened)

    def _stop_listening(self) -> None:
        self.server.close()
        self.peers.close()

    def reload(self, config: Config) -> None:
        """Apply the parts of the configuration that may change while the gateway serves."""
        self.reloader.reload(config)

    async def drain(self) -> None:
        """Answer all requests in flight, then close."""
        await self.process.drain(self.close)

    def close(self) -> None:
        """Close all sockets and cancel all tasks."""
        if self.server:
            self.server.close()
        self.loop_watch.close()
        self.handover.close()
        self.service_state.close()
        self.periodic_log.close()
        self.management.close()
        self.peers.close()
        self.clients.close()
        self.backends.close()


async def open_with_retries(open_socket: Callable[[], Awaitable[Opened]]) -> Opened:
    """Open a socket, with retries on transient system errors.

    Raises OSError if it cannot be opened within OPEN_TIMEOUT_S.
    """
    last_errors: list[OSError] = []

    def note_failure(error: OSError) -> None:
        last_errors[:] = [error]
        log.warning("socket not opened, retrying: error=%s: %s", error_name(error), error)

    try:
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            return await retry_local(open_socket, asyncio.sleep, note_failure)
    except TimeoutError:
        raise (last_errors or [OSError("timed out opening a socket")])[0] from None


def log_core_line(action: LogLine) -> None:
    """Write a line of the decision core to the log."""
    log.info("%s", action.text)


def ignore_action(action: Action) -> None:
    """Ignore an action on the endpoint list subscription, as the watch is always open."""
