"""Feedback from attempts, of this gateway and of others, on the load and health of servers."""

from collections.abc import Iterable

from orchidhatch.gateway.attempts import OBSERVED_RESULTS, AttemptResult, LoadReport
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import AttemptEnded
from orchidhatch.gateway.gossip import AttemptObservation
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OccupancySignal, OverloadController
from orchidhatch.gateway.peer_outbox import PeerOutbox
from orchidhatch.gateway.server_record import ServerRecord

RESULTS_WITH_LATENCY = (AttemptResult.OK, AttemptResult.TIMEOUT)
"""Results whose latency shows how busy the servers are."""


class AttemptLearning:
    """Passes the results of attempts on to overload control, load balancing and the other gateways."""

    def __init__(
        self,
        context: DecisionContext,
        overload: OverloadController,
        balancer: LoadBalancer,
        outbox: PeerOutbox,
    ) -> None:
        self.context = context
        self.overload = overload
        self.balancer = balancer
        self.outbox = outbox

    def record_attempt(self, request: InFlightRequest, server: ServerRecord, event: AttemptEnded) -> None:
        """Record an attempt of this gateway that has ended, or whose streamed answer has begun."""
        result = event.result
        has_latency = result in RESULTS_WITH_LATENCY
        relative_latency = event.latency_us / request.rule.latency_objective_us if has_latency else 0.0
        report = event.report or LoadReport()
        if report.util is not None:
            self.overload.observe(OccupancySignal.UTILIZATION, report.util)
        if result in OBSERVED_RESULTS:
            succeeded = result is AttemptResult.OK
            self.outbox.add_observation(
                AttemptObservation(server.checksum, request.class_index, succeeded, relative_latency)
            )
        self.balancer.record_attempt(server, request.class_index, event, reported_load(report))
        settings = self.context.settings
        if (
            result is AttemptResult.OK
            and settings.settles_units
            and event.actual_units
            and request.is_in_quota
        ):
            request.customer.spend(event.actual_units - request.units)
        if has_latency:
            self.overload.observe(OccupancySignal.LATENCY, min(1.0, relative_latency))

    def record_peer_observations(self, observations: Iterable[AttemptObservation]) -> None:
        """Record the results of another gateway's attempts."""
        classes = self.context.settings.classes
        for observation in observations:
            server = self.balancer.index.find_by_checksum(observation.server_checksum)
            if server is None or observation.class_index >= len(classes):
                continue
            relative_latency = observation.relative_latency
            if observation.succeeded or relative_latency:
                self.overload.observe(OccupancySignal.LATENCY, relative_latency)
            objective_us = classes[observation.class_index].latency_objective_us
            latency_us = relative_latency * objective_us
            self.balancer.observe(server, observation.class_index, observation.succeeded, latency_us)


def reported_load(report: LoadReport) -> float | None:
    """Return the load figure by which servers are compared, None without any.

    `util` is preferred, as it alone tells how busy a server is; the others only compare servers.
    """
    if report.util is not None:
        return report.util
    if report.inflight is not None:
        return report.inflight
    return report.queue
