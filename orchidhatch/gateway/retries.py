"""When an attempt is given up, whether a further one is worth it, and when a client may come again."""

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import Job
from orchidhatch.gateway.load_balancing import Routing
from orchidhatch.gateway.overload import Cap
from orchidhatch.gateway.quota import DEMAND_US
from orchidhatch.gateway.settings import Idempotency
from orchidhatch.gateway.times import NEVER, S

RETRY_SHARE, RETRY_STORE, LONG_MEANS = 0.1, 8.0, 8  # attempts earned by a first one, kept; see time_out


class Retries:
    """Further attempts live on a small share of first ones, so that they feed no overload."""

    def __init__(self, desk: DecisionContext, routing: Routing, cap: Cap) -> None:
        self.desk, self.routing, self.cap = desk, routing, cap
        self.left = RETRY_STORE / 2

    def earn(self) -> None:
        self.left = min(RETRY_STORE, self.left + RETRY_SHARE)

    def mean_us(self, job: Job) -> float:
        return self.routing.mean_us[job.req.class_index]

    def time_out(self, job: Job) -> int:
        """Microseconds until it is given up: while another can meet the aim, once rather lost than large."""
        left, mean = job.end_us - self.desk.now, self.mean_us(job)
        early = round(job.aim_us - self.desk.now - 2 * mean)
        last = job.rule.idempotency is Idempotency.UNSAFE or len(job.servers) >= self.desk.set.max_attempts
        return max(1, left if last or early < LONG_MEANS * mean else min(left, early))

    def begin_within(self, job: Job) -> int:
        """Microseconds in which a repeat of what may have run must be begun; it may wait for a connection."""
        bound = job.rule.idempotency is Idempotency.KEYED and job.ran_on is not None
        return max(1, job.ran_us + job.rule.dedup_window_us - self.desk.now) if bound else 0

    def may(self, job: Job, why: AttemptResult) -> bool:
        """Whether a further attempt may follow one that ended so."""
        late = why is AttemptResult.NOT_SENT or self.desk.now + self.mean_us(job) / 2 >= job.end_us
        paid = why is AttemptResult.CONNECT_FAILED or self.left >= 1
        return not late and paid and len(job.servers) < self.desk.set.max_attempts

    def pay(self, why: AttemptResult) -> None:
        self.left -= why is not AttemptResult.CONNECT_FAILED

    # --- advice ---

    def come_again(self, job: Job, why: str) -> int:
        """When there will be room for what the request lacked, as far as is known here; by chance up to twice
        that, as clients that were refused together would else come back together. Never less: who comes
        before there is room costs a place and time, and gains nothing."""
        most = self.desk.set.max_retry_after_us
        return round(min(most, self.room_in(job, why) * (1 + self.desk.random.random())))

    def room_in(self, job: Job, why: str) -> float:
        customer, units = job.customer, job.req.units
        if self.cap.n_past is not None:  # more comes than N: what comes again finds no room that others leave
            return NEVER
        if why == "crowded":
            return self.mean_us(job)
        if why == "quota":  # in what the others of its set, who go on asking, leave of the rate
            others = max(0.0, customer.demand - units) / DEMAND_US * S
            spare = customer.plan.rate - others
            return (units - customer.level) / spare * S if spare > 0 else NEVER
        if not job.servers and customer.plan.ceiling_rate and customer.ceiling < units:
            return (units - customer.ceiling) * customer.size / customer.plan.ceiling_rate * S
        return self.cap.cc_us  # as much is out as may be, or no server takes more: a period changes that
