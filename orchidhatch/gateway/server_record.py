"""The gateway's state of each server, with its snapshot and restoration.

It has no decision logic: slow_start.py, outlier_detection.py and attempt_averages.py use the fields.
"""

import zlib

from orchidhatch.gateway.endpoints import Endpoint
from orchidhatch.gateway.snapshots import ServerSnapshot
from orchidhatch.gateway.times import NEVER

# Two processes compute a server's start time from the wall clock, with a difference below this.
SAME_START_TOLERANCE_US = 100_000


class ServerRecord:
    """The state of a server of the endpoint list: its attempts, health and slow start."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        # Its sort key in the order of the list; a restarted server keeps that of its previous record.
        self.serial = 0
        self.checksum = zlib.crc32(endpoint.name.encode()) & 0xFFFF
        # When each attempt in flight was sent, by request id and attempt number.
        self.in_flight: dict[tuple[str, int], int] = {}
        self.last_answer_us = 0
        # Outlier detection. The fault score reflects the attempts of all gateways; the failure score, a
        # decaying count of failures, only those of this one.
        self.ejected_until_us = 0
        self.ejection_us = 0
        self.fault_score = 1.0
        self.failure_score = 0.0
        self.needs_probe = False
        # When it was last readmitted after an ejection.
        self.recovered_us = -NEVER
        # Latency over the mean of its request class.
        self.relative_latency = 1.0
        self.reported_load: float | None = None
        self.load_reported_us = 0
        # Slow start. An operator's ejection may hide a restart of the server, so its end counts as a start.
        self.cold_since_us = 0
        self.warm_at_us = NEVER
        # Multiplies the rate of attempts during warm-up; raised while answers show that the server is warmer.
        self.rate_multiplier = 1.0
        # Attempts that it may be sent while it warms up, as of `credit_us`.
        self.credit = 0.0
        self.credit_us = 0

    def snapshot(self) -> ServerSnapshot:
        """Return the state that is handed over to a successor process."""
        return ServerSnapshot(
            name=self.endpoint.name,
            started_us=self.endpoint.started_us,
            relative_latency=self.relative_latency,
            failure_score=self.failure_score,
            needs_probe=self.needs_probe,
            ejected_until_us=self.ejected_until_us,
            ejection_us=self.ejection_us,
            recovered_us=self.recovered_us,
            cold_since_us=self.cold_since_us,
            credit=self.credit,
            credit_us=self.credit_us,
        )

    def restore(self, snapshot: ServerSnapshot) -> None:
        """Restore the state of the snapshot, unless the server has restarted since."""
        if abs(self.endpoint.started_us - snapshot.started_us) >= SAME_START_TOLERANCE_US:
            return
        self.relative_latency = snapshot.relative_latency
        self.failure_score = snapshot.failure_score
        self.needs_probe = snapshot.needs_probe
        self.ejected_until_us = snapshot.ejected_until_us
        self.ejection_us = snapshot.ejection_us
        self.recovered_us = snapshot.recovered_us
        self.cold_since_us = snapshot.cold_since_us
        self.credit = snapshot.credit
        self.credit_us = snapshot.credit_us
