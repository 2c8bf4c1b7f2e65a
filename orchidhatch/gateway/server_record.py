"""What the gateway knows of each server, and how it is put into a snapshot and restored."""

import zlib

from orchidhatch.gateway.endpoints import Endpoint
from orchidhatch.gateway.snapshots import ServerSnapshot
from orchidhatch.gateway.times import NEVER

SAME_START_US = 100_000  # two processes may reckon a server's start from the wall clock this differently


class ServerRecord:
    """The state of a server of the endpoint list: its attempts, health and slow start."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        # Its place in the order of the list; a server that was started anew has that of its predecessor.
        self.serial = 0
        self.checksum = zlib.crc32(endpoint.name.encode()) & 0xFFFF
        # Attempts by request and number, and when each was sent.
        self.in_flight: dict[tuple[str, int], int] = {}
        self.last_answer_us = 0
        self.ejected_until_us = 0
        self.ejection_us = 0
        # Latency over the mean, or WORST for a failure, as all gateways have met it.
        self.fault_score = 1.0
        self.relative_latency = 1.0
        # A decaying count of failures.
        self.failure_score = 0.0
        self.needs_probe = False
        self.reported_load: float | None = None
        self.load_reported_us = 0
        # When it was last readmitted after an ejection.
        self.recovered_us = -NEVER
        # How much more it is sent while cold, as its answers show that it is warmer.
        self.pace = 1.0
        # When it may have started anew, ejected by an operator.
        self.cold_since_us = 0
        # From when on it is warm, by its start.
        self.warm_at_us = NEVER
        # The part of an attempt that is due to it while cold, and as of when.
        self.credit = 0.0
        self.credit_us = 0

    def snapshot(self) -> ServerSnapshot:
        """What is handed over of it."""
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
        """Go on from the snapshot, unless the server has been started anew since."""
        if abs(self.endpoint.started_us - snapshot.started_us) >= SAME_START_US:
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
