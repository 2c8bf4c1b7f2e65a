"""The log lines that report the traffic and the cost of each interval of a few seconds.

scripts/fleet-table parses these lines, so their format must not change.
"""

import asyncio
import logging

from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.cpu_accounting import CHARGED_CATEGORIES, CostCategory, CpuAccounting
from orchidhatch.proxy.event_dispatcher import EventDispatcher
from orchidhatch.proxy.process_resources import open_descriptors, peak_resident_bytes, resident_bytes
from orchidhatch.proxy.request_lifecycle import RequestLifecycle

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 5.0
# The customers of one line: those that spent most.
MAX_LOGGED_CUSTOMERS = 200


class PeriodicLog:
    """Writes the counts of each interval, and resets them."""

    def __init__(
        self,
        requests: RequestLifecycle,
        dispatcher: EventDispatcher,
        clients: Clients,
        backends: Backends,
        account: CpuAccounting,
        max_descriptors: int,
    ) -> None:
        self.requests = requests
        self.dispatcher = dispatcher
        self.clients = clients
        self.backends = backends
        self.account = account
        self.max_descriptors = max_descriptors
        self.logged_cpu_s: dict[CostCategory, float] = {}
        self.timer: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Schedule the next lines after LOG_INTERVAL_S."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LOG_INTERVAL_S, self.account.run, CostCategory.LOG, self.write)

    def close(self) -> None:
        """Stop the periodic lines."""
        if self.timer:
            self.timer.cancel()

    def write(self) -> None:
        """Write the lines of this interval and start the next one."""
        self._write_traffic()
        self._write_cost()
        self._write_shares()
        self._write_input()
        requests = self.requests
        for counter in (requests.tally, self.backends.tally, requests.sent, requests.spent):
            counter.clear()
        self.dispatcher.longest_batch_us = 0
        self.clients.loop_watch.longest_turn_us = 0
        self.schedule()

    def _write_traffic(self) -> None:
        """Write the interval's traffic and socket counts; the core's own line reports its decisions."""
        traffic = " ".join(f"{name}={count}" for name, count in sorted(self.requests.tally.items()))
        sockets = " ".join(f"{name}={count}" for name, count in sorted(self.backends.tally.items()))
        log.info(
            "%s; open %d, longest batch %.1f ms; clients %d, to backends %d: %s",
            traffic or "idle",
            len(self.requests.open),
            self.dispatcher.longest_batch_us / 1000,
            len(self.clients.connections),
            self.backends.connection_count,
            sockets or "-",
        )

    def _write_shares(self) -> None:
        """Write attempts by backend and units by customer, which add up over the gateways of a tier."""
        sent = self.requests.sent
        by_backend = " ".join(
            f"{name}={sent[name]}/{len(pool.connections)}"
            for name, pool in self.backends.pools.items()
            if pool.connections or sent[name]
        )
        spent = " ".join(
            f"{customer}/{plan}/{size}={units:g}"
            for (customer, plan, size), units in self.requests.spent.most_common(MAX_LOGGED_CUSTOMERS)
        )
        log.info("shares: to %s; spent %s", by_backend or "-", spent or "-")

    def _write_input(self) -> None:
        """Write how long the event loop's turns were, and what the clients sent beside requests, in total."""
        metrics = self.clients.metrics
        scheduler = self.clients.input_scheduler
        log.info(
            "input: longest turn %.1f ms; since the start malformed commands %d streams %d, refused %d, "
            "timed out %d, deferrals %d; waiting now %d, unprocessed %d bytes; ids remembered %d",
            self.clients.loop_watch.longest_turn_us / 1000,
            metrics.malformed_commands,
            metrics.malformed_streams,
            metrics.refused_commands,
            metrics.command_timeouts,
            scheduler.deferrals,
            scheduler.waiting_count(),
            self.clients.partial_command_bytes,
            len(self.requests.recent),
        )

    def _write_cost(self) -> None:
        """Write the interval's CPU time, exact in total and estimated by category, and the memory in use."""
        request_count = self.requests.tally["asked"]
        is_idle = not request_count and not self.requests.open
        interval_s, cpu_s = self.account.end_interval(is_idle)
        cost_by_request = f", {cpu_s * 1e6 / request_count:.0f} us a request" if request_count else ""
        log.info(
            "cost: cpu %.1f ms in %.1f s%s; of it %s; resident %d KB, peak %d KB, descriptors %d of %d",
            cpu_s * 1e3,
            interval_s,
            cost_by_request,
            self._cost_by_category(),
            (resident_bytes() or 0) >> 10,
            peak_resident_bytes() >> 10,
            open_descriptors() or 0,
            self.max_descriptors,
        )

    def _cost_by_category(self) -> str:
        """Return the CPU time of each category since the last call, in ms."""
        costs = []
        for category in CHARGED_CATEGORIES:
            total_s = self.account.estimated_cpu_s(category)
            interval_s = total_s - self.logged_cpu_s.get(category, 0)
            self.logged_cpu_s[category] = total_s
            costs.append(f"{category.label} {interval_s * 1e3:.1f}")
        return " ".join(costs)
