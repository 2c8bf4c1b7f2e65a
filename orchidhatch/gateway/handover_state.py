"""The snapshot that a process hands over to its successor: taken from the components, and restored."""

import math
from collections.abc import Iterable, Mapping

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import GatewaySnapshot, HandoverAttempt, HandoverEjection, OverloadSnapshot


def take_snapshot(
    context: DecisionContext,
    cap: OverloadController,
    routing: LoadBalancer,
    customers: Iterable[Customer],
    names: Mapping[str, bool],
    jobs: Iterable[InFlightRequest],
) -> GatewaySnapshot:
    """All that a gateway hands over."""
    return GatewaySnapshot(
        context.now_us,
        OverloadSnapshot(
            cap.n_past or 0,
            cap.admitted,
            cap.period_start_us,
            cap.period_length_us,
            cap.overhead,
            cap.rate,
            routing.usual,
        ),
        tuple(routing.mean_us),
        tuple(known.snapshot() for known in customers),
        tuple(server.snapshot() for server in routing.servers.values()),
        tuple(HandoverEjection(name, left_out) for name, left_out in names.items()),
        tuple(
            HandoverAttempt(
                job.customer.key, job.request.id, number, job.servers[number].endpoint.name, sent, 0.0
            )
            for job in jobs
            for number, sent in job.attempts.items()
        ),
    )


def restore_overload(cap: OverloadController, snapshot: OverloadSnapshot) -> None:
    """Put the overload controller into the state of the snapshot."""
    cap.n_past = snapshot.admission_limit or None
    cap.limit = math.floor(snapshot.admission_limit)
    cap.admitted = snapshot.admitted
    cap.period_start_us = snapshot.period_start_us
    cap.period_length_us = snapshot.period_length_us
    cap.overhead = snapshot.overhead
    cap.rate = snapshot.attempts_per_s


def restore_servers(routing: LoadBalancer, snapshot: GatewaySnapshot) -> None:
    """Restore what the predecessor had learnt of the servers that are listed here too."""
    routing.usual = snapshot.overload.usual_attempts_per_s
    if len(snapshot.mean_latencies_us) == len(routing.mean_us):
        routing.mean_us = list(snapshot.mean_latencies_us)
    for learnt in snapshot.servers:
        if server := routing.servers.get(learnt.name):
            server.restore(learnt)
