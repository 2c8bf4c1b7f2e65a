"""The last checks before an attempt is written to its backend.

The decision core and the request lifecycle ensure the invariants earlier; the guard counts a breach. That the
client is still there is checked here alone, at its socket.
"""

from collections import Counter
from collections.abc import Mapping

from orchidhatch.gateway.settings import Idempotency
from orchidhatch.proxy.active_configuration import ActiveConfiguration
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.guards import Guard, Refusal
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.request_exchange import RequestExchange

GUARD_SLACK_US = 5_000
"""Tolerance for the clock's advance between the attempt's own deadline check and the guard's."""
LEFT_BEFORE_SENDING = "left before sending"
"""The count of attempts that were not sent as the client had left."""


class AttemptChecks:
    """Decides for each attempt whether it may be written now, by its request among `open_requests`."""

    def __init__(
        self,
        open_requests: Mapping[str, RequestExchange],
        active: ActiveConfiguration,
        guard: Guard,
        loop_watch: LoopWatch,
        tally: Counter[str],
    ) -> None:
        self.open_requests = open_requests
        self.active = active
        self.guard = guard
        self.loop_watch = loop_watch
        self.tally = tally

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be written to its backend now.

        A disconnect of the client may be unread after a stall of the event loop.
        """
        exchange = self.open_requests.get(attempt.request_id)
        if exchange and exchange.reply.has_client_left(self.loop_watch.is_after_gap):
            self.tally[LEFT_BEFORE_SENDING] += 1
            return False
        refusal = self._refusal(attempt, exchange)
        if refusal:
            detail = f"attempt={attempt.number} server={attempt.server}"
            self.guard.refuse(refusal, attempt.request_id, detail)
        return refusal is None

    def _refusal(self, attempt: Attempt, exchange: RequestExchange | None) -> Refusal | None:
        """Return the invariant that sending the attempt would break, if any."""
        if exchange is None or exchange.in_flight.get(attempt.number) is not attempt:
            return Refusal.REQUEST_ENDED
        if exchange.has_another_in_flight(attempt):
            return Refusal.OVERLAPPING_ATTEMPT
        if attempt.number >= self.active.settings.max_attempts:
            return Refusal.TOO_MANY_ATTEMPTS
        if now_us() >= exchange.deadline_us + GUARD_SLACK_US and not exchange.is_interrupted:
            return Refusal.PAST_DEADLINE
        return self._repeat_refusal(exchange)

    def _repeat_refusal(self, exchange: RequestExchange) -> Refusal | None:
        """Return why a request that a backend may have run must not be sent again, or None if it may."""
        request_class = self.active.settings.classes[exchange.command.request.class_index]
        if not exchange.first_possible_run_us or request_class.idempotency is Idempotency.SAFE:
            return None
        if request_class.idempotency is Idempotency.UNSAFE:
            return Refusal.REPEAT_FORBIDDEN
        is_in_window = now_us() < exchange.first_possible_run_us + request_class.dedup_window_us
        return None if is_in_window else Refusal.PAST_REPEAT_WINDOW
