"""The states of the gateway's process, and its graceful shutdown after SIGTERM."""

import asyncio
import logging
from collections.abc import Callable
from enum import StrEnum

from orchidhatch.proxy.active_configuration import ActiveConfiguration
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.request_lifecycle import ANSWER_MARGIN_US, RequestLifecycle

log = logging.getLogger(__name__)

# After SIGTERM new connections go on coming for up to 0.4 s.
SETTLE_S = 0.6
# How often a drain looks for clients that have become idle.
DRAIN_LOOK_S = 1.0
# SIGKILL comes this long after SIGTERM at the earliest: after the longest deadline, which counts as at most
# MOST_DEADLINE_US, and KILL_AFTER_US. What came in before may stay unanswered at it, what came later may not.
MOST_DEADLINE_US = 3_000_000
KILL_AFTER_US = 700_000
# Turns of the event loop, at least one of which asks the kernel for new connections.
TURNS_TO_ACCEPT = 3
# How long a process that was replaced waits for SIGTERM before it ends by itself.
REPLACED_STAY_S = 10.0


class ProcessState(StrEnum):
    """What a process is doing between its start and its exit."""

    STARTING = "starting"
    SERVING = "serving"
    REPLACED = "replaced"
    """A successor process serves; this one answers what is left."""
    ENDING = "ending"


TRANSITIONS: dict[ProcessState, frozenset[ProcessState]] = {
    ProcessState.STARTING: frozenset({ProcessState.SERVING, ProcessState.REPLACED, ProcessState.ENDING}),
    ProcessState.SERVING: frozenset({ProcessState.REPLACED, ProcessState.ENDING}),
    ProcessState.REPLACED: frozenset({ProcessState.ENDING}),
    ProcessState.ENDING: frozenset(),
}


class ProcessLifecycle:
    """Owner of the process's state; `finished` is set when a replaced process has nothing left to do."""

    def __init__(self, active: ActiveConfiguration, clients: Clients, requests: RequestLifecycle) -> None:
        self.active = active
        self.clients = clients
        self.requests = requests
        self.state = ProcessState.STARTING
        self.finished = asyncio.Event()
        self.terminated_us = 0
        """When the process was told to end, at the earliest; 0 before that."""

    def note_termination(self) -> None:
        """SIGTERM is handled now; it may have come while the process stood still."""
        if not self.terminated_us:
            self.terminated_us = self.requests.loop_watch.arrival_us()

    def enter(self, state: ProcessState) -> None:
        """Go to `state`; a state that does not follow the present one is not entered."""
        if state in TRANSITIONS[self.state]:
            self.state = state

    async def drain(self, close: Callable[[], None]) -> None:
        """Answer what still comes, then close idle connections, answer all that is in flight, and `close`.

        It ends when every client has left: one that stays has an answer or a command under way, and its
        connection is ended in time by the limits that hold for all. Of a client that sends on and on, no more
        is read than what is open, as an answer might come too late: it sends the rest to another gateway.
        """
        was_replaced = self.state is ProcessState.REPLACED
        self.enter(ProcessState.ENDING)
        longest_us = max(rule.deadline_us for rule in self.active.settings.classes)
        time_left_us = min(MOST_DEADLINE_US, longest_us) + KILL_AFTER_US
        self.note_termination()
        self.requests.answer_deadline_us = self.terminated_us + time_left_us - ANSWER_MARGIN_US
        if not was_replaced:
            self.clients.accepts_clients = False
            await asyncio.sleep(SETTLE_S)
        self.clients.read_no_more()
        while not await self.all_clients_left():
            self.clients.drain()
        close()

    async def finish_replaced(self) -> None:
        """Answer what is left after a successor took over, and finish if no SIGTERM comes soon."""
        while not await self.all_clients_left():
            self.clients.drain()
        await asyncio.sleep(REPLACED_STAY_S)
        self.finished.set()

    async def all_clients_left(self) -> bool:
        """Whether all clients have left, those included that only the kernel has accepted yet."""
        has_left = await self.clients.wait_closed(DRAIN_LOOK_S)
        for _ in range(TURNS_TO_ACCEPT):
            await asyncio.sleep(0)
        return has_left and not self.clients.connections
