"""The states of the gateway's process, and its graceful shutdown after SIGTERM."""

import asyncio
import logging
from collections.abc import Callable
from enum import StrEnum

from orchidhatch.proxy.active_configuration import ActiveConfiguration
from orchidhatch.proxy.backends import MAX_STALL_US
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.request_lifecycle import ANSWER_MARGIN_US, RequestLifecycle

log = logging.getLogger(__name__)

# New connections may still arrive for up to 0.4 s after SIGTERM.
LATE_CONNECTIONS_S = 0.6
# How often a drain checks for clients that have become idle.
DRAIN_POLL_INTERVAL_S = 1.0
# SIGKILL follows SIGTERM after at least the longest deadline, counted as at most MAX_DEADLINE_US, plus
# KILL_GRACE_US. Requests from before SIGTERM may be unanswered at SIGKILL, later ones may not, also if they
# are unread behind an earlier one.
MAX_DEADLINE_US = 3_000_000
KILL_GRACE_US = 700_000
# How long before SIGKILL all answers are written.
KILL_MARGIN_US = ANSWER_MARGIN_US + MAX_STALL_US
# How often the process looks for unread commands between that time and SIGKILL.
KILL_POLL_INTERVAL_S = 0.01
# Iterations of the event loop of which at least one accepts new connections from the kernel.
ACCEPT_ITERATIONS = 3
# How long a replaced process without clients waits for SIGTERM before it exits by itself.
REPLACED_EXIT_DELAY_S = 10.0


class ProcessState(StrEnum):
    """The phases of a gateway process."""

    STARTING = "starting"
    SERVING = "serving"
    REPLACED = "replaced"
    """A successor process serves; this one answers its remaining requests."""
    ENDING = "ending"


TRANSITIONS: dict[ProcessState, frozenset[ProcessState]] = {
    ProcessState.STARTING: frozenset({ProcessState.SERVING, ProcessState.REPLACED, ProcessState.ENDING}),
    ProcessState.SERVING: frozenset({ProcessState.REPLACED, ProcessState.ENDING}),
    ProcessState.REPLACED: frozenset({ProcessState.ENDING}),
    ProcessState.ENDING: frozenset(),
}


class ProcessLifecycle:
    """Owner of the process's state; `finished` is set when a replaced process may exit."""

    def __init__(self, active: ActiveConfiguration, clients: Clients, requests: RequestLifecycle) -> None:
        self.active = active
        self.clients = clients
        self.requests = requests
        self.state = ProcessState.STARTING
        self.finished = asyncio.Event()
        self.terminated_us = 0
        """The earliest time at which SIGTERM may have arrived; 0 before it."""

    def note_termination(self) -> None:
        """Set the time of SIGTERM, which may have arrived earlier, during a stall of the process."""
        if not self.terminated_us:
            self.terminated_us = self.requests.loop_watch.arrival_us()

    def enter(self, state: ProcessState) -> None:
        """Change to `state` if TRANSITIONS allows it, else keep the current state."""
        if state in TRANSITIONS[self.state]:
            self.state = state

    async def drain(self, close: Callable[[], None]) -> None:
        """Answer late connections, then close idle ones, answer all open requests, and call `close`.

        The drain ends when all clients are gone. A remaining client has an unanswered command or a command in
        progress, and the usual time limits end its connection. No more commands are read from a client than
        those already open, as later answers could miss SIGKILL; it sends further commands to another gateway
        once its connection is closed. So every connection that may have such commands is closed before
        SIGKILL, whatever the deadline of the request that keeps it open.
        """
        was_replaced = self.state is ProcessState.REPLACED
        self.enter(ProcessState.ENDING)
        longest_deadline_us = max(request_class.deadline_us for request_class in self.active.settings.classes)
        time_left_us = min(MAX_DEADLINE_US, longest_deadline_us) + KILL_GRACE_US
        self.note_termination()
        answer_deadline_us = self.terminated_us + time_left_us - KILL_MARGIN_US
        self.requests.set_answer_deadline(answer_deadline_us)
        if not was_replaced:
            self.clients.accepts_clients = False
            await asyncio.sleep(LATE_CONNECTIONS_S)
        self.clients.stop_reading()
        while not await self.all_clients_left(self._poll_interval_s(answer_deadline_us)):
            self.clients.drain()
            if now_us() >= answer_deadline_us:
                self.requests.end_open_requests()
                self.clients.close_before_kill()
        close()

    @staticmethod
    def _poll_interval_s(answer_deadline_us: int) -> float:
        """Return how long a drain waits for clients before it looks at them again."""
        remaining_s = (answer_deadline_us - now_us()) / 1e6
        if remaining_s <= 0:
            return KILL_POLL_INTERVAL_S
        return min(DRAIN_POLL_INTERVAL_S, remaining_s)

    async def finish_replaced(self) -> None:
        """Answer the remaining requests after a handover, and finish unless SIGTERM arrives first."""
        while not await self.all_clients_left(DRAIN_POLL_INTERVAL_S):
            self.clients.drain()
        await asyncio.sleep(REPLACED_EXIT_DELAY_S)
        self.finished.set()

    async def all_clients_left(self, timeout_s: float) -> bool:
        """Return whether all clients are gone, including connections that only the kernel has accepted."""
        has_left = await self.clients.wait_closed(timeout_s)
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        return has_left and not self.clients.connections
