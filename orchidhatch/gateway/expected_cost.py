"""The expected cost of sending an attempt to a server, by which candidates are compared.

It is the expected wait (attempts in flight, latency, reported load) times factors for a new connection, the
fault score, the zone, a recent recovery and slow start. DESIGN leaves the choice of server to the
implementation.
"""

from orchidhatch.gateway.attempt_averages import AttemptAverages
from orchidhatch.gateway.connection_affinity import ConnectionAffinity
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.outlier_detection import OutlierDetector
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.slow_start import SlowStart
from orchidhatch.gateway.times import S

LOAD_REPORT_TTL_US = 1.5 * S
MIN_MEAN_LOAD = 0.01
# Added to the zone factor by a cross-zone price of 1.
CROSS_ZONE_COST = 10


class ExpectedCost:
    """Computes expected costs; only their order matters, so they have no unit."""

    def __init__(
        self,
        context: DecisionContext,
        averages: AttemptAverages,
        affinity: ConnectionAffinity,
        outliers: OutlierDetector,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.averages = averages
        self.affinity = affinity
        self.outliers = outliers
        self.slow_start = slow_start

    def compute(self, server: ServerRecord) -> float:
        """Return the expected cost of an attempt at the server now; 0 if a recovery probe is due."""
        connection_cost = self.affinity.connection_cost(server)
        queue_length = 0 if server.needs_probe else len(server.in_flight) + 1
        fault_cost = self.outliers.fault_cost(server)
        load_cost = self.load_cost(server)
        wait = connection_cost * queue_length * server.relative_latency * fault_cost * load_cost
        zone_cost = self.zone_cost(server)
        recovery_cost = self.outliers.recovery_cost(server)
        return wait * zone_cost * recovery_cost / self.slow_start.weight(server)

    def load_cost(self, server: ServerRecord) -> float:
        """Return the cost factor of a server's reported load; 1 without a recent report.

        Half of the factor is constant, the other half is proportional to the load over the mean.
        """
        load = server.reported_load
        if load is None or self.context.now_us - server.load_reported_us >= LOAD_REPORT_TTL_US:
            return 1.0
        return 0.5 + load / max(MIN_MEAN_LOAD, self.averages.mean_load) / 2

    def zone_cost(self, server: ServerRecord) -> float:
        """Return the cost factor for crossing zones; 1 within the gateway's own zone."""
        settings = self.context.settings
        is_cross_zone = server.endpoint.zone != settings.zone
        return 1 + CROSS_ZONE_COST * settings.cross_zone_price * is_cross_zone
