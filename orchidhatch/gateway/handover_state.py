"""Takes the snapshot that a process hands over to its successor, and restores it."""

import math
from collections.abc import Collection, Iterable, Iterator, Mapping

from orchidhatch.gateway.counted_grants import CountedGrant
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import (
    CountedGrantSnapshot,
    CustomerKey,
    GatewaySnapshot,
    GrantRequestSnapshot,
    HandoverAttempt,
    HandoverEjection,
    OverloadSnapshot,
    ReceivedTotalSnapshot,
    ReportStreamSnapshot,
)
from orchidhatch.gateway.spent_totals import ReceivedTotal, StreamPosition

MAX_SNAPSHOT_GRANT_REQUESTS = 10_000
"""Maximum number of grant requests handed over, the latest ones; about 80 bytes each."""

MAX_SNAPSHOT_COUNTED_GRANTS = 10_000
"""Maximum number of grants counted for other gateways that are handed over, the latest ones."""

MAX_SNAPSHOT_REPORT_STREAMS = 10_000
"""Maximum number of report streams handed over, those of the customers seen last."""

MAX_SNAPSHOT_RECEIVED_TOTALS = 10_000
"""Maximum number of spent totals of other gateways handed over, the latest ones."""


def take_snapshot(
    context: DecisionContext,
    overload: OverloadController,
    balancer: LoadBalancer,
    customers: Collection[Customer],
    ejected_by_name: Mapping[str, bool],
    requests: Iterable[InFlightRequest],
) -> GatewaySnapshot:
    """Return all state that a gateway hands over, at the context's time."""
    ejections = [HandoverEjection(name, is_ejected) for name, is_ejected in ejected_by_name.items()]
    return GatewaySnapshot(
        now_us=context.now_us,
        overload=snapshot_overload(overload, balancer),
        mean_latencies_us=tuple(balancer.mean_latencies_us),
        customers=tuple(customer.snapshot() for customer in customers),
        servers=tuple(server.snapshot() for server in balancer.servers.values()),
        ejections=tuple(ejections),
        attempts=tuple(attempts_in_flight(requests)),
        grant_requests=latest_grant_requests(customers, context.now_us),
        counted_grants=latest_counted_grants(customers, context.now_us),
        report_streams=latest_report_streams(customers),
        received_totals=latest_received_totals(customers),
    )


def snapshot_overload(overload: OverloadController, balancer: LoadBalancer) -> OverloadSnapshot:
    """Return the overload controller's state, with the usual rate that slow start uses."""
    return OverloadSnapshot(
        admission_limit=overload.admission_limit or 0,
        admitted=overload.admitted_this_period,
        period_start_us=overload.period_start_us,
        period_length_us=overload.period_length_us,
        overhead=overload.overhead,
        attempts_per_s=overload.admissions_per_s,
        usual_attempts_per_s=balancer.slow_start.usual_rate,
    )


def attempts_in_flight(requests: Iterable[InFlightRequest]) -> Iterator[HandoverAttempt]:
    """Yield the attempts in flight, without units, which the customers' snapshots include already."""
    for request in requests:
        for number, sent_us in request.attempts.items():
            yield HandoverAttempt(
                key=request.customer.key,
                id=request.id,
                attempt=number,
                server=request.servers[number].endpoint.name,
                sent_us=sent_us,
                units=0.0,
            )


def latest_grant_requests(customers: Iterable[Customer], now_us: int) -> tuple[GrantRequestSnapshot, ...]:
    """Return the customers' grant requests whose grant numbers are in use, the oldest first."""
    requests = [
        grant.snapshot(customer.key)
        for customer in customers
        for grant in customer.grant_requests.in_use(now_us)
    ]
    requests.sort(key=lambda request: request.opened_us)
    return tuple(requests[-MAX_SNAPSHOT_GRANT_REQUESTS:])


def latest_counted_grants(customers: Iterable[Customer], now_us: int) -> tuple[CountedGrantSnapshot, ...]:
    """Return the grants counted for other gateways that may be requested again, the oldest first."""
    grants = [
        CountedGrantSnapshot(
            key=customer.key,
            peer=peer,
            number=number,
            requested=grant.requested,
            counted=grant.counted,
            counted_us=grant.counted_us,
        )
        for customer in customers
        for (peer, number), grant in customer.counted_grants.known(now_us)
    ]
    grants.sort(key=lambda grant: grant.counted_us)
    return tuple(grants[-MAX_SNAPSHOT_COUNTED_GRANTS:])


def latest_report_streams(customers: Iterable[Customer]) -> tuple[ReportStreamSnapshot, ...]:
    """Return the customers' report streams, in the order of the customers."""
    streams = [
        ReportStreamSnapshot(customer.key, *customer.report_stream.position)
        for customer in customers
        if customer.report_stream.position is not None
    ]
    return tuple(streams[-MAX_SNAPSHOT_REPORT_STREAMS:])


def latest_received_totals(customers: Iterable[Customer]) -> tuple[ReceivedTotalSnapshot, ...]:
    """Return the latest spent totals received from other gateways, the oldest first."""
    totals = [
        ReceivedTotalSnapshot(customer.key, peer, *total)
        for customer in customers
        for peer, total in customer.received_totals.by_peer.items()
    ]
    totals.sort(key=lambda total: total.received_us)
    return tuple(totals[-MAX_SNAPSHOT_RECEIVED_TOTALS:])


def restore_totals(customers: Mapping[CustomerKey, Customer], snapshot: GatewaySnapshot) -> None:
    """Continue the predecessor's report streams, and count on from the spent totals that it received."""
    for stream in snapshot.report_streams:
        customer = customers.get(stream.key)
        if customer:
            customer.report_stream.position = StreamPosition(
                stream.number, stream.began_us, stream.sequence, stream.units
            )
    for received in snapshot.received_totals:
        customer = customers.get(received.key)
        if customer:
            customer.received_totals.by_peer[received.peer] = ReceivedTotal(
                received.stream, received.sequence, received.units, received.received_us
            )


def restore_grants(customers: Mapping[CustomerKey, Customer], snapshot: GatewaySnapshot) -> None:
    """Restore the predecessor's grant requests and counted grants, as messages may refer to them."""
    for request in snapshot.grant_requests:
        customer = customers.get(request.key)
        if customer:
            customer.grant_requests.restore(request)
    for counted in snapshot.counted_grants:
        customer = customers.get(counted.key)
        if customer:
            grant = CountedGrant(counted.requested, counted.counted, counted.counted_us)
            customer.counted_grants.add(counted.peer, counted.number, grant)


def restore_overload(overload: OverloadController, snapshot: OverloadSnapshot) -> None:
    """Restore the overload controller's state from the snapshot."""
    overload.admission_limit = snapshot.admission_limit or None
    overload.period_limit = math.floor(snapshot.admission_limit)
    overload.admitted_this_period = snapshot.admitted
    overload.period_start_us = snapshot.period_start_us
    overload.period_length_us = snapshot.period_length_us
    overload.overhead = snapshot.overhead
    overload.admissions_per_s = snapshot.attempts_per_s


def restore_servers(balancer: LoadBalancer, snapshot: GatewaySnapshot) -> None:
    """Restore the predecessor's state of the servers that are listed here too."""
    balancer.slow_start.usual_rate = snapshot.overload.usual_attempts_per_s
    # The predecessor may have run with different request classes.
    if len(snapshot.mean_latencies_us) == len(balancer.mean_latencies_us):
        balancer.mean_latencies_us = list(snapshot.mean_latencies_us)
    for server_snapshot in snapshot.servers:
        server = balancer.servers.get(server_snapshot.name)
        if server:
            server.restore(server_snapshot)
