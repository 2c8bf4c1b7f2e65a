"""Open caps and rate ceilings of customers hold over all gateways together."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from orchidhatch.faults.invariants.attempt_reader import Attempt
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.units import MS, SOCKET_SLACK_NS, S
from orchidhatch.faults.invariants.violations import Violation
from orchidhatch.faults.plan import Customers

OPEN_CAP_CHECK = "caps"
CEILING_CHECK = "ceilings"
CEILING_SLACK_NS = 150 * MS
"""Of a ceiling's rate, by which its slack is wider on sockets."""
CEILING_BURST_SLACK = 0.1
MIN_CEILING_SLACK_UNITS = 1.0


def check_open_caps(trial: TrialRecord) -> Iterator[Violation]:
    """Attempts in flight for a customer: few beyond its open cap, as gossip is late."""
    plans = {plan.plan: plan for plan in trial.plan.load.customers if plan.max_out}
    beyond: list[Attempt] = []
    count = 0
    for (_, plan), attempts in attempts_by_customer(trial, plans).items():
        count += len(attempts)
        beyond += attempts_beyond_cap(attempts, plans[plan].max_out)
    share = len(beyond) / count if count else 0.0
    trial.figures["beyond_cap_share"] = round(share, 4)
    allowed = trial.plan.holds.beyond_cap
    if share > allowed:
        yield Violation(
            OPEN_CAP_CHECK,
            beyond[0].request,
            f"{len(beyond)} of {count} attempts began beyond an open cap; {allowed:g} of them at most may",
        )


def attempts_beyond_cap(attempts: list[Attempt], open_cap: int) -> list[Attempt]:
    """The attempts of a customer that began with as many in flight as its open cap allows."""
    beyond = []
    ends: list[int] = []
    for attempt in sorted(attempts, key=lambda attempt: attempt.begin):
        ends = [end for end in ends if end > attempt.begin + SOCKET_SLACK_NS]
        if len(ends) >= open_cap:
            beyond.append(attempt)
        ends.append(attempt.end)
    return beyond


def check_ceilings(trial: TrialRecord) -> Iterator[Violation]:
    """First attempts of a customer: the ceiling's token bucket never owes more than the slack allows."""
    plans = {plan.plan: plan for plan in trial.plan.load.customers if plan.ceiling_rate}
    for (customer, plan_name), attempts in attempts_by_customer(trial, plans).items():
        yield from ceiling_violations(customer, plans[plan_name], attempts)


def ceiling_violations(customer: str, plan: Customers, attempts: list[Attempt]) -> Iterator[Violation]:
    """The first attempt of a customer that was sent beyond its ceiling, if any."""
    slack = max(MIN_CEILING_SLACK_UNITS, CEILING_BURST_SLACK * plan.ceiling_burst)
    slack += plan.ceiling_rate * CEILING_SLACK_NS / S
    level = plan.ceiling_burst
    refilled_ns = 0
    seen: set[str] = set()
    for attempt in sorted(attempts, key=lambda attempt: attempt.begin):
        if attempt.request in seen:
            continue
        seen.add(attempt.request)
        refill = plan.ceiling_rate * (attempt.begin - refilled_ns) / S
        level = min(plan.ceiling_burst, level + refill) - 1.0
        refilled_ns = attempt.begin
        if level < -slack:
            yield Violation(
                CEILING_CHECK, attempt.request, f"customer {customer} is {-level:.1f} under its ceiling"
            )
            return


def attempts_by_customer(
    trial: TrialRecord, plans: Mapping[str, object]
) -> dict[tuple[str, str], list[Attempt]]:
    """The attempts of the customers under these plans, by customer and plan."""
    found: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for attempt in trial.attempts:
        sent = trial.requests.get(attempt.request)
        if sent and sent.payload["plan"] in plans:
            found[attempt.customer, sent.payload["plan"]].append(attempt)
    return found
