"""The decisions of one gateway: events go to the components that they concern, and requests go their way.

The components: overload (the paper's N and period), quota, quota_leaders, load_balancing and membership (the
servers), retries and handover.
"""

import itertools
import math
import zlib
from bisect import insort

from orchidhatch.gateway import actions, events, metrics, snapshots
from orchidhatch.gateway.attempts import AttemptResult, LoadReport
from orchidhatch.gateway.constants import TICK_US
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.gossip import AttemptObservation
from orchidhatch.gateway.handover import Twin
from orchidhatch.gateway.in_flight import Job
from orchidhatch.gateway.load_balancing import SIGHTED, Routing, Server
from orchidhatch.gateway.membership import Membership
from orchidhatch.gateway.overload import Cap
from orchidhatch.gateway.peer_outbox import Words
from orchidhatch.gateway.quota import ASK_US, ASKS, Customer
from orchidhatch.gateway.quota_leaders import Homes
from orchidhatch.gateway.retries import Retries
from orchidhatch.gateway.settings import Settings
from orchidhatch.gateway.times import NEVER

HAS_LATENCY = (AttemptResult.OK, AttemptResult.TIMEOUT)  # results that show how busy servers are
NEEDED_NEW, NEEDED_HELD = 0.5, 2.0  # mean latencies left: else all that is held would leave just too late


class Gateway:
    """One gateway: `handle` takes an event and a time in microseconds, and gives actions."""

    def __init__(self, settings: Settings) -> None:
        self.set = settings
        self.desk = desk = DecisionContext(settings)
        self.cap, self.routing, self.words = Cap(desk), Routing(desk), Words(desk)
        self.membership = Membership(desk, self.routing)
        self.homes = Homes(desk, self.words, self.holds)
        self.retries = Retries(desk, self.routing, self.cap)
        self.twin = Twin(desk, self.routing, self.membership, self.homes, self.cap)
        self.jobs: dict[str, Job] = {}
        self.held: list[tuple[float, int, Job]] = []  # highest worth first, then by arrival
        self.waits: list[Job] = []  # for word of their quota
        self.alarm_us, self.serial = NEVER, itertools.count()
        self.counters = metrics.RequestCounters()
        self.barred = False  # whether nobody may be let in
        self.open = self.open_bytes = 0  # requests that are owed an answer, and what is kept of them
        self.on = {
            events.Request: self.on_request,
            events.AttemptEnded: self.on_outcome,
            events.TimerExpired: self.on_tick,
            events.ClientGone: self.on_end,
            events.StreamStarted: self.on_stream,
            events.PeerMessage: self.on_peer,
            events.MetricsRequest: self.on_survey,
            events.PolicyChange: self.on_policy,
            events.SuspendAdmission: self.on_bar,
            events.EndpointList: self.membership.on_list,
            events.SetEjection: self.membership.on_maint,
            snapshots.HandoverEjection: self.membership.leave_out,
            events.StartHandover: lambda _: self.twin.hand_over(self.jobs.values()),
            snapshots.GatewaySnapshot: self.twin.on_state,
            events.HandoverPeerGone: self.twin.on_gone,
            events.HandoverPeerUnknown: self.twin.on_unknown,
            snapshots.HandoverSpend: self.twin.on_spend,
            snapshots.HandoverAttempt: self.twin.on_send,
            snapshots.HandoverAttemptEnd: self.twin.on_end,
        }

    def handle(self, now_us: int, event: events.Event) -> list[actions.Action]:
        desk = self.desk
        desk.now, desk.actions = now_us, []
        if self.cap.period_us < 0:
            self.cap.period_us = desk.started_us = now_us
        if act := self.on.get(type(event)):
            act(event)
        self.words.send()
        if (due := self.next_look()) < self.alarm_us:
            self.alarm_us = due
            desk.actions.append(actions.SetTimer(due - now_us, 0))
        return desk.actions

    def next_look(self) -> int:
        """When time alone may bring something about: held requests are looked at each tick, attempts that are
        out not at all, as their ends are told."""
        soonest = self.desk.now + TICK_US
        if self.held or self.homes.queues:
            return soonest
        dues = [
            self.cap.period_us + self.cap.cc_us,
            *self.homes.dues(),
            *self.words.dues(),
            *[job.decide_us for job in self.waits],
        ]
        return max(soonest, math.ceil(min(dues)))

    def on_tick(self, _: events.TimerExpired) -> None:
        if self.desk.now < self.alarm_us:
            return
        self.alarm_us = NEVER
        while self.desk.now - self.cap.period_us >= self.cap.cc_us:
            self.end_period()
        self.desk.actions += metrics.wait_times(self)
        self.end_waits()
        self.held = [entry for entry in self.held if not self.expire(entry[2], NEEDED_HELD)]
        self.release()
        self.homes.renew()
        self.homes.grant_all_slots()

    def end_period(self) -> None:
        self.cap.end_period()
        self.routing.end_period(self.cap.rate, self.cap.cc_us)
        self.homes.forget()
        self.cap.begin_period(len(self.routing.up), self.overdue)
        self.desk.actions += metrics.log_lines(self)

    def overdue(self) -> list[float]:
        """The ages of attempts that are out for longer than the mean, in aims."""
        now, means = self.desk.now, self.routing.mean_us
        return [
            min(1.0, (now - sent) / job.rule.latency_objective_us)
            for job in self.jobs.values()
            if not job.streams
            for sent in job.out.values()
            if now - sent > means[job.req.class_index]
        ]

    # --- requests that come ---

    def on_request(self, req: events.Request) -> None:
        key = snapshots.CustomerKey(
            zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size
        )
        customer = self.homes.customer(key)
        job = self.jobs[req.id] = Job(req, self.set.classes[req.class_index], customer, self.desk.now)
        why = self.shut_out(req)
        self.open, self.open_bytes = self.open + 1, self.open_bytes + req.size_bytes
        if why:
            self.end(job, why)
        elif not self.expire(job, NEEDED_NEW):  # some come with no time left: they cost no quota
            self.admit(job)

    def shut_out(self, req: events.Request) -> str:
        """Why it is not looked at further, if so. Where as much is open as may be it can be told to come
        again, while time would only run out for it here."""
        set_, bytes_left = self.set, self.set.max_open_bytes - self.open_bytes
        if self.barred or req.customer in set_.banned_customers:
            return "policy" if self.barred else "banned"
        lacks_bytes = set_.max_open_bytes > 0 and bytes_left < req.size_bytes
        return "crowded" if 0 < set_.max_open_requests <= self.open or lacks_bytes else ""

    def admit(self, job: Job) -> None:
        """The part while it lasts; else the chance rule, with word from the home where that is elsewhere."""
        customer, units = job.customer, job.req.units
        had_part = customer.share >= units
        chance = self.homes.chance(customer, units)
        if chance is None:
            self.ask(job)
            return
        known = "home" if customer.is_leader else "old" if customer.is_fresh(self.desk.now) else "unheard"
        self.decide(job, chance, "part" if had_part else known)
        if had_part and not customer.shares_slots():  # else the wish for a place tells it
            self.homes.tell(customer.leader, customer, 0.0)

    def ask(self, job: Job) -> None:
        wait, job.asks = min(ASK_US, job.rule.latency_objective_us // 8), job.asks + 1
        self.words.tally["asked"] += 1
        job.decide_us = min(self.desk.now + wait, job.end_us - 4 * TICK_US)
        self.waits.append(job)
        self.homes.tell(job.customer.leader, job.customer, job.req.units)

    def on_peer(self, message: events.PeerMessage) -> None:
        self.words.tally["heard"] += 1
        for seen in message.observations:
            server = self.routing.by_checksum.get(seen.server_checksum)
            if server and seen.class_index < len(self.set.classes):
                latency = seen.relative_latency
                self.cap.signals["latency"] += [latency] if seen.succeeded or latency else []
                objective_us = self.set.classes[seen.class_index].latency_objective_us
                self.routing.observe(server, seen.class_index, seen.succeeded, latency * objective_us)
        if message.policy_mark == self.set.policy_mark:  # by another policy their amounts mean something else
            self.homes.hear(message.sender, message.messages, self.answered)

    def on_policy(self, told: events.PolicyChange) -> None:
        self.set = self.desk.set = told.applied_to(self.set)
        self.homes.move(told.plan_moves)

    def on_bar(self, told: events.SuspendAdmission) -> None:
        self.barred = told.is_suspended

    def answered(self, customer: Customer | None) -> None:
        self.end_waits(customer)
        self.release()

    def end_waits(self, told: Customer | None = None) -> None:
        """Decide on those that wait for word: theirs has come, or what is known here must do."""
        now = self.desk.now
        ready = [job for job in self.waits if job.customer is told][:1]
        self.words.tally["answered"] += len(ready)
        ready += [job for job in self.waits if job.decide_us <= now and job not in ready]
        self.waits = [job for job in self.waits if job not in ready]
        for job in [job for job in ready if told or not job.over]:
            if told is None and job.asks < ASKS and now + ASK_US + 4 * TICK_US < job.end_us:
                self.ask(job)  # words may be lost
                continue
            chance = job.customer.chance(job.req.units, known=told is not None)
            how = "answered" if told else "silent"
            if told is None:
                job.customer.back_off(now, self.desk.random.random())
            job.customer.unreported_spend -= job.req.units * chance  # as much the home has counted already
            if not job.over:  # else its client has left, and the home hears with the next word
                self.decide(job, chance, how)

    def decide(self, job: Job, chance: float, how: str) -> None:
        self.counters.count_decision(how, self.desk.now - job.customer.last_answer_us)
        job.in_quota, plan = self.desk.random.random() < chance, job.customer.plan
        if job.in_quota:
            self.homes.spend(job.customer, job.req.units)
        elif plan.over_quota_weight <= plan.over_quota_cost or self.cap.n_past is not None:
            self.end(job, "quota")
            return
        self.hold(job)
        self.release()

    # --- requests that are held, and attempts ---

    def hold(self, job: Job) -> None:
        job.held_us, job.decide_us = self.desk.now, NEVER
        insort(self.held, (-job.worth, next(self.serial), job))

    def holds(self, customer: Customer) -> bool:
        return any(job.customer is customer and not job.servers for _, _, job in self.held)

    def allowance(self) -> bool:
        return self.cap.allowance(self.routing.warm)

    def release(self) -> None:
        blocked, held = not self.allowance(), self.held
        if blocked or not held:
            return
        self.held = []
        for entry in held:
            job = entry[2]
            waits = job.over or (
                not job.servers and (blocked or self.homes.needs_slot(job.customer, job.req.units))
            )
            if server := None if waits else self.routing.choose(job):
                self.send(job, server)
            elif not job.over:
                self.held.append(entry)  # where no server takes anything there is no need to look on
            blocked = blocked or not self.allowance() or not (waits or server)

    def expire(self, job: Job, means: float) -> bool:
        """A held request is ended in time: refused when its aim is out of reach, where that is allowed."""
        now = self.desk.now
        needed = min(means * self.routing.mean_us[job.req.class_index], job.rule.latency_objective_us / 2)
        late = job.may_refuse() and now + needed >= job.aim_us
        if not job.over and (late or now + 2 * TICK_US >= job.end_us):
            self.end(job, metrics.rejection_reason(self, job))
        return job.over

    def send(self, job: Job, server: Server) -> None:
        customer, now = job.customer, self.desk.now
        if not (number := len(job.servers)):
            self.cap.accepted += 1
            self.retries.earn()
            customer.ceiling -= job.req.units
        job.servers.append(server)
        job.out[number] = server.in_flight[(job.req.id, number)] = now
        customer.in_flight, self.cap.out = customer.in_flight + 1, self.cap.out + 1
        if not number:
            self.homes.use_slot(customer)
        server.credit -= 1
        self.desk.actions.append(
            actions.SendAttempt(
                job.req.id, server.endpoint.name, self.retries.time_out(job), self.retries.begin_within(job)
            )
        )
        if job.ran_on is None:
            job.ran_on, job.ran_us = server, now
        self.desk.tell_twin(
            snapshots.HandoverAttempt(
                customer.key, job.req.id, number, server.endpoint.name, now, 0.0 if number else job.req.units
            )
        )

    def again(self, job: Job, why: AttemptResult) -> bool:
        """Whether the request goes on after an attempt that ended so: on another server, or held for one."""
        if not self.retries.may(job, why):
            return False
        if server := self.routing.choose(job):
            self.retries.pay(why)
            self.send(job, server)
        elif job.ran_on is None:
            self.hold(job)
        return server is not None or job.ran_on is None

    def on_outcome(self, event: events.AttemptEnded) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt not in job.out:
            return
        server, job.customer.in_flight = job.servers[event.attempt], job.customer.in_flight - 1
        del job.out[event.attempt]
        self.desk.tell_twin(snapshots.HandoverAttemptEnd(event.id, event.attempt))
        if not job.streams:
            self.cap.out -= 1
            del server.in_flight[(event.id, event.attempt)]
        if not job.streams or event.result is not AttemptResult.OK:
            self.learn(job, server, event)
        if (
            event.result is AttemptResult.NOT_SENT and not event.attempt
        ):  # its first never left: it draws nothing
            self.give_back(job)
            job.customer.ceiling += job.req.units
        job.unrun += event.result in (
            AttemptResult.REJECTED,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_SENT,
        )
        job.ran_on = None if job.unrun == len(job.servers) else job.ran_on
        if event.is_final or job.over:
            self.drop(job)
        elif not job.out and not self.again(job, event.result):
            self.end(job, event.result.value)
        if not job.out:  # else a further attempt has its place
            self.homes.report_in_flight(job.customer)

    def learn(self, job: Job, server: Server, event: events.AttemptEnded) -> None:
        index, result, took = job.req.class_index, event.result, event.latency_us
        report = event.report or LoadReport()  # busy cores are the signal; a count only ranks servers
        loads = [load for load in (report.util, report.inflight, report.queue) if load is not None]
        self.cap.signals["util"] += [report.util] if report.util is not None else []
        lasted = took / job.rule.latency_objective_us if result in HAS_LATENCY else 0.0
        if result in SIGHTED:
            self.words.see(AttemptObservation(server.checksum, index, result is AttemptResult.OK, lasted))
        self.routing.learn(server, index, event, loads[0] if loads else None)
        if result is AttemptResult.OK and self.set.settles_units and event.actual_units and job.in_quota:
            job.customer.spend(event.actual_units - job.req.units)
        if result in HAS_LATENCY:
            self.cap.signals["latency"].append(min(1.0, lasted))

    def on_stream(self, event: events.StreamStarted) -> None:
        """The value is the client's, as fast as that reads: the server's own part was until now."""
        job = self.jobs.get(event.id)
        if job and event.attempt in job.out and not job.over:
            server, job.streams = job.servers[event.attempt], True
            self.close(job)
            self.cap.out -= 1
            del server.in_flight[(event.id, event.attempt)]
            self.learn(
                job,
                server,
                events.AttemptEnded(
                    event.id, True, event.attempt, event.server, AttemptResult.OK, event.latency_us
                ),
            )

    # --- ends ---

    def end(self, job: Job, why: str) -> None:
        self.counters.count_end(why)
        self.desk.actions.append(
            actions.Reject(job.req.id, self.retries.come_again(job, why))
            if job.may_refuse()
            else actions.Fail(job.req.id)
        )
        self.drop(job)

    def on_end(self, event: events.ClientGone) -> None:
        if event.id in self.jobs:
            self.drop(self.jobs[event.id])

    def close(self, job: Job) -> None:
        """It is owed nothing more."""
        if not job.over:
            job.over = True
            self.open, self.open_bytes = self.open - 1, self.open_bytes - job.req.size_bytes

    def give_back(self, job: Job) -> None:
        if job.in_quota:
            self.homes.spend(job.customer, -job.req.units)

    def drop(self, job: Job) -> None:
        if not job.servers and not job.over:
            self.give_back(job)
        calls_off = self.set.may_cancel and not job.over
        self.close(job)
        self.desk.actions += [actions.CancelAttempt(job.req.id, number) for number in job.out if calls_off]
        if not job.out:
            self.jobs.pop(job.req.id, None)

    # --- figures ---

    def on_survey(self, _: events.MetricsRequest) -> None:
        self.desk.actions.append(metrics.metrics_snapshot(self))
