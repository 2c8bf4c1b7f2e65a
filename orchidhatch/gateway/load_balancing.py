"""Where an attempt goes: what is known of each server, which may be chosen, and at what expected wait."""

import math
from collections.abc import Sequence

from orchidhatch.gateway.attempts import OBSERVED_RESULTS, UNINFORMATIVE_RESULTS, AttemptResult
from orchidhatch.gateway.constants import LEAST_OUT, SMOOTH, START_PER_SERVER
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import AttemptEnded
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.server_index import ServerIndex, Without
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency
from orchidhatch.gateway.times import S

CHOICES = 8  # servers looked at for one attempt: many gateways that all take the emptiest would flood it
# A server in trouble is passed over by how much worse than usual it is. Less says nothing: it is within
# chance, and as all gateways know the same they would all take the one that seems best.
WORST, USUAL_TROUBLE = 4.0, 1.5
SUSPECT_AT = 1.7  # two failures running, or a mix with more failures than answers
SUSPECT_US, SUSPECT_MAX_US = S, 8 * S  # the first and the longest time without a trial
SLOW_START_US = 8 * S  # after a return from suspicion: about the longest time away
LEAST_PACE, MOST_PACE, PACE_STEP = 0.5, 2.0, 0.1  # of a cold server: twice its share is still under its bound
# How much longer a wait a new connection is worth: less than one more attempt out there (2). It counts where
# attempts are so few that, spread evenly, a server would get fewer than KEPT_USES while a connection is kept.
NEW_CONNECTION, KEPT_USES = 1.5, 2
SUBSET = CHOICES  # connections to as many as are looked at: others are opened only where these take nothing
# Past this many servers in slow start or ejected, a choice looks at this many by chance, not at all of them.
MOST_SCANNED = 128
AVOID_US = 300_000  # a server that turned a request away is full for about a service time
REPORT_FRESH_US = 1.5 * S  # a load report older than this says nothing
# How long a server is held to be able to do what it did: a release takes less, and while it lasts, fewer are
# sent on because servers are cold. What these may take must not shrink with that.
USUAL_US = 30 * S


class Server(ServerRecord):
    """A server of the list, and how it has served."""

    def decay(self) -> None:
        """A slow one that is sent nothing must get its chance again."""
        self.relative_latency += SMOOTH * (1 - self.relative_latency)
        self.fault_score += SMOOTH * (1 - self.fault_score)


class LoadBalancer:
    """The servers that may be sent new work, how warm and well they are, and the choice among them.

    What is true of few servers is kept in `index`; nothing here looks at all of them for a request.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.servers: dict[str, Server] = {}  # of the list, by name
        self.index: ServerIndex[Server] = ServerIndex()
        self.mean_us = [rule.latency_objective_us / 4 for rule in context.settings.classes]
        self.mean_load = 0.0  # of the servers, as they say
        self.kept_us = context.settings.conn_idle_us / 2  # how long connections are kept here, idle
        self.spread_thin = False
        # At one server from here at once.
        self.most_in_flight = max(LEAST_OUT, 2 * START_PER_SERVER // context.settings.gateway_count)
        self.usual = 0.0  # first attempts a second that a warm server was sent from here when all went well
        self.warm = 0.0  # the servers that may be sent new work, a cold one as the part that is warm

    @property
    def up(self) -> list[Server]:
        """Those that may be sent new work, in the order of the list."""
        return self.index.up

    def count_warm(self) -> None:
        """Count the servers up, one in slow start as the part that is warm."""
        warming = self.index.in_order(self.index.warming_at(self.context.now_us))
        self.warm = len(self.up) - len(warming) + sum(map(self.warmth, warming))

    def end_period(self, rate: float, lasted_us: int) -> None:
        for server in list(self.index.marked):
            server.decay()
            self.index.update_marked(server)
        self.spread_thin = rate * self.kept_us / S < KEPT_USES * len(self.up)
        fade = math.exp(-lasted_us / USUAL_US)
        self.usual = max(rate / max(1, len(self.up)), self.usual * fade)
        self.count_warm()

    # --- attempts in flight, and the index ---

    def attempt_began(self, server: Server, name: tuple[str, int], sent_us: int) -> None:
        """An attempt, by its request and number, is in flight at the server."""
        server.in_flight[name] = sent_us
        if self.is_listed(server):
            self.index.busy[server] = None

    def attempt_ended(self, server: Server, name: tuple[str, int]) -> None:
        """The attempt is in flight no more; nothing where it was not."""
        server.in_flight.pop(name, None)
        if not server.in_flight:
            self.index.busy.pop(server, None)

    def is_listed(self, server: Server) -> bool:
        """Whether the index may hold the server: attempts may end at one that has left the list."""
        return self.servers.get(server.endpoint.name) is server

    # --- the choice ---

    def choose(self, job: InFlightRequest) -> Server | None:
        """The least expected wait among a few of those that the rules and their health allow.

        How busy a server is shows little in what one of many gateways has out there: a cold one is neither
        to idle beside empty warm ones nor to be flooded as the emptiest; it gets first what it has earned.
        """
        if job.first_server and job.rule.idempotency is not Idempotency.SAFE:
            room = self.room_in_group(job)
        elif len(self.index.warming) + len(self.index.suspect) > MOST_SCANNED:
            room = self.room_by_chance(job)
        else:
            room = self.room(job)
        return min(self.context.random.sample(room, min(CHOICES, len(room))), key=self.cost, default=None)

    def room(self, job: InFlightRequest) -> Sequence[Server]:
        """Those that may be sent an attempt of the request, by looking at the few that perhaps may not."""
        index, now = self.index, self.context.now_us
        special = [*(index.suspects_at(now) if index.suspect else ()), *job.servers]
        barred = {server for server in special if self.is_barred(job, server) and index.is_up(server)}
        if len(barred) == len(index.up):
            barred = set()  # all are: one of them is better than none
        full = {server for server in index.busy if self.is_full(server)}
        warming = index.in_order(index.warming_at(now)) if index.warming else []
        open_ = [server for server in warming if server not in barred and server not in full]
        credited = [server for server in open_ if self.has_credit(server)]
        if cold := [server for server in credited if not server.in_flight]:
            return cold
        closed = barred | full | set(open_).difference(credited)
        if self.spread_thin and len(known := self.known_but(closed)) >= SUBSET:
            return known
        if not closed:
            return index.up
        return Without(index.up, [index.position(server) for server in closed if index.is_up(server)])

    def room_by_chance(self, job: InFlightRequest) -> Sequence[Server]:
        """The same where many servers are cold or ejected, as in a mass restart: of some by chance."""
        index, up = self.index, self.index.up
        looked_at = self.context.random.sample(up, min(MOST_SCANNED, len(up)))
        usable = [server for server in looked_at if not self.is_barred(job, server)] or looked_at
        room = [server for server in usable if self.is_open(server)]
        if cold := [server for server in room if self.is_cold(server) and not server.in_flight]:
            return cold
        known = index.connected_since(self.context.now_us - self.kept_us) if self.spread_thin else []
        known = [server for server in known if not self.is_barred(job, server) and self.is_open(server)]
        return known if len(known) >= SUBSET else room

    def room_in_group(self, job: InFlightRequest) -> Sequence[Server]:
        """The same for a retry that may not go to every server; these are few enough to look at all."""
        allowed = [server for server in self.up if self.in_group(job, server)]
        usable = [server for server in allowed if not self.is_barred(job, server)] or allowed
        room = [server for server in usable if self.is_open(server)]
        if cold := [server for server in room if self.is_cold(server) and not server.in_flight]:
            return cold
        known = [server for server in room if self.has_connection(server)] if self.spread_thin else []
        return known if len(known) >= SUBSET else room

    def known_but(self, closed: set[Server]) -> list[Server]:
        """Those that connections are kept to, but for the closed ones."""
        known = self.index.connected_since(self.context.now_us - self.kept_us)
        return [server for server in known if server not in closed]

    def is_barred(self, job: InFlightRequest, server: Server) -> bool:
        """Whether a server is left out of the choice for a request while there are others."""
        if self.context.now_us < server.ejected_until_us or server in job.servers:
            return True
        is_unsafe = job.rule.idempotency is Idempotency.UNSAFE
        return server.needs_probe and (bool(server.in_flight) or is_unsafe)

    def is_full(self, server: Server) -> bool:
        """Whether as much is in flight as may be: more would only wait there."""
        return len(server.in_flight) >= self.most_in_flight

    def is_cold(self, server: Server) -> bool:
        """Whether a server is in slow start."""
        return self.context.now_us < server.warm_at_us

    def is_open(self, server: Server) -> bool:
        """Whether a server takes an attempt now, by what is in flight and by its slow start."""
        return not self.is_full(server) and (not self.is_cold(server) or self.has_credit(server))

    def has_connection(self, server: Server) -> bool:
        return bool(server.in_flight) or self.context.now_us - server.last_answer_us < self.kept_us

    def in_group(self, job: InFlightRequest, server: Server) -> bool:
        """A keyed request that may have run stays where its repeats are dropped, while they are."""
        rule, first = job.rule, job.first_server
        if first is None or rule.idempotency is Idempotency.SAFE:
            return True
        in_window = self.context.now_us < job.first_sent_us + rule.dedup_window_us
        if rule.idempotency is not Idempotency.KEYED or not in_window:
            return False
        place = "zone" if rule.dedup_scope is DeduplicationScope.ZONE else "cell"
        anywhere = rule.dedup_scope is DeduplicationScope.ALL
        return anywhere or getattr(server.endpoint, place) == getattr(first.endpoint, place)

    def cost(self, server: Server) -> float:
        """Expected wait: work out there, how slow it is, how loaded it says it is."""
        now, settings = self.context.now_us, self.context.settings
        fresh = server.reported_load is not None and now - server.load_reported_us < REPORT_FRESH_US
        pressure = 0.5 + server.reported_load / max(0.01, self.mean_load) / 2 if fresh else 1.0
        far = 1 + 10 * settings.cross_zone_price * (server.endpoint.zone != settings.zone)
        waits = 0 if server.needs_probe else len(server.in_flight) + 1  # a trial that is due goes first
        # One that came back is passed over for a while where others are free, never held back from use:
        # where many come back at once, all that is asked must still find a server.
        back = min(1.0, (now - server.recovered_us) / SLOW_START_US)
        trouble = max(1.0, server.fault_score / USUAL_TROUBLE) ** 2
        new = NEW_CONNECTION if self.spread_thin and not self.has_connection(server) else 1.0
        wait = new * waits * server.relative_latency * trouble * pressure
        return wait * far * (2 - back) / self.warmth(server)

    def warmth(self, server: Server) -> float:
        """The least part of its capacity that a server has by now since its start."""
        now, set_ = self.context.now_us, self.context.settings
        if now >= server.warm_at_us:
            return 1.0
        left, cold = (server.warm_at_us - now) / max(1, set_.warm_up_us), set_.cold_capacity
        return cold + (1 - cold) * (1 - left)

    def cold_rate(self, server: Server) -> float:
        """Attempts a second for a cold server: half of what would push it over, were others full."""
        settings = self.context.settings
        usual = max(1 / settings.gateway_count, self.usual)
        return usual * self.warmth(server) * max(1.0, settings.overload_multiple / 2) * server.pace

    def has_credit(self, server: Server) -> bool:
        """Whether a cold server may be sent an attempt by now; what it earns follows its warmth."""
        more = (self.context.now_us - server.credit_us) / S * self.cold_rate(server)
        server.credit = min(1.0, server.credit + more)
        server.credit_us = self.context.now_us
        return server.credit >= 1

    # --- what attempts tell ---

    def learn(self, server: Server, index: int, event: AttemptEnded, load: float | None) -> None:
        """How an attempt of a request's class ended, by the server's latency and what it says of itself."""
        now, result, took = self.context.now_us, event.result, event.latency_us
        if load is not None:
            server.reported_load, server.load_reported_us = load, now
            self.mean_load += SMOOTH * (load - self.mean_load)
        if result in OBSERVED_RESULTS:
            self.observe(server, index, result is AttemptResult.OK, took)
        if result is AttemptResult.OK:
            server.last_answer_us = now
            if self.is_listed(server):
                self.index.answered(server)
            ratio = min(4.0, max(0.25, took / max(1.0, self.mean_us[index])))  # one outlier counts for little
            server.relative_latency += SMOOTH * (ratio - server.relative_latency)
            self.mean_us[index] += SMOOTH * (took - self.mean_us[index])
        # A time-out where it answered others meanwhile says nothing of the server.
        long = result is AttemptResult.TIMEOUT and server.last_answer_us >= now - took
        if result is AttemptResult.REJECTED:
            server.ejected_until_us = max(server.ejected_until_us, now + AVOID_US)
        elif not long and result not in UNINFORMATIVE_RESULTS:
            self.record_result(server, result is AttemptResult.OK)
        if server.ejected_until_us > now and self.is_listed(server):
            self.index.suspect[server] = None

    def observe(self, server: Server, index: int, served: bool, took_us: float) -> None:
        """What an attempt, from here or told by a peer, says of how its server serves all gateways."""
        mean_us = max(1.0, self.mean_us[index])
        ratio = took_us / mean_us if served else WORST
        server.fault_score += SMOOTH * (min(WORST, max(1 / WORST, ratio)) - server.fault_score)
        if served:
            step = PACE_STEP if took_us < mean_us else -2 * PACE_STEP
            server.pace = min(MOST_PACE, max(LEAST_PACE, server.pace + step))
        if self.is_listed(server):
            self.index.marked[server] = None

    def record_result(self, server: Server, ok: bool) -> None:
        """Any kind of failure makes a server suspect; it comes back by a trial, then by a slow start."""
        now = self.context.now_us
        server.failure_score = server.failure_score / 2 if ok else server.failure_score + 1
        server.pace = server.pace if ok else 1.0
        is_outlier = server.failure_score >= SUSPECT_AT or server.needs_probe
        if ok and server.needs_probe:
            server.needs_probe, server.ejection_us, server.failure_score = False, 0, 0.0
            server.recovered_us = now
        elif not ok and is_outlier and now >= server.ejected_until_us:
            server.ejection_us = min(SUSPECT_MAX_US, max(SUSPECT_US, server.ejection_us * 2))
            server.ejected_until_us, server.needs_probe = now + server.ejection_us, True
