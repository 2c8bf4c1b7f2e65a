"""The decision core of one gateway: dispatches events to its components, and schedules the timer."""

import math
from collections.abc import Callable
from typing import Any

from orchidhatch.gateway import actions, events, snapshots
from orchidhatch.gateway.admission import Admission
from orchidhatch.gateway.attempt_control import AttemptControl
from orchidhatch.gateway.attempt_learning import AttemptLearning
from orchidhatch.gateway.attempt_sender import AttemptSender
from orchidhatch.gateway.constants import TICK_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.handover import HandoverPeer
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.membership import Membership
from orchidhatch.gateway.metric_names import MESSAGES_RECEIVED
from orchidhatch.gateway.metrics import MetricsReporter
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.request_completion import RequestCompletion
from orchidhatch.gateway.request_counters import RequestCounters
from orchidhatch.gateway.request_queue import RequestQueue
from orchidhatch.gateway.request_registry import RequestRegistry
from orchidhatch.gateway.retries import RetryPolicy
from orchidhatch.gateway.retry_after import RetryAfter
from orchidhatch.gateway.settings import Settings
from orchidhatch.gateway.times import NEVER


class GatewayCore:
    """Decides what one gateway does: `handle` takes an event and its time, and returns the actions.

    It uses neither sockets nor a clock: the same settings and events always give the same actions.
    """

    def __init__(self, settings: Settings) -> None:
        context = DecisionContext(settings)
        self.context = context
        self.requests = RequestRegistry(context)
        self.counters = RequestCounters()
        self.overload = OverloadController(context)
        self.balancer = LoadBalancer(context)
        self.membership = Membership(context, self.balancer)
        self.outbox = PeerOutbox(context)
        self.quotas = QuotaLeaders(context, self.outbox, self.has_unsent_request)
        self.handover_peer = HandoverPeer(context, self.balancer, self.membership, self.quotas, self.overload)
        self.retries = RetryPolicy(context, self.balancer)
        self.retry_after = RetryAfter(context, self.balancer, self.overload)
        self.completion = RequestCompletion(
            context, self.requests, self.quotas, self.retry_after, self.counters
        )
        self.sender = AttemptSender(context, self.overload, self.balancer, self.quotas, self.retries)
        self.queue = RequestQueue(
            context, self.overload, self.balancer, self.quotas, self.sender, self.completion
        )
        self.admission = Admission(
            context,
            self.requests,
            self.overload,
            self.outbox,
            self.quotas,
            self.queue,
            self.completion,
            self.counters,
        )
        self.learning = AttemptLearning(context, self.overload, self.balancer, self.outbox)
        self.attempts = AttemptControl(
            context,
            self.requests,
            self.overload,
            self.balancer,
            self.quotas,
            self.retries,
            self.sender,
            self.queue,
            self.completion,
            self.learning,
        )
        self.metrics = MetricsReporter(
            context,
            self.overload,
            self.balancer,
            self.outbox,
            self.queue,
            self.admission,
            self.counters,
        )
        self.timer_due_us = NEVER
        self.handlers = self.build_event_handlers()

    def build_event_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each event type that the core acts on."""
        return {
            events.Request: self.admission.on_request,
            events.AttemptEnded: self.attempts.on_attempt_ended,
            events.TimerExpired: self.on_timer,
            events.ClientGone: self.completion.on_client_gone,
            events.EndOpenRequests: self.completion.on_end_open_requests,
            events.StreamStarted: self.attempts.on_stream_started,
            events.PeerMessage: self.on_peer_message,
            events.MetricsRequest: self.on_metrics_request,
            events.PolicyChange: self.on_policy_change,
            events.SuspendAdmission: self.admission.on_suspend_admission,
            events.EndpointList: self.membership.on_endpoint_list,
            events.SetEjection: self.membership.on_set_ejection,
            snapshots.HandoverEjection: self.membership.set_ejection,
            events.StartHandover: lambda _: self.handover_peer.hand_over(self.requests),
            snapshots.GatewaySnapshot: self.handover_peer.on_snapshot,
            events.HandoverPeerGone: self.handover_peer.on_peer_gone,
            events.HandoverPeerUnknown: self.handover_peer.on_peer_unknown,
            snapshots.HandoverSpend: self.handover_peer.on_spend,
            snapshots.HandoverAttempt: self.handover_peer.on_attempt,
            snapshots.HandoverAttemptEnd: self.handover_peer.on_attempt_end,
        }

    @property
    def settings(self) -> Settings:
        """The settings in force; a policy change replaces them."""
        return self.context.settings

    def handle(self, now_us: int, event: events.Event) -> list[actions.Action]:
        """Handle an event and return the resulting actions.

        `now_us` must never decrease. Events of a type without a handler change nothing.
        """
        context = self.context
        context.now_us = now_us
        context.actions = []
        if self.overload.period_start_us < 0:
            self.overload.period_start_us = now_us
            context.started_us = now_us
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        self.outbox.send()
        self.set_timer()
        return context.actions

    # --- timers and control periods ---

    def set_timer(self) -> None:
        """Request a timer if the pending one would expire too late."""
        due_us = self.next_due_us()
        if due_us < self.timer_due_us:
            self.timer_due_us = due_us
            self.context.actions.append(actions.SetTimer(due_us - self.context.now_us, 0))

    def next_due_us(self) -> int:
        """Return the next time at which work is due without an event, at least one tick from now.

        Queued requests are checked every tick; attempts in flight need no timer, as their ends are events.
        """
        next_tick_us = self.context.now_us + TICK_US
        if self.queue.entries or self.quotas.slot_queues:
            return next_tick_us
        due_times_us = [
            self.overload.period_start_us + self.overload.period_length_us,
            *self.quotas.dues(),
            *self.outbox.dues(),
            *[request.decide_at_us for request in self.admission.awaiting_grant],
        ]
        return max(next_tick_us, math.ceil(min(due_times_us)))

    def on_timer(self, _: events.TimerExpired) -> None:
        """Do the work that is due; a timer that was replaced by an earlier one is ignored."""
        now_us = self.context.now_us
        if now_us < self.timer_due_us:
            return
        self.timer_due_us = NEVER
        while now_us - self.overload.period_start_us >= self.overload.period_length_us:
            self.end_period()
        self.context.actions += self.metrics.wait_times()
        self.admission.handle_overdue()
        self.queue.expire()
        self.queue.dequeue()
        self.quotas.renew()
        self.quotas.grant_all_slots()

    def end_period(self) -> None:
        """End the control period and begin the next."""
        self.overload.end_period()
        self.balancer.end_period(self.overload.admissions_per_s, self.overload.period_length_us)
        self.quotas.forget_idle()
        self.overload.begin_period(len(self.balancer.up), self.attempts.overdue_ages)
        self.context.actions += self.metrics.log_lines()

    # --- events that concern several components ---

    def on_peer_message(self, event: events.PeerMessage) -> None:
        """Record a peer's observations, and handle its gossip messages if it runs under the same policy."""
        self.outbox.tally[MESSAGES_RECEIVED] += 1
        self.learning.record_peer_observations(event.observations)
        if event.policy_mark == self.settings.policy_mark:
            self.quotas.on_messages(event.sender, event.messages, self.admission.on_grant_answer)

    def on_policy_change(self, event: events.PolicyChange) -> None:
        """Apply a new policy to the settings and to the customers' plans."""
        self.context.settings = event.applied_to(self.settings)
        self.quotas.change_plans(event.plan_moves)

    def on_metrics_request(self, _: events.MetricsRequest) -> None:
        """Reply with a MetricsSnapshot."""
        self.context.actions.append(self.metrics.snapshot())

    def has_unsent_request(self, customer: Customer) -> bool:
        """Return whether a request of the customer that was never sent is queued here."""
        return self.queue.has_unsent(customer)
