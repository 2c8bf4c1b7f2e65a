"""The decisions of one gateway: events go to the components that they concern, and requests go their way.

The components: overload (the paper's N and period), quota, quota_leaders, load_balancing and membership (the
servers), retries and handover.
"""

import itertools
import math
import zlib
from bisect import insort

from orchidhatch.gateway import actions, events, metrics, snapshots
from orchidhatch.gateway.attempts import NOT_RUN_RESULTS, OBSERVED_RESULTS, AttemptResult, LoadReport
from orchidhatch.gateway.constants import TICK_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import AttemptObservation
from orchidhatch.gateway.handover import HandoverPeer
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.leader_requests import LEADER_REPLY_TIMEOUT_US, MAX_LEADER_REQUESTS
from orchidhatch.gateway.load_balancing import LoadBalancer, Server
from orchidhatch.gateway.membership import Membership
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.retries import RetryPolicy
from orchidhatch.gateway.settings import Settings
from orchidhatch.gateway.times import NEVER

HAS_LATENCY = (AttemptResult.OK, AttemptResult.TIMEOUT)  # results that show how busy servers are
NEEDED_NEW, NEEDED_HELD = 0.5, 2.0  # mean latencies left: else all that is held would leave just too late


class GatewayCore:
    """One gateway: `handle` takes an event and a time in microseconds, and gives actions."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.context = context = DecisionContext(settings)
        self.overload = OverloadController(context)
        self.balancer = LoadBalancer(context)
        self.outbox = PeerOutbox(context)
        self.membership = Membership(context, self.balancer)
        self.quotas = QuotaLeaders(context, self.outbox, self.queues_unsent)
        self.retries = RetryPolicy(context, self.balancer, self.overload)
        self.handover_peer = HandoverPeer(context, self.balancer, self.membership, self.quotas, self.overload)
        self.requests: dict[str, InFlightRequest] = {}
        self.queue: list[tuple[float, int, InFlightRequest]] = []  # highest worth first, then by arrival
        self.awaiting_grant: list[InFlightRequest] = []  # for word of their quota
        self.timer_due_us, self.serial = NEVER, itertools.count()
        self.counters = metrics.RequestCounters()
        self.is_suspended = False  # whether nobody may be let in
        self.open = self.open_bytes = 0  # requests that are owed an answer, and what is kept of them
        self.on = {
            events.Request: self.on_request,
            events.AttemptEnded: self.on_outcome,
            events.TimerExpired: self.on_timer,
            events.ClientGone: self.on_client_gone,
            events.StreamStarted: self.on_stream_started,
            events.PeerMessage: self.on_peer_message,
            events.MetricsRequest: self.on_metrics,
            events.PolicyChange: self.on_policy,
            events.SuspendAdmission: self.on_suspend,
            events.EndpointList: self.membership.on_list,
            events.SetEjection: self.membership.on_maint,
            snapshots.HandoverEjection: self.membership.leave_out,
            events.StartHandover: lambda _: self.handover_peer.hand_over(self.requests.values()),
            snapshots.GatewaySnapshot: self.handover_peer.on_snapshot,
            events.HandoverPeerGone: self.handover_peer.on_gone,
            events.HandoverPeerUnknown: self.handover_peer.on_unknown,
            snapshots.HandoverSpend: self.handover_peer.on_spend,
            snapshots.HandoverAttempt: self.handover_peer.on_attempt,
            snapshots.HandoverAttemptEnd: self.handover_peer.on_attempt_end,
        }

    def handle(self, now_us: int, event: events.Event) -> list[actions.Action]:
        context = self.context
        context.now_us, context.actions = now_us, []
        if self.overload.period_start_us < 0:
            self.overload.period_start_us = context.started_us = now_us
        if act := self.on.get(type(event)):
            act(event)
        self.outbox.send()
        if (due := self.next_due_us()) < self.timer_due_us:
            self.timer_due_us = due
            context.actions.append(actions.SetTimer(due - now_us, 0))
        return context.actions

    def next_due_us(self) -> int:
        """When time alone may bring something about: held requests are looked at each tick, attempts that are
        out not at all, as their ends are told."""
        soonest = self.context.now_us + TICK_US
        if self.queue or self.quotas.slot_queues:
            return soonest
        dues = [
            self.overload.period_start_us + self.overload.period_length_us,
            *self.quotas.dues(),
            *self.outbox.dues(),
            *[job.decide_at_us for job in self.awaiting_grant],
        ]
        return max(soonest, math.ceil(min(dues)))

    def on_timer(self, _: events.TimerExpired) -> None:
        if self.context.now_us < self.timer_due_us:
            return
        self.timer_due_us = NEVER
        while self.context.now_us - self.overload.period_start_us >= self.overload.period_length_us:
            self.end_period()
        self.context.actions += metrics.wait_times(self)
        self.decide_waiting()
        self.queue = [entry for entry in self.queue if not self.expire(entry[2], NEEDED_HELD)]
        self.dequeue()
        self.quotas.renew()
        self.quotas.grant_all_slots()

    def end_period(self) -> None:
        self.overload.end_period()
        self.balancer.end_period(self.overload.rate, self.overload.period_length_us)
        self.quotas.forget_idle()
        self.overload.begin_period(len(self.balancer.up), self.overdue)
        self.context.actions += metrics.log_lines(self)

    def overdue(self) -> list[float]:
        """The ages of attempts that are out for longer than the mean, in aims."""
        now, means = self.context.now_us, self.balancer.mean_us
        return [
            min(1.0, (now - sent) / job.rule.latency_objective_us)
            for job in self.requests.values()
            if not job.is_streaming
            for sent in job.attempts.values()
            if now - sent > means[job.request.class_index]
        ]

    # --- requests that come ---

    def on_request(self, req: events.Request) -> None:
        key = snapshots.CustomerKey(
            zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size
        )
        customer = self.quotas.customer(key)
        rule = self.settings.classes[req.class_index]
        job = self.requests[req.id] = InFlightRequest(req, rule, customer, self.context.now_us)
        why = self.entry_rejection(req)
        self.open, self.open_bytes = self.open + 1, self.open_bytes + req.size_bytes
        if why:
            self.end(job, why)
        elif not self.expire(job, NEEDED_NEW):  # some come with no time left: they cost no quota
            self.admit(job)

    def entry_rejection(self, req: events.Request) -> str:
        """Why it is not looked at further, if so. Where as much is open as may be it can be told to come
        again, while time would only run out for it here."""
        set_, bytes_left = self.settings, self.settings.max_open_bytes - self.open_bytes
        if self.is_suspended or req.customer in set_.banned_customers:
            return "policy" if self.is_suspended else "banned"
        lacks_bytes = set_.max_open_bytes > 0 and bytes_left < req.size_bytes
        return "crowded" if 0 < set_.max_open_requests <= self.open or lacks_bytes else ""

    def admit(self, job: InFlightRequest) -> None:
        """The part while it lasts; else the chance rule, with word from the home where that is elsewhere."""
        customer, units = job.customer, job.request.units
        had_part = customer.has_local_share(units)
        chance = self.quotas.chance(customer, units)
        if chance is None:
            self.request_grant(job)
            return
        fresh = customer.has_fresh_answer(self.context.now_us)
        known = "home" if customer.is_leader else "old" if fresh else "unheard"
        self.decide(job, chance, "part" if had_part else known)
        if had_part and not customer.shares_slots():  # else the wish for a place tells it
            self.quotas.report_demand(customer)

    def request_grant(self, job: InFlightRequest) -> None:
        wait, job.grant_requests = (
            min(LEADER_REPLY_TIMEOUT_US, job.rule.latency_objective_us // 8),
            job.grant_requests + 1,
        )
        self.outbox.tally["asked"] += 1
        job.decide_at_us = min(self.context.now_us + wait, job.deadline_us - 4 * TICK_US)
        self.awaiting_grant.append(job)
        self.quotas.request_grant(job.customer, job.request.units)

    def on_peer_message(self, message: events.PeerMessage) -> None:
        self.outbox.tally["heard"] += 1
        for seen in message.observations:
            server = self.balancer.index.with_checksum(seen.server_checksum)
            if server and seen.class_index < len(self.settings.classes):
                latency = seen.relative_latency
                self.overload.signals["latency"] += [latency] if seen.succeeded or latency else []
                objective_us = self.settings.classes[seen.class_index].latency_objective_us
                self.balancer.observe(server, seen.class_index, seen.succeeded, latency * objective_us)
        if message.policy_mark == self.settings.policy_mark:  # else their amounts mean something else
            self.quotas.on_messages(message.sender, message.messages, self.on_grant_answer)

    def on_policy(self, told: events.PolicyChange) -> None:
        self.settings = self.context.settings = told.applied_to(self.settings)
        self.quotas.change_plans(told.plan_moves)

    def on_suspend(self, told: events.SuspendAdmission) -> None:
        self.is_suspended = told.is_suspended

    def on_grant_answer(self, customer: Customer | None) -> None:
        self.decide_waiting(customer)
        self.dequeue()

    def decide_waiting(self, told: Customer | None = None) -> None:
        """Decide on those that wait for word: theirs has come, or what is known here must do."""
        now = self.context.now_us
        ready = [job for job in self.awaiting_grant if job.customer is told][:1]
        self.outbox.tally["answered"] += len(ready)
        ready += [job for job in self.awaiting_grant if job.decide_at_us <= now and job not in ready]
        self.awaiting_grant = [job for job in self.awaiting_grant if job not in ready]
        for job in [job for job in ready if told or not job.is_answered]:
            if (
                told is None
                and job.grant_requests < MAX_LEADER_REQUESTS
                and now + LEADER_REPLY_TIMEOUT_US + 4 * TICK_US < job.deadline_us
            ):
                self.request_grant(job)  # words may be lost
                continue
            chance = job.customer.chance(job.request.units, known=told is not None)
            how = "answered" if told else "silent"
            if told is None:
                job.customer.back_off(now, self.context.random.random())
            job.customer.deduct_unreported_spend(job.request.units * chance)
            if not job.is_answered:  # else its client has left, and the home hears with the next word
                self.decide(job, chance, how)

    def decide(self, job: InFlightRequest, chance: float, how: str) -> None:
        self.counters.count_decision(how, self.context.now_us - job.customer.last_answer_us)
        job.is_in_quota, plan = self.context.random.random() < chance, job.customer.plan
        if job.is_in_quota:
            self.quotas.spend(job.customer, job.request.units)
        elif plan.over_quota_weight <= plan.over_quota_cost or self.overload.n_past is not None:
            self.end(job, "quota")
            return
        self.enqueue(job)
        self.dequeue()

    # --- requests that are held, and attempts ---

    def enqueue(self, job: InFlightRequest) -> None:
        job.queued_us, job.decide_at_us = self.context.now_us, NEVER
        insort(self.queue, (-job.priority, next(self.serial), job))

    def queues_unsent(self, customer: Customer) -> bool:
        return any(job.customer is customer and not job.servers for _, _, job in self.queue)

    def allowance(self) -> bool:
        return self.overload.allowance(self.balancer.warm)

    def dequeue(self) -> None:
        blocked, held = not self.allowance(), self.queue
        if blocked or not held:
            return
        self.queue = []
        for entry in held:
            job = entry[2]
            waits = job.is_answered or (
                not job.servers and (blocked or self.quotas.needs_slot(job.customer, job.request.units))
            )
            if server := None if waits else self.balancer.choose(job):
                self.send(job, server)
            elif not job.is_answered:
                self.queue.append(entry)  # where no server takes anything there is no need to look on
            blocked = blocked or not self.allowance() or not (waits or server)

    def expire(self, job: InFlightRequest, means: float) -> bool:
        """A held request is ended in time: refused when its aim is out of reach, where that is allowed."""
        now = self.context.now_us
        mean_us = self.balancer.mean_us[job.request.class_index]
        needed = min(means * mean_us, job.rule.latency_objective_us / 2)
        late = job.may_reject() and now + needed >= job.objective_us
        if not job.is_answered and (late or now + 2 * TICK_US >= job.deadline_us):
            self.end(job, metrics.rejection_reason(self, job))
        return job.is_answered

    def send(self, job: InFlightRequest, server: Server) -> None:
        customer, now = job.customer, self.context.now_us
        if not (number := len(job.servers)):
            self.overload.admitted += 1
            self.retries.earn()
            customer.charge_ceiling(job.request.units)
        job.servers.append(server)
        job.attempts[number] = now
        self.balancer.attempt_began(server, (job.request.id, number), now)
        customer.attempt_began()
        self.overload.in_flight += 1
        if not number:
            self.quotas.use_slot(customer)
        server.credit -= 1
        name, units = server.endpoint.name, 0.0 if number else job.request.units
        timeout_us, start_us = self.retries.timeout_us(job), self.retries.start_within_us(job)
        self.context.actions.append(actions.SendAttempt(job.request.id, name, timeout_us, start_us))
        if job.first_server is None:
            job.first_server, job.first_sent_us = server, now
        self.context.send_to_handover_peer(
            snapshots.HandoverAttempt(customer.key, job.request.id, number, name, now, units)
        )

    def retry(self, job: InFlightRequest, why: AttemptResult) -> bool:
        """Whether the request goes on after an attempt that ended so: on another server, or held for one."""
        if not self.retries.may_retry(job, why):
            return False
        if server := self.balancer.choose(job):
            self.retries.spend(why)
            self.send(job, server)
        elif job.first_server is None:
            self.enqueue(job)
        return server is not None or job.first_server is None

    def on_outcome(self, event: events.AttemptEnded) -> None:
        job = self.requests.get(event.id)
        if job is None or event.attempt not in job.attempts:
            return
        server = job.servers[event.attempt]
        job.customer.attempt_ended()
        del job.attempts[event.attempt]
        self.context.send_to_handover_peer(snapshots.HandoverAttemptEnd(event.id, event.attempt))
        if not job.is_streaming:
            self.overload.in_flight -= 1
            self.balancer.attempt_ended(server, (event.id, event.attempt))
        if not job.is_streaming or event.result is not AttemptResult.OK:
            self.learn(job, server, event)
        if (
            event.result is AttemptResult.NOT_SENT and not event.attempt
        ):  # its first never left: it draws nothing
            self.refund(job)
            job.customer.refund_ceiling(job.request.units)
        job.unrun_attempts += event.result in NOT_RUN_RESULTS
        job.first_server = None if job.unrun_attempts == len(job.servers) else job.first_server
        if event.is_final or job.is_answered:
            self.forget(job)
        elif not job.attempts and not self.retry(job, event.result):
            self.end(job, event.result.value)
        if not job.attempts:  # else a further attempt has its place
            self.quotas.report_in_flight(job.customer)

    def learn(self, job: InFlightRequest, server: Server, event: events.AttemptEnded) -> None:
        index, result, took = job.request.class_index, event.result, event.latency_us
        report = event.report or LoadReport()  # busy cores are the signal; a count only ranks servers
        loads = [load for load in (report.util, report.inflight, report.queue) if load is not None]
        self.overload.signals["util"] += [report.util] if report.util is not None else []
        lasted = took / job.rule.latency_objective_us if result in HAS_LATENCY else 0.0
        if result in OBSERVED_RESULTS:
            succeeded = result is AttemptResult.OK
            self.outbox.add_observation(AttemptObservation(server.checksum, index, succeeded, lasted))
        self.balancer.learn(server, index, event, loads[0] if loads else None)
        settles = self.settings.settles_units and event.actual_units and job.is_in_quota
        if result is AttemptResult.OK and settles:
            job.customer.spend(event.actual_units - job.request.units)
        if result in HAS_LATENCY:
            self.overload.signals["latency"].append(min(1.0, lasted))

    def on_stream_started(self, event: events.StreamStarted) -> None:
        """The value is the client's, as fast as that reads: the server's own part was until now."""
        job = self.requests.get(event.id)
        if job and event.attempt in job.attempts and not job.is_answered:
            server, job.is_streaming = job.servers[event.attempt], True
            self.close(job)
            self.overload.in_flight -= 1
            self.balancer.attempt_ended(server, (event.id, event.attempt))
            self.learn(
                job,
                server,
                events.AttemptEnded(
                    event.id, True, event.attempt, event.server, AttemptResult.OK, event.latency_us
                ),
            )

    # --- ends ---

    def end(self, job: InFlightRequest, why: str) -> None:
        self.counters.count_end(why)
        self.context.actions.append(
            actions.Reject(job.request.id, self.retries.retry_after_us(job, why))
            if job.may_reject()
            else actions.Fail(job.request.id)
        )
        self.forget(job)

    def on_client_gone(self, event: events.ClientGone) -> None:
        if event.id in self.requests:
            self.forget(self.requests[event.id])

    def close(self, job: InFlightRequest) -> None:
        """It is owed nothing more."""
        if not job.is_answered:
            job.is_answered = True
            self.open, self.open_bytes = self.open - 1, self.open_bytes - job.request.size_bytes

    def refund(self, job: InFlightRequest) -> None:
        if job.is_in_quota:
            self.quotas.spend(job.customer, -job.request.units)

    def forget(self, job: InFlightRequest) -> None:
        if not job.servers and not job.is_answered:
            self.refund(job)
        cancelled = job.attempts if self.settings.may_cancel and not job.is_answered else ()
        self.close(job)
        self.context.actions += [actions.CancelAttempt(job.request.id, number) for number in cancelled]
        if not job.attempts:
            self.requests.pop(job.request.id, None)

    # --- figures ---

    def on_metrics(self, _: events.MetricsRequest) -> None:
        self.context.actions.append(metrics.metrics_snapshot(self))
