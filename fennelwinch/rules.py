"""The decisions of one gateway; its events, actions and settings are in fennelwinch/interface.py."""

import itertools
import math
import random
import zlib
from bisect import insort
from collections import Counter, deque

from fennelwinch import interface as i

S, NEVER = 1_000_000, 1 << 62  # microseconds in a second; a time that does not come

TICK_US = 20_000  # how often held requests and words are looked at: well under any aim
CC_PERIOD_US, FAIR_N, MOST_PERIODS = S, 10, 2  # control period and OPPUI: 1 or 2 s, for a fair-sized N
MAX_INCREASE, MAX_DECREASE = 0.2, 0.1  # the largest step of N in a second, against noise
ADDL_DECREMENT, MIN_FRACTION_CALLS = 0.1, 0.75  # extra step at occ_too_high; part of N that counts as low
# max_occup, occ_too_high, min_occup: reports of busy cores are late; a mean at half the aim has a tail.
TARGETS = {"util": (0.92, 0.97, 0.75), "latency": (0.5, 0.7, 0.35)}
# For each ready server, by all gateways: attempts a second when the cap engages, and out at once ever.
START_PER_SERVER, LEAST_OUT = 8, 2  # the second: for one gateway in any case
DEMAND_US = 0.5 * S  # ageing of demand: short, as the level of the store carries the longer memory
ASK_US, ASKS, WORD_FRESH_US = 80_000, 2, 10 * S  # the wait for word from home, how often; how long it holds
MOST_SIGHTINGS = 16  # attempts that a message may tell of: fewer than leave between two messages to a peer
MOST_WORDS = 60  # that wait for one peer: five messages full of them, more than any space lets come together
TELLS_AT_ONCE = 3  # messages that may leave ahead of their space: an ask is to be answered within ASK_US
# How long a home counts on word of attempts out, or on a place that it granted; how often it is renewed. Most
# attempts end before that, and a place whose end was told in a lost message is free again soon.
OUT_FRESH_US, RENEW_US = 1.5 * S, 0.6 * S
QUEUED_US = S // 2  # how often a gateway that the home has queued for a place asks again, as words are lost
PLACE_ALONE = 0.02  # asked for with a place that needs nothing under the ceiling: the least a word can hold
# Who tells the home of a customer with a shared cap leaves its part of the ceiling's rate to the home for a
# while; the home counts on it for less, as words are late. Thus all parts together never exceed the ceiling.
LEFT_US, LENT_US = 3 * S, 2 * S
ASK_SHARE = 0.25  # part of a gateway's intake that the asks for one customer may take
KEPT_PART = 0.25  # of a burst: kept at hand by those that go by older words, for those that ask
FORGET_US = 60 * S  # a customer that was quiet for so long has its burst back
SMOOTH, RATE_SMOOTH = 0.1, 0.3  # weight of a new latency, and of a period's sends, in a running mean
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
AVOID_US = 300_000  # a server that turned a request away is full for about a service time
REPORT_FRESH_US = 1.5 * S  # a load report older than this says nothing
NEEDED_NEW, NEEDED_HELD = 0.5, 2.0  # mean latencies left: else all that is held would leave just too late
# How long a server is held to be able to do what it did: a release takes less, and while it lasts, fewer are
# sent on because servers are cold. What these may take must not shrink with that.
USUAL_US = 30 * S
LOG_US = 5 * S  # how often those on call get the module's figures
SAME_START_US = 100_000  # two processes may reckon a server's start from the wall clock this differently
MOST_NAMES = 4096  # servers remembered as once listed, and so at most those left out by hand
RETRY_SHARE, RETRY_STORE = 0.1, 8.0  # further attempts earned by a first one, and kept at most


SIGHTED = (i.Result.OK, i.Result.TIMEOUT, i.Result.ERROR, i.Result.RESET, i.Result.FULL)
WORD_FATES = ("told", "heard", "asked", "answered")  # messages to and from peers; asks, those answered


class _Server:
    def __init__(self, entry: i.Server) -> None:
        self.entry, self.sum = entry, zlib.crc32(entry.name.encode()) & 0xFFFF
        self.out: dict[tuple[str, int], int] = {}  # attempts out and when each was sent
        self.heard_us = self.avoid_until = self.backoff_us = 0
        self.trouble = 1.0  # latency over the mean, or WORST for a failure, as all gateways have met it
        self.slowness, self.fails = 1.0, 0.0  # latency over the mean of its class; failures of late
        self.on_trial, self.load, self.load_at = False, None, 0
        self.back_us = -NEVER  # its return from suspicion
        self.pace = 1.0  # how much more it is sent while cold, as its answers show that it is warmer
        self.cold_us = 0  # when it may have started anew while left out by hand
        self.warm_us = NEVER  # from when on it is warm, by its start
        self.earned, self.earned_us = 0.0, 0  # part of an attempt that is due to it while cold; when


class _Customer:
    """A customer's part of quota and ceiling here, and what is known of its whole set: all, at its home."""

    def __init__(self, plan: i.Plan, key: i.Key, set_: i.Settings, now: int) -> None:
        self.plan, self.key, self.size, self.at = plan, key, key[3], now
        self.home = (key[2] + key[0] % self.size) % set_.gateways if set_.may_tell else set_.me
        self.part, self.level, self.demand = plan.burst / self.size, plan.burst, 0.0
        self.heard_us, self.out = -NEVER, 0
        self.ceiling, self.left_us = 0.0, now + LEFT_US if self.shares_cap() and self.home != set_.me else 0
        self.outs: dict[int, tuple[int, int]] = {}  # at its home: attempts out by gateway, and when it told
        self.granted: dict[int, list[int]] = {}  # there too: places granted and not yet seen in use; when
        # There too: who waits for a place, longest first; for how many units, and when it asked last.
        self.wanting: dict[int, tuple[float, int]] = {}
        self.lent: dict[int, int] = {}  # there too: until when a gateway leaves its part of the ceiling to it
        # Elsewhere: when a place was granted, when one was asked for last, asks unanswered; its last word.
        self.place_us, self.wanted_us, self.wants, self.queued = -NEVER, -NEVER, 0, False
        self.told_us = -NEVER
        self.untold = self.spent = 0.0  # demand and spending that the home has not been told of
        # How long a word from home is used where the customer's asks are as many as one may send it.
        self.word_us = self.size * S / max(1.0, ASK_SHARE * set_.peer_messages_per_s)

    def has_idled(self, time_us: int) -> None:
        """Its part of the ceiling was empty at this process's start at worst, as that may be a restart."""
        plan, left_us = self.plan, LEFT_US if self.left_us else 0
        gained = plan.ceiling_rate * max(0, time_us - left_us) / S
        self.ceiling = min(plan.ceiling_burst, gained) / self.size

    def refill(self, now: int) -> "_Customer":
        """Refill the parts. Demand and level stay as told while that is fresh, as others ask meanwhile."""
        before, plan, part = self.at, self.plan, 1 / self.size
        took, self.at = (now - before) / S, now
        gained = max(0, now - max(before, self.left_us))  # nothing while it is left to the home
        gained += sum(max(0, min(now, until) - before) for until in self.lent.values())
        self.lent = {peer: until for peer, until in self.lent.items() if until > now}
        most = plan.ceiling_burst * part
        self.ceiling = max(min(self.ceiling, most),
                           min(most, self.ceiling + plan.ceiling_rate * part * gained / S))
        if now - self.heard_us > WORD_FRESH_US:
            self.level = min(plan.burst, self.level + plan.rate * took)
            self.demand *= math.exp(-took * S / DEMAND_US)
        self.part = min(plan.burst * part, self.part + plan.rate * took * part, max(0.0, self.level))
        return self

    def chance(self, units: float, known: bool = True) -> float:
        """Quota over summed demand; the quota is the rate while demand ages, and what the set has or owes.

        Where a part holds no whole request, or the open cap is shared, the parts lie at the home together,
        which is asked for each: who has its word is let in while the level holds the request. Who goes by an
        older word shares the rate, and what the level is above or under a part of the burst, over the time
        that such a word is used.
        """
        level, plan = self.level, self.plan
        if self.is_pooled(units) or self.shares_cap():
            if known:
                return float(level >= units)
            level = (level - KEPT_PART * plan.burst) * DEMAND_US / self.word_us
        quota = level + plan.rate * DEMAND_US / S
        return max(0.0, min(1.0, quota / max(units, self.demand))) if plan.rate else 1.0

    def is_pooled(self, units: float) -> bool:
        """Whether a gateway's part of the burst holds less than the request."""
        return units <= self.plan.burst < units * self.size

    def is_dry(self, units: float, now: int) -> bool:
        """Whether by a fresh word no refill can have made room yet."""
        age = now - self.heard_us
        return age < WORD_FRESH_US and self.level + self.plan.rate * age / S < units

    def shares_cap(self) -> bool:
        """Whether its open cap is too small to be split over its set."""
        return 0 < self.plan.max_out < self.size

    def asks_home(self) -> bool:
        """Elsewhere than at home: whether each attempt needs a place from there, as long as it answers."""
        return self.shares_cap() and self.wants <= ASKS

    def others_out(self, now: int, but: int = -1) -> int:
        """At its home: the attempts that the others have out, as they told of late, or were granted since."""
        told = sum(out for peer, (out, at) in self.outs.items() if peer != but and now - at < OUT_FRESH_US)
        return told + sum(now - at < OUT_FRESH_US for peer, given in self.granted.items() if peer != but
                          for at in given)

    def hear_out(self, peer: int, out: int, ended: bool, now: int) -> None:
        """At its home: what a peer has out. Of the places granted to it, those that it has or had are not to
        be counted twice, and only those granted a moment ago may be on their way."""
        used = max(0, out - self.outs.get(peer, (0, 0))[0] + ended)
        if given := [at for at in self.granted.pop(peer, ()) if now - at < 2 * ASK_US][used:]:
            self.granted[peer] = given
        self.outs[peer] = out, now

    def grant(self, peer: int, now: int) -> float:
        """At its home: a place, and the units under the ceiling that were asked for with it."""
        units, _ = self.wanting.pop(peer)
        self.granted.setdefault(peer, []).append(now)
        self.ceiling -= units if units > PLACE_ALONE else 0.0
        return units

    def next_wanting(self, now: int) -> int | None:
        """At its home: who has waited longest for a place, if there is one and room under the ceiling."""
        self.wanting = {peer: entry for peer, entry in self.wanting.items() if now - entry[1] < 2 * QUEUED_US}
        if not self.wanting or self.out + self.others_out(now) >= self.plan.max_out:
            return None
        self.refill(now)
        return next((peer for peer, (units, _) in self.wanting.items()
                     if units <= PLACE_ALONE or units <= self.ceiling), None)

    def at_open_cap(self, now: int, at_home: bool) -> bool:
        if not self.plan.max_out:
            return False
        if self.shares_cap() and at_home:
            return self.out + self.others_out(now) >= self.plan.max_out
        if self.asks_home():
            return now - self.place_us >= ASK_US
        return self.out >= max(1, self.plan.max_out // self.size)

    def spend(self, units: float) -> None:
        self.level = max(self.level - units, -self.plan.rate * DEMAND_US / S)  # it owes nothing for long


class _Job:
    def __init__(self, req: i.Request, rule: i.RequestClass, customer: _Customer, now: int) -> None:
        self.req, self.rule, self.customer = req, rule, customer
        self.worth = rule.worth * customer.plan.worth_factor * req.units
        self.came_us, self.end_us = now, now + req.left_us
        self.aim_us = min(now + rule.aim_us, self.end_us)
        self.servers: list[_Server] = []  # of its attempts, in order
        self.out: dict[int, int] = {}  # attempts out and when each was sent
        self.ran_on: _Server | None = None  # where it may first have run, and since when
        self.over, self.in_quota, self.ran_us, self.unrun = False, False, 0, 0  # unrun: proven so
        self.decide_us, self.asks = NEVER, 0  # until when it waits for word of its quota
        self.streams = False  # its value has begun to go to the client

    def may_refuse(self) -> bool:
        keyed_ok = self.rule.effect is i.Effect.KEYED and self.rule.group is i.Group.ALL
        return self.ran_on is None or self.rule.effect is i.Effect.SAFE or keyed_ok


class Gateway:
    def __init__(self, settings: i.Settings) -> None:
        self.set = settings
        self.random = random.Random(settings.seed)
        self.servers, self.up = {}, []  # by name; those that may be sent new work
        self.blind = False  # another process may be this gateway, unheard
        self.has_twin = False  # another process is this gateway too, for a while
        self.twin_out: dict[tuple[str, int], tuple[_Customer, _Server | None]] = {}  # its attempts out
        self.names: dict[str, bool] = {}  # all that were ever listed, and whether left out by hand
        self.customers: dict[i.Key, _Customer] = {}  # the one seen last at the end
        self.jobs, self.held = {}, []  # by id; highest worth first, then by arrival
        self.queues: dict[i.Key, _Customer] = {}  # those at home here for which others wait for a place
        self.renewals: dict[i.Key, _Customer] = {}  # those at home elsewhere that a place is held for
        self.now, self.period_us, self.alarm_us, self.serial = 0, -1, NEVER, itertools.count()
        self.started_us = 0
        self.waits, self.words = [], {}  # who waits for word; words for peers
        self.next_tell_us: dict[int, int] = {}  # by peer, when the next message to it would keep its space
        self.space_us = min(ASK_US, 2 * S * (settings.gateways - 1) / max(1, settings.peer_messages_per_s))
        self.ahead_us = round((TELLS_AT_ONCE - 1) * self.space_us)  # by so much it may leave ahead of it
        # Of the attempts that ended here last: when, and how; by peer, how many were told. Each gateway of
        # many sees each server too rarely to learn of a bad one alone.
        self.seen: deque[tuple[int, i.Sighting]] = deque(maxlen=MOST_SIGHTINGS)
        self.seen_ever, self.told_seen = 0, dict[int, int]()
        self.by_sum: dict[int, _Server | None] = {}  # by checksum; None where two share one
        self.mean_us = [rule.aim_us / 4 for rule in settings.classes]
        self.retries, self.n_past = RETRY_STORE / 2, None  # no N: the cap is lifted
        self.most, self.left_of_n = 0, self.random.random()  # N as it holds this period; what rounding left
        self.occup = 0.0  # as last inferred, for the log
        self.overhead, self.accepted, self.out, self.cc_us = 1.0, 0, 0, CC_PERIOD_US  # accepted: this period
        self.signals: dict[str, list[float]] = {"util": [], "latency": []}
        self.words_tally: Counter[str] = Counter()  # how it went with the peers, by WORD_FATES
        self.tally, self.logged_us = Counter(), -1  # why requests ended unserved, since the last line
        self.ended: Counter[str] = Counter()  # the same since the start
        self.open = self.open_bytes = 0  # requests that are owed an answer, and what is kept of them
        self.words_since: dict[int, int] = {}  # by peer, when the first word that waits for it came
        self.words_dropped = 0
        self.kept_us = settings.conn_idle_us / 2  # how long connections are kept here, idle
        self.spread_thin = False
        self.usual = 0.0  # first attempts a second that a warm server was sent from here when all went well
        self.warm = 0.0  # the servers that may be sent new work, a cold one as the part that is warm
        self.rate, self.mean_load = 0.0, 0.0  # first attempts a second; load of the servers, as they say
        self.on = {i.Request: self.on_request, i.Outcome: self.on_outcome, i.Timer: self.on_tick,
                   i.ServerList: self.on_list, i.PeerMessage: self.on_peer,
                   i.Maint: self.on_maint, i.Survey: self.on_survey,
                   i.HandOver: self.on_hand_over, i.State: self.on_state, i.TwinGone: self.on_twin_gone,
                   i.TwinUnknown: self.on_twin_unknown,
                   i.TwinSpend: self.on_twin_spend, i.TwinSend: self.on_twin_send,
                   i.TwinEnd: self.on_twin_end, i.TwinMaint: self.leave_out,
                   i.ClientGone: self.on_end, i.StreamStarted: self.on_stream}

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        self.now, self.actions = now_us, []
        if self.period_us < 0:
            self.period_us = self.started_us = now_us
        if act := self.on.get(type(event)):
            act(event)
        self.send_words()
        if (due := self.next_look()) < self.alarm_us:
            self.alarm_us = due
            self.actions.append(i.SetTimer(due - now_us, 0))
        return self.actions

    def next_look(self) -> int:
        """When time alone may bring something about: held requests are looked at each tick, attempts that are
        out not at all, as their ends are told."""
        if self.held or self.queues:
            return self.now + TICK_US
        renewals = [known.told_us + RENEW_US if known.place_us == -NEVER else known.place_us + ASK_US
                    for known in self.renewals.values()]
        dues = [self.period_us + self.cc_us, *renewals, *[job.decide_us for job in self.waits],
                *[self.next_tell_us.get(peer, 0) - self.ahead_us for peer in self.words]]
        return max(self.now + TICK_US, math.ceil(min(dues)))

    def on_tick(self, _: i.Timer) -> None:
        if self.now < self.alarm_us:
            return
        self.alarm_us = NEVER
        while self.now - self.period_us >= self.cc_us:
            self.end_period()
        self.end_waits()
        self.held = [entry for entry in self.held if not self.expire(entry[2], NEEDED_HELD)]
        self.release()
        self.renew()
        for customer in list(self.queues.values()):
            self.give_places(customer)

    def on_request(self, req: i.Request) -> None:
        key = i.Key(zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size)
        customer = self.customer(key)
        job = self.jobs[req.id] = _Job(req, self.set.classes[req.class_index], customer, self.now)
        crowded = self.crowded(req)
        self.open, self.open_bytes = self.open + 1, self.open_bytes + req.size
        if crowded:
            self.end(job, "crowded")
        elif not self.expire(job, NEEDED_NEW):  # some come with no time left: they cost no quota
            self.admit(job)

    def crowded(self, req: i.Request) -> bool:
        """Whether as much is open as may be: it can be told to come again, where time would only run out."""
        bytes_left = self.set.max_open_bytes - self.open_bytes
        return (0 < self.set.max_open <= self.open) or (self.set.max_open_bytes > 0 and bytes_left < req.size)

    def on_list(self, news: i.ServerList) -> None:
        if self.set.must_subscribe and news.kind in (i.ListKind.SAVED, i.ListKind.FAILED):
            self.actions.append(i.Subscribe(True))
        named = {entry.name for entry in news.servers}
        part = news.kind in (i.ListKind.CHANGES, i.ListKind.FAILED)  # after a failure the old list holds
        self.servers = {name: known for name, known in self.servers.items() if part or name in named}
        for entry in news.servers:
            known = self.servers.get(entry.name)
            if known is None or known.entry.started_us != entry.started_us:
                known = self.servers[entry.name] = _Server(entry)
                # All gateways hear of it at once, and each owes it little: by chance they begin apart.
                known.earned, known.earned_us = self.random.random(), self.now
            known.entry = entry
            self.names.setdefault(entry.name, False)
        self.forget_names()
        self.find_up()

    def forget_names(self) -> None:
        """The names are bounded: first go those that are neither listed nor left out."""
        if (excess := len(self.names) - MOST_NAMES) > 0:
            spare = [name for name, out in self.names.items() if not out and name not in self.servers]
            spare += [name for name, out in self.names.items() if out and name not in self.servers]
            for name in spare[:excess]:
                del self.names[name]

    def find_up(self) -> None:
        self.by_sum = {}
        for server in self.servers.values():
            self.by_sum[server.sum] = None if server.sum in self.by_sum else server
            started = max(server.entry.started_us, server.cold_us)
            cold = started and self.set.cold_from < 1
            server.warm_us = started + max(1, self.set.warm_within_us) if cold else -NEVER
        self.up = [server for server in self.servers.values()
                   if server.entry.state is i.ServerState.UP and not self.names.get(server.entry.name)]
        self.count_warm()

    def count_warm(self) -> None:
        self.warm = sum(map(self.warmth, self.up))

    # --- what operators want ---

    def on_maint(self, event: i.Maint) -> None:
        """Leave a server out whatever the list says, or take it back: by a trial, and as a cold one."""
        known = event.server in self.names
        if known:
            self.leave_out(event)
            self.tell_twin(i.TwinMaint(event.server, event.out))
        self.actions.append(i.Ruling(event.server, event.out, known))

    def leave_out(self, event: i.Maint | i.TwinMaint) -> None:
        if self.names.get(event.server, False) != event.out:
            self.names[event.server] = event.out
            if (server := self.servers.get(event.server)) and not event.out:
                server.avoid_until = server.backoff_us = 0
                server.fails, server.on_trial, server.cold_us = 0.0, True, self.now
                server.earned = 1.0
            self.find_up()

    def on_survey(self, _: i.Survey) -> None:
        good = sum(self.now >= server.avoid_until and not server.on_trial for server in self.up)
        listed = sum(server.entry.state is not i.ServerState.GONE for server in self.servers.values())
        waits = [job.came_us for _, _, job in self.held] + [job.came_us for job in self.waits]
        self.actions.append(i.Census(
            listed, listed - good, len(waits), self.now - min(waits, default=self.now),
            sum(map(len, self.words.values())), self.now - min(self.words_since.values(), default=self.now),
            self.words_dropped, tuple(sorted(self.ended.items()))))

    # --- two processes that are one gateway, while one takes over from the other ---

    def tell_twin(self, word: i.TwinSpend | i.TwinSend | i.TwinEnd | i.TwinMaint) -> None:
        if self.has_twin:
            self.actions.append(word)

    def on_hand_over(self, _: i.HandOver) -> None:
        """All that the rules, quotas and health rest on. Requests stay, and end, where they were taken."""
        self.has_twin = True
        for known in self.customers.values():
            known.refill(self.now).lent.clear()  # the other would not know of it
        cap = i.CapMemory(self.n_past or 0, self.accepted, self.period_us, self.cc_us,
                          self.overhead, self.rate, self.usual)
        customers = [i.CustomerMemory(known.key, known.at, known.part, known.level, known.demand,
                                      known.ceiling, known.heard_us, known.untold, known.spent)
                     for known in self.customers.values()]
        servers = [i.ServerMemory(name, known.entry.started_us, known.slowness, known.fails, known.on_trial,
                                  known.avoid_until, known.backoff_us, known.back_us, known.cold_us,
                                  known.earned, known.earned_us) for name, known in self.servers.items()]
        names = [i.TwinMaint(name, left_out) for name, left_out in self.names.items()]
        out = [i.TwinSend(job.customer.key, job.req.id, number, job.servers[number].entry.name, sent, 0.0)
               for job in self.jobs.values() for number, sent in job.out.items()]
        self.actions.append(i.State(self.now, cap, tuple(self.mean_us), tuple(customers), tuple(servers),
                                    tuple(names), tuple(out)))

    def on_state(self, state: i.State) -> None:
        """Go on from where the other process is; both have one clock and, but for lateness, one list."""
        self.has_twin, cap = True, state.cap
        self.n_past, self.accepted, self.period_us = cap.n_past or None, cap.accepted, cap.period_us
        self.most = math.floor(cap.n_past)
        self.cc_us, self.overhead, self.rate, self.usual = cap.length_us, cap.overhead, cap.rate, cap.usual
        if len(state.means_us) == len(self.mean_us):
            self.mean_us = list(state.means_us)
        for told in state.customers:
            if self.is_ours(told.key):
                plan = self.set.plans[told.key.plan_index]
                known = self.customers[told.key] = _Customer(plan, told.key, self.set, told.at_us)
                known.part, known.level, known.demand = told.part, told.level, told.demand
                known.ceiling, known.heard_us = told.ceiling, told.heard_us
                known.untold, known.spent = told.untold, told.spent
                known.left_us = self.now + LEFT_US if known.left_us else 0
        for told in state.servers:
            server = self.servers.get(told.name)
            if server and abs(server.entry.started_us - told.started_us) < SAME_START_US:
                server.slowness, server.fails, server.on_trial = told.slowness, told.fails, told.on_trial
                server.avoid_until, server.backoff_us = told.avoid_until_us, told.backoff_us
                server.back_us, server.cold_us = told.back_us, told.cold_us
                server.earned, server.earned_us = told.earned, told.earned_us
        self.names.update((told.server, told.out) for told in state.names)
        self.forget_names()
        self.find_up()
        for told in state.out:
            self.on_twin_send(told)

    def is_ours(self, key: i.Key) -> bool:
        in_set = (self.set.me - key.set_first) % self.set.gateways < key.set_size
        return 0 <= key.plan_index < len(self.set.plans) and in_set

    def on_twin_spend(self, event: i.TwinSpend) -> None:
        if self.is_ours(event.key):
            self.take(self.customer(event.key), event.units)

    def on_twin_send(self, event: i.TwinSend) -> None:
        name = event.id, event.attempt
        if not self.is_ours(event.key) or name in self.twin_out:
            return
        customer, server = self.customer(event.key), self.servers.get(event.server)
        self.twin_out[name] = customer, server
        customer.ceiling -= event.units
        customer.out, self.out = customer.out + 1, self.out + 1
        self.accepted += event.units > 0
        if server:
            server.out[name] = event.sent_us
            server.earned -= 1

    def on_twin_end(self, event: i.TwinEnd) -> None:
        customer, server = self.twin_out.pop((event.id, event.attempt), (None, None))
        if customer:
            customer.out, self.out = customer.out - 1, self.out - 1
        if server:
            server.out.pop((event.id, event.attempt), None)

    def on_twin_unknown(self, _: i.TwinUnknown) -> None:
        """The other may use up every ceiling's part: nothing is sent here that would count against one."""
        self.blind = True

    def on_twin_gone(self, _: i.TwinGone) -> None:
        self.has_twin = False
        if self.blind:
            self.blind = False
            for customer in self.customers.values():
                customer.refill(self.now).ceiling = 0.0
        for name, number in list(self.twin_out):
            self.on_twin_end(i.TwinEnd(name, number))

    # --- the cap: Dynamic Processor Overload Control, section 2 of the paper ---

    def end_period(self) -> None:
        self.period_us += self.cc_us
        for server in self.servers.values():  # a slow one that is sent nothing must get its chance again
            server.slowness += SMOOTH * (1 - server.slowness)
            server.trouble += SMOOTH * (1 - server.trouble)
        self.rate += (RATE_SMOOTH if self.rate else 1) * (self.accepted * S / self.cc_us - self.rate)
        self.spread_thin = self.rate * self.kept_us / S < KEPT_USES * len(self.up)
        fade = math.exp(-self.cc_us / USUAL_US)
        self.usual = max(self.rate / max(1, len(self.up)), self.usual * fade)
        self.count_warm()
        while self.customers and self.now - next(iter(self.customers.values())).at > FORGET_US:
            del self.customers[next(iter(self.customers))]
        self.update_cap(self.accepted)
        was, most = self.cc_us, min(MOST_PERIODS, round(FAIR_N / max(1.0, self.rate)))
        self.cc_us = CC_PERIOD_US * max(1, most)
        if self.n_past is not None:
            self.n_past *= self.cc_us / was
            due = self.n_past + self.left_of_n
            self.most = math.floor(due)
            self.left_of_n = due - self.most
        self.accepted = 0
        if self.now - self.logged_us >= LOG_US:
            self.log_figures()

    def log_figures(self) -> None:
        """What those on call need first: the cap, what is out and held, and why requests were ended."""
        ended = " ".join(f"{why}={count}" for why, count in sorted(self.tally.items()))
        cap = "lifted" if self.n_past is None else f"{self.n_past:.1f}/{self.cc_us // S}s"
        suspect = sum(self.now < server.avoid_until or server.on_trial for server in self.up)
        means = ",".join(f"{mean / 1000:.0f}" for mean in self.mean_us)
        self.actions.append(i.Log(
            f"cap {cap} occupancy {self.occup:.2f} rate {self.rate:.0f}/s mean {means} ms"
            f" out {self.out} held {len(self.held)} ({self.held_for()}) waiting {len(self.waits)}"
            f" up {len(self.up)} suspect {suspect} ended: {ended or '-'}"
            f" peers: {' '.join(f'{what} {self.words_tally[what]}' for what in WORD_FATES)}"))
        self.tally.clear()
        self.words_tally.clear()
        self.logged_us = self.now

    def held_for(self) -> str:
        """What the held requests that were never sent wait for, beside a server and the cap."""
        firsts = [job for _, _, job in self.held if not job.servers]
        at_cap = sum(job.customer.at_open_cap(self.now, job.customer.home == self.set.me) for job in firsts)
        under = sum(job.customer.plan.ceiling_rate > 0 and job.customer.ceiling < job.req.units
                    for job in firsts)
        return f"open cap {at_cap} ceiling {under}"

    def update_cap(self, na_past: float) -> None:
        """The paper's update. A cap in full use is not lifted: that floods servers that have just drained."""
        kind = "util" if self.signals["util"] else "latency"
        samples, targets = self.signals[kind], TARGETS[kind]
        self.signals = {"util": [], "latency": []}
        if kind == "latency":  # a jam answers nobody: what is out and overdue counts with its age so far
            waited = [job for job in self.jobs.values() if not job.streams]
            samples += [min(1.0, (self.now - sent) / job.rule.aim_us) for job in waited
                        for sent in job.out.values() if self.now - sent > self.mean_us[job.req.class_index]]
        if not samples:
            return
        occup, was = min(1.0, sum(samples) / len(samples)), self.n_past
        self.occup = occup
        if occup < targets[2] and (was is None or na_past < MIN_FRACTION_CALLS * was):
            self.overhead, self.n_past = min(self.overhead, occup), None
        else:
            seconds, overhead = self.cc_us / S, min(self.overhead, targets[2] / 2)
            if was is None:  # it engages by a step from what was sent: less at once would be no clamped step
                least = max(1, START_PER_SERVER * len(self.up) * self.cc_us // S // self.set.gateways)
                was = max(least, round(na_past))
            # N is rounded down as that of all gateways: one of many has so small a part that rounding it, and
            # not the servers, would decide. Its part's fraction is left for the next period.
            alike = self.set.gateways
            n_all = next_n(round(was * alike), na_past * alike, occup, overhead, targets, seconds)
            self.n_past = n_all / alike

    def allowance(self) -> bool:
        part = min(1.0, (self.now - self.period_us + TICK_US) / self.cc_us)
        # Servers that hold too much may not come back for long: what is out is bounded, cap or no cap, and a
        # cold server holds only its part.
        free = self.out < max(LEAST_OUT, round(START_PER_SERVER * self.warm / self.set.gateways))
        return free and (self.n_past is None or self.accepted < math.ceil(self.most * part))

    def release(self) -> None:
        blocked, held = not self.allowance(), self.held
        if blocked or not held:
            return
        self.held = []
        for entry in held:
            job = entry[2]
            waits = job.over or (not job.servers and (blocked or self.needs_place(job)))
            if server := None if waits else self.choose(job):
                self.send(job, server)
            elif not job.over:
                self.held.append(entry)  # where no server takes anything there is no need to look on
            blocked = blocked or not self.allowance() or not (waits or server)

    def needs_place(self, job: _Job) -> bool:
        """Whether it must wait for open cap or ceiling; a place that it lacks is asked for at the home."""
        customer, units = job.customer, job.req.units
        if customer.home != self.set.me and customer.shares_cap():
            self.want_place(customer, units)
            if customer.asks_home() and self.now - customer.place_us >= ASK_US:
                return True
        at_home = customer.home == self.set.me
        return self.at_ceiling(customer, units) or customer.at_open_cap(self.now, at_home)

    def at_ceiling(self, customer: _Customer, units: float) -> bool:
        return customer.plan.ceiling_rate > 0 and (self.blind or customer.refill(self.now).ceiling < units)

    def want_place(self, customer: _Customer, units: float) -> None:
        silent = customer.wants > ASKS
        if self.now - customer.place_us < ASK_US and not silent:
            return
        patience = QUEUED_US if customer.queued or silent else ASK_US
        if self.now - customer.wanted_us >= patience:
            customer.wanted_us, customer.queued = self.now, False
            customer.wants += 1
            short = units if self.at_ceiling(customer, units) else 0.0
            self.tell(customer.home, customer, -max(PLACE_ALONE, short))

    def renew(self) -> None:
        """An attempt may last longer than word of it holds, and a granted place may be of no use any more."""
        for key, customer in list(self.renewals.items()):
            unused = customer.place_us > -NEVER and self.now - customer.place_us >= ASK_US
            if unused or (customer.out and self.now - customer.told_us >= RENEW_US):
                customer.place_us = -NEVER if unused else customer.place_us
                self.tell_out(customer)
            if not customer.out and customer.place_us == -NEVER:
                del self.renewals[key]

    def tell_out(self, customer: _Customer) -> None:
        if customer.shares_cap() and customer.home != self.set.me:
            self.tell(customer.home, customer, 0.0)
        elif customer.shares_cap():
            self.give_places(customer)

    def give_places(self, customer: _Customer) -> None:
        """At its home: what is free goes to those that wait longest; those held here are one of them."""
        while (peer := customer.next_wanting(self.now)) is not None:
            here = any(job.customer is customer and not job.servers for _, _, job in self.held)
            if here and self.random.random() * (1 + len(customer.wanting)) < 1:
                break
            self.tell(peer, customer, -customer.grant(peer, self.now), i.Place.GRANTED)
        if customer.wanting:
            self.queues[customer.key] = customer
        else:
            self.queues.pop(customer.key, None)

    def expire(self, job: _Job, means: float) -> bool:
        """A held request is ended in time: refused when its aim is out of reach, where that is allowed."""
        needed = min(means * self.mean_us[job.req.class_index], job.rule.aim_us / 2)
        late = job.may_refuse() and self.now + needed >= job.aim_us
        if not job.over and (late or self.now + 2 * TICK_US >= job.end_us):
            self.end(job, self.lacked(job))
        return job.over

    def lacked(self, job: _Job) -> str:
        """What a request waited for until its aim was out of reach."""
        customer = job.customer
        if job.servers:
            return "again"  # an attempt had failed
        if self.now == job.came_us:
            return "late"  # it came so
        if customer.at_open_cap(self.now, customer.home == self.set.me):
            return "open_cap"
        if self.at_ceiling(customer, job.req.units):
            return "ceiling"
        return "server" if self.allowance() else "cap"

    def customer(self, key: i.Key) -> _Customer:
        known = self.customers.pop(key, None)
        if known is None:
            known = _Customer(self.set.plans[key[1]], key, self.set, self.now)
            known.has_idled(min(FORGET_US, self.now - self.started_us))
        self.customers[key] = known
        return known.refill(self.now)

    def admit(self, job: _Job) -> None:
        """The part while it lasts; else the chance rule, with word from the home where that is elsewhere."""
        customer, units, home = job.customer, job.req.units, job.customer.home
        fresh = self.now - customer.heard_us < WORD_FRESH_US
        customer.untold += units
        if home == self.set.me or not fresh:  # else it is the whole set's, which this request is part of
            customer.demand += units
        most = ASK_SHARE * self.set.peer_messages_per_s * DEMAND_US / S  # past this the last word must do
        heard = fresh and self.random.random() * customer.demand > most
        if customer.part >= units:
            self.decide(job, 1.0)
            if not customer.shares_cap():  # else the wish for a place tells it
                self.tell(home, customer, 0.0)
        elif home != self.set.me and customer.is_pooled(units) and customer.is_dry(units, self.now):
            self.decide(job, 0.0)
        elif home == self.set.me or heard or not customer.plan.rate:
            self.decide(job, customer.chance(units, known=home == self.set.me))
        else:
            self.ask(job)

    def ask(self, job: _Job) -> None:
        wait, job.asks = min(ASK_US, job.rule.aim_us // 8), job.asks + 1
        self.words_tally["asked"] += 1
        job.decide_us = min(self.now + wait, job.end_us - 4 * TICK_US)
        self.waits.append(job)
        self.tell(job.customer.home, job.customer, job.req.units)

    def decide(self, job: _Job, chance: float) -> None:
        job.in_quota, plan = self.random.random() < chance, job.customer.plan
        if job.in_quota:
            self.spend(job.customer, job.req.units)
        elif plan.over_worth <= plan.over_cost or self.n_past is not None:
            self.end(job, "quota")
            return
        insort(self.held, (-job.worth, next(self.serial), job))
        self.release()

    def end_waits(self, told: _Customer | None = None) -> None:
        """Decide on those that wait for word: theirs has come, or what is known here must do."""
        ready = [job for job in self.waits if job.customer is told][:1]
        self.words_tally["answered"] += len(ready)
        ready += [job for job in self.waits if job.decide_us <= self.now and job not in ready]
        self.waits = [job for job in self.waits if job not in ready]
        for job in [job for job in ready if not job.over]:
            if told is None and job.asks < ASKS and self.now + ASK_US + 4 * TICK_US < job.end_us:
                self.ask(job)  # words may be lost
                continue
            chance = job.customer.chance(job.req.units, known=told is not None)
            job.customer.spent -= job.req.units * chance  # as much the home has counted already
            self.decide(job, chance)

    def spend(self, customer: _Customer, units: float) -> None:
        self.take(customer, units)
        self.tell_twin(i.TwinSpend(customer.key, units))

    def take(self, customer: _Customer, units: float) -> None:
        customer.spend(units)
        customer.part, customer.spent = max(0.0, customer.part - units), customer.spent + units

    def tell(self, peer: int, customer: _Customer, asked: float, place: i.Place = i.Place.NONE) -> None:
        """A word to the home of what was asked and spent, or the home's answer with what it knows."""
        answer = customer.home == self.set.me
        demand = customer.demand if answer else customer.untold
        out = customer.out + customer.others_out(self.now, but=peer) if answer else customer.out
        word = i.Word(*customer.key, answer, demand, customer.spent, asked, customer.level, out, place)
        if customer.shares_cap() and not answer:
            customer.left_us = customer.refill(self.now).at + LEFT_US
            customer.told_us = self.now
        if peer != self.set.me:
            words = self.words.setdefault(peer, [])
            self.words_since.setdefault(peer, self.now)
            if len(words) == MOST_WORDS:  # the oldest is no news
                del words[0]
                self.words_dropped += 1
            words.append(word)
        customer.untold = customer.spent = 0.0

    def send_words(self) -> None:
        """Words leave at once, but spaced so on average that all peers together do not exceed an intake."""
        latest = self.now + self.ahead_us
        for peer in [peer for peer in self.words if self.next_tell_us.get(peer, 0) <= latest]:
            self.next_tell_us[peer] = max(self.now, self.next_tell_us.get(peer, 0)) + self.space_us
            self.words_tally["told"] += 1
            waited_us = self.now - self.words_since.pop(peer)
            self.actions.append(
                i.Tell(peer, tuple(self.words.pop(peer)), self.untold_sightings(peer), waited_us))

    def untold_sightings(self, peer: int) -> tuple[i.Sighting, ...]:
        """What the peer has not been told; past the longest period it is no news."""
        new = self.seen_ever - self.told_seen.get(peer, 0)
        self.told_seen[peer] = self.seen_ever
        first = max(0, len(self.seen) - new)
        return tuple(seen for at, seen in itertools.islice(self.seen, first, None)
                     if self.now - at < MOST_PERIODS * CC_PERIOD_US)

    def on_peer(self, message: i.PeerMessage) -> None:
        """The home adds up what its set asks and spends, or takes over at its start, and answers."""
        self.words_tally["heard"] += 1
        for seen in message.sightings:
            server = self.by_sum.get(seen.server)
            if server and seen.class_index < len(self.set.classes):
                self.signals["latency"] += [seen.latency] if seen.served or seen.latency else []
                aim_us = self.set.classes[seen.class_index].aim_us
                self.judge(server, seen.class_index, seen.served, seen.latency * aim_us)
        homed: dict[i.Key, _Customer] = {}
        # A place comes before the answer that lets in who may use it.
        for word in sorted(message.words, key=lambda word: not word.place):
            key = i.Key(word.customer, word.plan_index, word.set_first, word.set_size)
            if not self.is_ours(key):
                continue
            new, customer = key not in self.customers, self.customer(key)
            if word.is_answer:
                self.hear_home(customer, word)
            elif customer.home == self.set.me:
                customer.level = min(customer.level, word.level) if new else customer.level
                self.hear_member(customer, word, message.sender)
                homed[key] = customer
        for customer in homed.values():  # once all is heard: what is out may come after a wish for more
            self.give_places(customer)
            if message.sender in customer.wanting:
                self.tell(message.sender, customer, 0.0, i.Place.QUEUED)

    def hear_home(self, customer: _Customer, word: i.Word) -> None:
        customer.heard_us, customer.demand, customer.level = self.now, word.demand, word.level
        if word.place:
            customer.wants, customer.queued, customer.wanted_us = 0, word.place is i.Place.QUEUED, self.now
        if word.place is i.Place.GRANTED:
            customer.place_us = self.now
            self.renewals[customer.key] = customer
            customer.ceiling += -word.asked if -word.asked > PLACE_ALONE else 0.0
        customer.part = min(customer.part, max(0.0, word.level / customer.size))
        self.end_waits(customer if word.asked > 0 else None)
        self.release()

    def hear_member(self, customer: _Customer, word: i.Word, sender: int) -> None:
        customer.demand += word.demand
        customer.spend(word.spent)
        customer.hear_out(sender, word.out, not word.asked, self.now)  # a word without a wish tells of an end
        if customer.shares_cap() and not self.has_twin:
            customer.lent[sender] = self.now + LENT_US
        granted = customer.chance(word.asked) if word.asked > 0 else 0.0
        if customer.shares_cap() and (word.asked < 0 or granted):  # who is let in needs a place at once
            customer.wanting[sender] = abs(word.asked), self.now
        if word.asked > 0 or (word.spent > 0 and customer.level < customer.plan.burst / 2):
            self.tell(sender, customer, max(0.0, word.asked))
        customer.spend(word.asked * granted)

    def choose(self, job: _Job) -> _Server | None:
        """The least expected wait among a few of those that the rules and their health allow."""
        now, ran_unsafe = self.now, job.ran_on and job.rule.effect is not i.Effect.SAFE
        allowed = [server for server in self.up if self.in_group(job, server)] if ran_unsafe else self.up
        usable = [server for server in allowed if now >= server.avoid_until and server not in job.servers
                  and not (server.on_trial and (server.out or job.rule.effect is i.Effect.UNSAFE))] or allowed
        most = max(LEAST_OUT, 2 * START_PER_SERVER // self.set.gateways)  # more would only wait there
        free = [server for server in usable if len(server.out) < most]
        room = [server for server in free if now >= server.warm_us or self.has_earned(server)]
        # How busy a server is shows little in what one of many gateways has out there: a cold one is neither
        # to idle beside empty warm ones nor to be flooded as the emptiest; it gets first what it has earned.
        room = [server for server in room if now < server.warm_us and not server.out] or room
        return min(self.random.sample(room, min(CHOICES, len(room))), key=self.cost, default=None)

    def in_group(self, job: _Job, server: _Server) -> bool:
        """A keyed request that may have run stays where its repeats are dropped, while they are."""
        rule, first = job.rule, job.ran_on
        if first is None or rule.effect is i.Effect.SAFE:
            return True
        place = "zone" if rule.group is i.Group.ZONE else "cell"
        same = rule.group is i.Group.ALL or getattr(server.entry, place) == getattr(first.entry, place)
        return same and rule.effect is i.Effect.KEYED and self.now < job.ran_us + rule.window_us

    def cost(self, server: _Server) -> float:
        """Expected wait: work out there, how slow it is, how loaded it says it is."""
        fresh = server.load is not None and self.now - server.load_at < REPORT_FRESH_US
        pressure = 0.5 + server.load / max(0.01, self.mean_load) / 2 if fresh else 1.0
        far = 1 + 10 * self.set.cross_zone_price * (server.entry.zone != self.set.zone)
        waits = 0 if server.on_trial else len(server.out) + 1  # a trial that is due goes first
        # One that came back is passed over for a while where others are free, never held back from use:
        # where many come back at once, all that is asked must still find a server.
        back = min(1.0, (self.now - server.back_us) / SLOW_START_US)
        trouble = max(1.0, server.trouble / USUAL_TROUBLE) ** 2
        known = server.out or self.now - server.heard_us < self.kept_us
        new = NEW_CONNECTION if self.spread_thin and not known else 1.0
        return new * waits * server.slowness * trouble * pressure * far * (2 - back) / self.warmth(server)

    def warmth(self, server: _Server) -> float:
        """The least part of its capacity that a server has by now since its start."""
        if self.now >= server.warm_us:
            return 1.0
        left, cold = (server.warm_us - self.now) / max(1, self.set.warm_within_us), self.set.cold_from
        return cold + (1 - cold) * (1 - left)

    def cold_rate(self, server: _Server) -> float:
        """Attempts a second for a cold server: half of what would push it over, were others full."""
        usual = max(1 / self.set.gateways, self.usual)
        return usual * self.warmth(server) * max(1.0, self.set.fall_multiple / 2) * server.pace

    def has_earned(self, server: _Server) -> bool:
        """Whether a cold server may be sent an attempt by now; what it earns follows its warmth."""
        more = (self.now - server.earned_us) / S * self.cold_rate(server)
        server.earned, server.earned_us = min(1.0, server.earned + more), self.now
        return server.earned >= 1

    def note_result(self, server: _Server, ok: bool) -> None:
        """Any kind of failure makes a server suspect; it comes back by a trial, then by a slow start."""
        server.fails = server.fails / 2 if ok else server.fails + 1
        server.pace = server.pace if ok else 1.0
        if ok and server.on_trial:
            server.on_trial, server.backoff_us, server.fails = False, 0, 0.0
            server.back_us = self.now
        elif not ok and (server.fails >= SUSPECT_AT or server.on_trial) and self.now >= server.avoid_until:
            server.backoff_us = min(SUSPECT_MAX_US, max(SUSPECT_US, server.backoff_us * 2))
            server.avoid_until, server.on_trial = self.now + server.backoff_us, True

    def send(self, job: _Job, server: _Server) -> None:
        if not (number := len(job.servers)):
            self.accepted, self.retries = self.accepted + 1, min(RETRY_STORE, self.retries + RETRY_SHARE)
            job.customer.ceiling -= job.req.units
        job.servers.append(server)
        job.out[number] = server.out[(job.req.id, number)] = self.now
        job.customer.out, self.out = job.customer.out + 1, self.out + 1
        if not number:
            job.customer.place_us, job.customer.wanted_us = -NEVER, -NEVER  # used; the next may be asked for
            if job.customer.shares_cap() and job.customer.home != self.set.me:
                job.customer.told_us = self.now  # its home counts on it since the grant
                self.renewals[job.customer.key] = job.customer
        server.earned -= 1
        if job.ran_on is None:
            job.ran_on, job.ran_us = server, self.now
        self.actions.append(i.Send(job.req.id, server.entry.name, self.time_out(job)))
        self.tell_twin(i.TwinSend(job.customer.key, job.req.id, number, server.entry.name, self.now,
                                  0.0 if number else job.req.units))

    def time_out(self, job: _Job) -> int:
        """A repeatable attempt is given up while another can still meet the aim."""
        left, mean = job.end_us - self.now, self.mean_us[job.req.class_index]
        early = round(job.aim_us - self.now - 2 * mean)
        last = job.rule.effect is i.Effect.UNSAFE or len(job.servers) >= self.set.max_attempts
        return max(1, left if last or early < 2 * mean else min(left, early))

    def again(self, job: _Job, why: i.Result) -> bool:
        """Further attempts live on a small share of first ones, so that they cannot feed an overload."""
        costs = why is not i.Result.CONNECT_FAILED
        late = why is i.Result.MOOT or self.now + self.mean_us[job.req.class_index] / 2 >= job.end_us
        if late or len(job.servers) >= self.set.max_attempts or (costs and self.retries < 1):
            return False
        if server := self.choose(job):
            self.retries -= costs
            self.send(job, server)
        elif job.ran_on is None:
            insort(self.held, (-job.worth, next(self.serial), job))
        return server is not None or job.ran_on is None

    def on_outcome(self, event: i.Outcome) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt not in job.out:
            return
        server, job.customer.out = job.servers[event.attempt], job.customer.out - 1
        del job.out[event.attempt]
        self.tell_twin(i.TwinEnd(event.id, event.attempt))
        if not job.streams:
            self.out -= 1
            del server.out[(event.id, event.attempt)]
        if not job.streams or event.result is not i.Result.OK:
            self.learn(job, server, event)
        job.unrun += event.result in (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
        job.ran_on = None if job.unrun == len(job.servers) else job.ran_on
        if event.over or job.over:
            self.drop(job)
        elif not job.out and not self.again(job, event.result):
            self.end(job, event.result.value)
        if not job.out:  # else a further attempt has its place
            self.tell_out(job.customer)

    def learn(self, job: _Job, server: _Server, event: i.Outcome) -> None:
        index, result, took = job.req.class_index, event.result, event.latency_us
        report = event.report or i.LoadReport()  # busy cores are the signal; a count only ranks servers
        loads = [load for load in (report.util, report.inflight, report.queue) if load is not None]
        self.signals["util"] += [report.util] if report.util is not None else []
        if loads:
            server.load, server.load_at = loads[0], self.now
            self.mean_load += SMOOTH * (loads[0] - self.mean_load)
        if result in SIGHTED:
            lasted = took / job.rule.aim_us if result in (i.Result.OK, i.Result.TIMEOUT) else 0.0
            seen = i.Sighting(server.sum, index, result is i.Result.OK, lasted)
            self.seen.append((self.now, seen))
            self.seen_ever += 1
            self.judge(server, index, seen.served, took)
        if result is i.Result.OK:
            server.heard_us = self.now
            ratio = min(4.0, max(0.25, took / max(1.0, self.mean_us[index])))  # one outlier counts for little
            server.slowness += SMOOTH * (ratio - server.slowness)
            self.mean_us[index] += SMOOTH * (took - self.mean_us[index])
            if self.set.trued_up and event.true_units and job.in_quota:
                job.customer.spend(event.true_units - job.req.units)
        if result in (i.Result.OK, i.Result.TIMEOUT):
            self.signals["latency"].append(min(1.0, took / job.rule.aim_us))
        long = result is i.Result.TIMEOUT and server.heard_us >= self.now - took  # but it answered others
        if result is i.Result.FULL:
            server.avoid_until = max(server.avoid_until, self.now + AVOID_US)
        elif not long and result not in (i.Result.CANCELLED, i.Result.MOOT):
            self.note_result(server, result is i.Result.OK)

    def judge(self, server: _Server, index: int, served: bool, took_us: float) -> None:
        """What an attempt, from here or told by a peer, says of how its server serves all gateways."""
        mean_us = max(1.0, self.mean_us[index])
        ratio = took_us / mean_us if served else WORST
        server.trouble += SMOOTH * (min(WORST, max(1 / WORST, ratio)) - server.trouble)
        if served:
            step = PACE_STEP if took_us < mean_us else -2 * PACE_STEP
            server.pace = min(MOST_PACE, max(LEAST_PACE, server.pace + step))

    def end(self, job: _Job, why: str) -> None:
        self.tally[why] += 1
        self.ended[why] += 1
        self.actions.append(i.Refuse(job.req.id, self.come_again(job, why)) if job.may_refuse()
                            else i.Fail(job.req.id))
        self.drop(job)

    def come_again(self, job: _Job, why: str) -> int:
        """When there will be room for what the request lacked, as far as is known here; by chance up to twice
        that, as clients that were refused together would else come back together. Never less: who comes
        before there is room costs a place and time, and gains nothing."""
        return round(min(self.set.max_retry_after_us, self.room_in(job, why) * (1 + self.random.random())))

    def room_in(self, job: _Job, why: str) -> float:
        customer, units = job.customer, job.req.units
        if self.n_past is not None:  # more comes than N: what comes again finds no room that others leave
            return NEVER
        if why == "crowded":
            return self.mean_us[job.req.class_index]
        if why == "quota":  # in what the others of its set, who go on asking, leave of the rate
            others = max(0.0, customer.demand - units) / DEMAND_US * S
            spare = customer.plan.rate - others
            return (units - customer.level) / spare * S if spare > 0 else NEVER
        if not job.servers and customer.plan.ceiling_rate and customer.ceiling < units:
            return (units - customer.ceiling) * customer.size / customer.plan.ceiling_rate * S
        return self.cc_us  # what is out is as much as may be, or no server takes more: a period changes that

    def on_end(self, event: i.ClientGone) -> None:
        if event.id in self.jobs:
            self.drop(self.jobs[event.id])

    def on_stream(self, event: i.StreamStarted) -> None:
        """The value is the client's, as fast as that reads: the server's own part was until now."""
        job = self.jobs.get(event.id)
        if job and event.attempt in job.out and not job.over:
            server, job.streams = job.servers[event.attempt], True
            self.close(job)
            self.out -= 1
            del server.out[(event.id, event.attempt)]
            self.learn(job, server, i.Outcome(event.id, True, event.attempt, event.server, i.Result.OK,
                                              event.latency_us))

    def close(self, job: _Job) -> None:
        """It is owed nothing more."""
        if not job.over:
            job.over = True
            self.open, self.open_bytes = self.open - 1, self.open_bytes - job.req.size

    def drop(self, job: _Job) -> None:
        if job.in_quota and not job.servers and not job.over:
            self.spend(job.customer, -job.req.units)
        calls_off = self.set.may_cancel and not job.over
        self.close(job)
        self.actions += [i.Cancel(job.req.id, number) for number in job.out if calls_off]
        if not job.out:
            self.jobs.pop(job.req.id, None)


def next_n(n_past: int, na_past: float, occup: float, overhead: float, targets: tuple[float, ...],
           seconds: float = 1.0) -> int:
    """The paper's update of N, rounded down; `targets` are max_occup, occ_too_high and min_occup."""
    max_occup, occ_too_high, min_occup = targets
    if occup < min_occup and na_past < MIN_FRACTION_CALLS * n_past:
        return n_past
    lowest, highest = n_past * (1 - MAX_DECREASE) ** seconds, n_past * (1 + MAX_INCREASE) ** seconds
    n_prelim = highest if occup <= overhead else (max_occup - overhead) / (occup - overhead) * na_past
    n_next = min(max(n_prelim, lowest), highest)
    if occup >= occ_too_high:
        n_next = max(n_prelim, lowest) * (1 - ADDL_DECREMENT) ** seconds
    elif n_prelim - n_past >= 1 and highest - n_past < 1:
        n_next = n_past + 1
    return max(1, math.floor(n_next + 1e-9))
