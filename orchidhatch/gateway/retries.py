"""When an attempt is given up, whether a further one is worth it, and when a client may come again."""

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.settings import Idempotency
from orchidhatch.gateway.times import NEVER

# Attempts that no server has seen: their retries feed no overload.
FREE_RETRIES = (AttemptResult.CONNECT_FAILED, AttemptResult.LOCAL_FAILURE)
RETRY_SHARE, RETRY_STORE, LONG_MEANS = 0.1, 8.0, 8  # attempts earned by a first one, kept; see timeout_us


class RetryPolicy:
    """Further attempts live on a small share of first ones, so that they feed no overload."""

    def __init__(self, context: DecisionContext, routing: LoadBalancer, cap: OverloadController) -> None:
        self.context, self.balancer, self.overload = context, routing, cap
        self.budget = RETRY_STORE / 2

    def earn(self) -> None:
        self.budget = min(RETRY_STORE, self.budget + RETRY_SHARE)

    def mean_us(self, job: InFlightRequest) -> float:
        return self.balancer.mean_us[job.request.class_index]

    def timeout_us(self, job: InFlightRequest) -> int:
        """Microseconds until it is given up: while another can meet the aim, once rather lost than large."""
        left, mean = job.deadline_us - self.context.now_us, self.mean_us(job)
        early = round(job.objective_us - self.context.now_us - 2 * mean)
        most = self.context.settings.max_attempts
        last = job.rule.idempotency is Idempotency.UNSAFE or len(job.servers) >= most
        return max(1, left if last or early < LONG_MEANS * mean else min(left, early))

    def start_within_us(self, job: InFlightRequest) -> int:
        """Microseconds in which a repeat of what may have run must be begun; it may wait for a connection."""
        bound = job.rule.idempotency is Idempotency.KEYED and job.first_server is not None
        return max(1, job.first_sent_us + job.rule.dedup_window_us - self.context.now_us) if bound else 0

    def may_retry(self, job: InFlightRequest, why: AttemptResult) -> bool:
        """Whether a further attempt may follow one that ended so."""
        late = why is AttemptResult.NOT_SENT or self.context.now_us + self.mean_us(job) / 2 >= job.deadline_us
        paid = why in FREE_RETRIES or self.budget >= 1
        return not late and paid and len(job.servers) < self.context.settings.max_attempts

    def spend(self, why: AttemptResult) -> None:
        self.budget -= why not in FREE_RETRIES

    # --- advice ---

    def retry_after_us(self, job: InFlightRequest, why: str) -> int:
        """When there will be room for what the request lacked, as far as is known here; by chance up to twice
        that, as clients that were refused together would else come back together. Never less: who comes
        before there is room costs a place and time, and gains nothing."""
        most = self.context.settings.max_retry_after_us
        return round(min(most, self.capacity_in_us(job, why) * (1 + self.context.random.random())))

    def capacity_in_us(self, job: InFlightRequest, why: str) -> float:
        customer, units = job.customer, job.request.units
        if self.overload.n_past is not None:  # more comes than N: who comes again finds no room
            return NEVER
        if why == "crowded":
            return self.mean_us(job)
        if why == "quota":
            return customer.quota_wait_us(units)
        if not job.servers and customer.lacks_ceiling_units(units):
            return customer.ceiling_wait_us(units)
        return self.overload.period_length_us  # no slot, or no server takes more: a period changes that
