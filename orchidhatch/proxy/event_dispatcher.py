"""Delivers events to the decision core in batches and carries out the actions that it returns.

What has come in by one moment is a batch: each of its events is handed to the core with the same time, in
order of arrival, and its actions are carried out in order. What an action itself causes (an attempt that
could not start) comes with a later batch.
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

# How soon a timer fires again when the core failed on it.
FAILED_TIMER_RETRY_US = 20_000
MIN_TIMER_WAIT_US = 1000

ActionHandlers = Mapping[type, tuple[CostCategory, Callable[..., None]]]


class EventDispatcher:
    """The only caller of the decision core: a queue of events in, a table of action handlers out."""

    def __init__(self, core: GatewayCore, account: CpuAccounting) -> None:
        self.core = core
        self.account = account
        self.loop = asyncio.get_running_loop()
        self.inbox: list[Event] = []
        self.longest_batch_us = 0
        self.handlers: ActionHandlers = {}
        self.fail_request: Callable[[str], None] = lambda request_id: None

    def connect(self, handlers: ActionHandlers, fail_request: Callable[[str], None]) -> None:
        """Set what carries out each type of action, and what fails a request over an internal fault."""
        self.handlers = handlers
        self.fail_request = fail_request

    def post(self, event: Event) -> None:
        """Add an event to the batch of this turn of the event loop."""
        if not self.inbox:
            self.loop.call_soon(self.run_batch)
        self.inbox.append(event)

    def run_batch(self) -> None:
        """Hand everything that has come in to the core now."""
        previous = self.account.enter(CostCategory.DECISION_CORE)
        try:
            self._handle_all()
        finally:
            self.account.leave(previous)

    def _handle_all(self) -> None:
        now = now_us()
        events = self.inbox
        self.inbox = []
        for event in events:
            try:
                actions = self.core.handle(now, event)
            except Exception:
                log.exception("the decision core failed on %r", event)
                self._recover_from(event)
                continue
            for action in actions:
                self._carry_out(action)
        self.longest_batch_us = max(self.longest_batch_us, now_us() - now)

    def _recover_from(self, event: Event) -> None:
        self.fail_request(getattr(event, "id", ""))
        if isinstance(event, TimerExpired):  # the core depends on its timers, so this one fires again
            self.set_timer(SetTimer(FAILED_TIMER_RETRY_US, event.token))

    def _carry_out(self, action: Action) -> None:
        category, handler = self.handlers[type(action)]
        previous = self.account.enter(category)
        try:
            handler(action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.fail_request(getattr(action, "id", ""))
        finally:
            self.account.leave(previous)

    def ask(self, event: Event) -> Any:  # noqa: ANN401 - each query has its own type of answer
        """Return the core's one answer to a query, after all that came in before it."""
        self.run_batch()
        answers = []
        for action in self.core.handle(now_us(), event):
            if isinstance(action, EjectionResult | MetricsSnapshot | GatewaySnapshot):
                answers.append(action)
            else:
                self._carry_out(action)
        return answers[0]

    def set_timer(self, action: SetTimer) -> None:
        """Post a timer event after the action's delay, never before it is due."""
        self._fire_or_wait(now_us() + action.delay_us, action.token)

    def _fire_or_wait(self, due_us: int, token: int) -> None:
        """Wait again if called early: the event loop's timers have a resolution of milliseconds.

        The core would ignore a timer that is early and, as it still counts it as set, never set another.
        """
        left_us = due_us - now_us()
        if left_us > 0:
            wait_s = max(MIN_TIMER_WAIT_US, left_us) / 1e6
            self.loop.call_later(
                wait_s, self.account.run, CostCategory.DECISION_CORE, self._fire_or_wait, due_us, token
            )
        else:
            self.post(TimerExpired(token))
