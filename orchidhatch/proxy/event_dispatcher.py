"""Delivers events to the decision core in batches and executes the actions that it returns.

All events that are pending at one time are a batch. They are passed to the core with the same time and in
order of arrival, and the actions of each are executed in order. An event that an action causes, such as the
end of an attempt that could not start, is part of a later batch.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from orchidhatch.gateway.actions import Action, EjectionResult, MetricsSnapshot, SetTimer
from orchidhatch.gateway.core import GatewayCore
from orchidhatch.gateway.events import Event, TimerExpired
from orchidhatch.gateway.snapshots import GatewaySnapshot
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.cpu_accounting import CostCategory, CpuAccounting

log = logging.getLogger(__name__)

# Delay before a timer fires again after the core raised an exception on it.
FAILED_TIMER_RETRY_US = 20_000
MIN_TIMER_WAIT_US = 1000

ActionHandlers = Mapping[type, tuple[CostCategory, Callable[..., None]]]


class EventDispatcher:
    """The only caller of the decision core: queues events and passes its actions to their handlers."""

    def __init__(self, core: GatewayCore, account: CpuAccounting) -> None:
        self.core = core
        self.account = account
        self.loop = asyncio.get_running_loop()
        self.pending_events: list[Event] = []
        self.longest_batch_us = 0
        self.handlers: ActionHandlers = {}
        self.fail_request: Callable[[str], None] = lambda request_id: None

    def set_handlers(self, handlers: ActionHandlers, fail_request: Callable[[str], None]) -> None:
        """Set the handler of each action type, and the function that fails a request on an internal error."""
        self.handlers = handlers
        self.fail_request = fail_request

    def post(self, event: Event) -> None:
        """Queue an event for the batch that runs in the next iteration of the event loop."""
        if not self.pending_events:
            self.loop.call_soon(self.run_batch)
        self.pending_events.append(event)

    def run_batch(self) -> None:
        """Pass all pending events to the core now."""
        previous = self.account.enter(CostCategory.DECISION_CORE)
        try:
            self._process_batch()
        finally:
            self.account.leave(previous)

    def _process_batch(self) -> None:
        now = now_us()
        events = self.pending_events
        self.pending_events = []
        for event in events:
            try:
                actions = self.core.handle(now, event)
            except Exception:
                log.exception("decision core failed: event=%r", event)
                self._recover_from(event)
                continue
            for action in actions:
                self._execute(action)
        self.longest_batch_us = max(self.longest_batch_us, now_us() - now)

    def _recover_from(self, event: Event) -> None:
        self.fail_request(getattr(event, "id", ""))
        if isinstance(event, TimerExpired):  # fires again, as the core depends on its timers
            self.set_timer(SetTimer(FAILED_TIMER_RETRY_US, event.token))

    def _execute(self, action: Action) -> None:
        category, handler = self.handlers[type(action)]
        previous = self.account.enter(category)
        try:
            handler(action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.fail_request(getattr(action, "id", ""))
        finally:
            self.account.leave(previous)

    def query(self, event: Event) -> Any:  # noqa: ANN401 - each query has its own type of answer
        """Return the core's answer to a query, after processing all pending events."""
        self.run_batch()
        answers = []
        for action in self.core.handle(now_us(), event):
            if isinstance(action, EjectionResult | MetricsSnapshot | GatewaySnapshot):
                answers.append(action)
            else:
                self._execute(action)
        return answers[0]

    def set_timer(self, action: SetTimer) -> None:
        """Post a timer event after the action's delay, never early."""
        self._fire_or_wait(now_us() + action.delay_us, action.token)

    def _fire_or_wait(self, due_us: int, token: int) -> None:
        """Post the timer event if it is due, else wait again.

        The event loop's timers have a resolution of milliseconds and may fire early. The core ignores an
        early timer event but still counts the timer as set, so it would never set another one.
        """
        remaining_us = due_us - now_us()
        if remaining_us > 0:
            wait_s = max(MIN_TIMER_WAIT_US, remaining_us) / 1e6
            self.loop.call_later(
                wait_s, self.account.run, CostCategory.DECISION_CORE, self._fire_or_wait, due_us, token
            )
        else:
            self.post(TimerExpired(token))
