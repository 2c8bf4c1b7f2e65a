"""The lifecycle of each request: accepted from a client, sent in attempts, answered exactly once.

`start_request` parses a request and posts it to the decision core. The core's actions arrive as calls of
`send`, `cancel`, `reject` and `fail`. `handle_attempt_end` reports the end of each attempt to the core.
`close_request` closes a request with the first answer, failure or disconnect. A backstop timer fails the
request if the core does not answer it in time.

The module is longer than others to keep the whole lifecycle in one place.
"""

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable

from orchidhatch.gateway.actions import CancelAttempt, Fail, Reject, SendAttempt
from orchidhatch.gateway.attempts import NOT_RUN_RESULTS, AttemptResult, LoadReport
from orchidhatch.gateway.events import AttemptEnded, ClientGone, EndOpenRequests, Event
from orchidhatch.proxy.active_configuration import ActiveConfiguration
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.attempt_checks import AttemptChecks
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.command_parser import CommandError
from orchidhatch.proxy.config_reader import MAX_TIME_US
from orchidhatch.proxy.guards import Guard
from orchidhatch.proxy.long_values import LongValues
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.metrics import RequestMetrics, RequestOutcome
from orchidhatch.proxy.policy_guard import PolicyGuard
from orchidhatch.proxy.recent_requests import RecentRequests
from orchidhatch.proxy.reply import FAILED_ANSWER, Reply
from orchidhatch.proxy.request_exchange import RequestExchange
from orchidhatch.proxy.wait_queues import WaitHistogram

log = logging.getLogger(__name__)

# Subtracted from the client's timeout to cover the network delay of the request and of its answer.
ANSWER_MARGIN_US = 25_000
# How long after its deadline a request is failed here if the decision core has not ended it.
BACKSTOP_US = 15_000
# How much longer after a stall of the event loop.
BACKSTOP_GRACE_S = 0.01
US_PER_MS = 1000
# How long a value that ended early waits for an attempt that gives the rest; the core ends it earlier.
RESUMPTION_BACKSTOP_S = 5.0


class RequestLifecycle:
    """Owner of all in-flight requests, from the command to the end of the last attempt."""

    def __init__(
        self,
        active: ActiveConfiguration,
        request_metrics: RequestMetrics,
        post: Callable[[Event], None],
        guard: Guard | None = None,
        loop_watch: LoopWatch | None = None,
    ) -> None:
        self.loop_watch = loop_watch or LoopWatch()
        self.active = active
        self.request_metrics = request_metrics
        self.post = post
        self.loop = asyncio.get_running_loop()
        self.open: dict[str, RequestExchange] = {}
        """Requests without an answer, by id."""
        self.ended: dict[str, RequestExchange] = {}
        """Answered or abandoned requests with attempts still in flight, by id."""
        self.recent = RecentRequests()
        """Requests that a backend may have run, at any process of this gateway."""
        self.open_command_bytes = 0
        self.long_values = LongValues(self.open, post)
        self.queue_waits = WaitHistogram()
        self.tally: Counter[str] = Counter()
        """Requests and results of attempts since the last periodic log line."""
        self.checks = AttemptChecks(self.open, active, guard or Guard(), self.loop_watch, self.tally)
        self.results: Counter[str] = Counter()
        """Results of attempts since the process start."""
        self.retries: Counter[str] = Counter()
        """Retries by the result of the previous attempt, since the process start."""
        self.sent: Counter[str] = Counter()
        """Attempts by backend, since the last periodic log line."""
        self.spent: Counter[tuple[str, str, int]] = Counter()
        """Units by customer, plan and size of the gateway set, since the last periodic log line."""
        self.answer_deadline_us: int | None = None
        """Until when answers can be sent before SIGKILL; None unless the process is shutting down."""
        self.clients: Clients
        self.backends: Backends
        self.policy_guard: PolicyGuard

    def set_collaborators(self, clients: Clients, backends: Backends, policy_guard: PolicyGuard) -> None:
        """Set the collaborators, which are created later because they take this object's callbacks."""
        self.clients = clients
        self.backends = backends
        self.policy_guard = policy_guard
        self.long_values.clients = clients

    # --- requests from clients ---

    def start_request(self, arguments: list[bytes], reply: Reply) -> None:
        """Start a request for a client's command.

        Raises CommandError if the command is invalid or its request id is in use.
        """
        now = now_us()
        unread_us = now - reply.connection.arrived_us
        self.policy_guard.check()
        command = self.active.parser.parse(arguments, ANSWER_MARGIN_US, self._max_time_left_us(), unread_us)
        request = command.request
        if request.id in self.open or request.id in self.ended or request.id in self.recent:
            self.request_metrics.note(self.active.class_names[request.class_index], RequestOutcome.ERRORED)
            raise CommandError("this id is in use")
        exchange = RequestExchange(
            command,
            reply,
            now + request.time_left_us,
            self.active.settings.classes[request.class_index].latency_objective_us,
            self.active.plan_names[request.plan_index],
            self._policy_digest_to_log(),
        )
        delay_s = (request.time_left_us + BACKSTOP_US) / 1e6
        exchange.timer = self.loop.call_later(delay_s, self.fail_unanswered, request.id)
        reply.request_id = request.id
        self.open[request.id] = exchange
        self.open_command_bytes += request.size_bytes
        self.tally["asked"] += 1
        self.post(request)

    def _max_time_left_us(self) -> int:
        """Return the longest time that a new request may take; less if the process is shutting down."""
        if self.answer_deadline_us is None:
            return MAX_TIME_US
        return max(0, self.answer_deadline_us - now_us())

    def _policy_digest_to_log(self) -> str:
        """Return the digest of the current policy, "-" if it has none, or "" if admissions are not logged."""
        config = self.active.config
        if not config.traces_policy or not config.policy or self.policy_guard.is_suspended:
            return ""
        return config.policy.digest or "-"

    def abandon_request(self, reply: Reply) -> None:
        """Close the request of a client that has disconnected, without an answer."""
        request_id = reply.request_id
        if request_id is None:
            return
        exchange = self.close_request(request_id)
        if exchange is None:
            return
        self.post(ClientGone(request_id))
        if exchange.streaming_attempt:
            exchange.streaming_attempt.cancel()

    def fail_unanswered(self, request_id: str) -> None:
        """Fail a request that the decision core did not answer in time.

        After a stall of the event loop the core's events may be due too, and go first.
        """
        exchange = self.open.get(request_id)
        if exchange is None:
            return
        if self.loop_watch.touch():
            exchange.timer = self.loop.call_later(BACKSTOP_GRACE_S, self._fail_unanswered_now, request_id)
        else:
            self._fail_unanswered_now(request_id)

    def _fail_unanswered_now(self, request_id: str) -> None:
        if request_id in self.open:
            log.error("request %s was left without an answer", request_id)
            self.fail_on_internal_error(request_id)

    def fail_on_internal_error(self, request_id: str) -> None:
        """Answer a request with an error after an internal fault, and remove it from the decision core."""
        if request_id in self.open:
            self.answer(request_id, FAILED_ANSWER, RequestOutcome.ERRORED)
            self.post(ClientGone(request_id))

    def set_answer_deadline(self, answer_deadline_us: int) -> None:
        """Limit the time of later requests, as the process is shutting down."""
        self.answer_deadline_us = answer_deadline_us
        self.long_values.is_shutting_down = True

    def end_open_requests(self) -> None:
        """Have every open request answered now, except those whose answers are partly written."""
        if not self.open:
            return
        self.post(EndOpenRequests())
        for exchange in list(self.open.values()):
            if exchange.streaming_attempt and not exchange.reply.has_begun:
                self._end_stream(exchange.streaming_attempt, is_complete=False)
                exchange.streaming_attempt.cancel()

    # --- attempts ---

    def send(self, action: SendAttempt) -> None:
        """Start an attempt, or report it as not sent if the request has ended or has no attempt left."""
        exchange = self.open.get(action.id)
        if exchange is None or exchange.attempt_count >= self.active.settings.max_attempts:
            self._report_not_sent(action, exchange)
            return
        number = exchange.attempt_count
        exchange.attempt_count += 1
        try:
            self._start_attempt(action, exchange, number)
        except Exception:
            exchange.in_flight.pop(number, None)  # the core counts it as in flight until its end is reported
            self._post_not_sent(action, exchange, number)
            raise

    def _report_not_sent(self, action: SendAttempt, exchange: RequestExchange | None) -> None:
        tracked_exchange = exchange or self.ended.get(action.id)
        number = tracked_exchange.attempt_count if tracked_exchange else 0
        if tracked_exchange:
            tracked_exchange.attempt_count += 1
        self._post_not_sent(action, exchange, number)

    def _post_not_sent(self, action: SendAttempt, exchange: RequestExchange | None, number: int) -> None:
        is_interrupted = exchange is not None and exchange.is_interrupted
        result = AttemptResult.NOT_SENT
        self.post(
            AttemptEnded(
                action.id, exchange is None, number, action.server, result, 0, is_interrupted=is_interrupted
            )
        )

    def _start_attempt(self, action: SendAttempt, exchange: RequestExchange, number: int) -> None:
        now = now_us()
        remaining_us = max(1, exchange.deadline_us - now)
        timeout_us = min(remaining_us, action.timeout_us) if action.timeout_us > 0 else remaining_us
        if exchange.is_interrupted:
            timeout_us = action.timeout_us  # its deadline may be over
        self.sent[action.server] += 1
        if not number:
            self.queue_waits.note(now_us() - exchange.arrived_us)
            request = exchange.command.request
            self.spent[request.customer, exchange.plan_name, request.set_size] += request.units
        if exchange.last_result:
            self.retries[exchange.last_result.value] += 1
        attempt = Attempt(
            action.id,
            number,
            action.server,
            exchange.command.payload,
            self.handle_attempt_end,
            self.long_values.begin,
            self.checks.may_send,
        )
        attempt.deadline_us = now + timeout_us
        exchange.in_flight[number] = attempt
        self.backends.send(attempt, timeout_us, action.start_within_us)

    def handle_attempt_end(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """Report an attempt's result to the core.

        The first value answers the client and closes the request.
        """
        request_id = attempt.request_id
        if result is not AttemptResult.OK and request_id in self.open:
            self._log_incomplete_value(self.open[request_id], attempt, result)
        is_interrupted = self._note_interruption(attempt, result)
        if not is_interrupted and request_id in self.open:
            self._end_open_request(self.open[request_id], attempt, result, value)
        has_ended = request_id not in self.open
        exchange = self.ended.get(request_id) if has_ended else self.open[request_id]
        if exchange:
            exchange.in_flight.pop(attempt.number, None)
            exchange.drop_buffered(attempt)
            if result not in NOT_RUN_RESULTS and not exchange.first_possible_run_us:
                exchange.first_possible_run_us = attempt.sent_us
                self.recent.note(request_id)
            if has_ended and not exchange.in_flight:
                del self.ended[request_id]
            exchange.last_result = result
        self.tally[result.value] += 1
        self.results[result.value] += 1
        elapsed_us = now_us() - attempt.sent_us
        self.post(
            AttemptEnded(
                request_id,
                has_ended,
                attempt.number,
                attempt.server,
                result,
                elapsed_us,
                report=report,
                is_interrupted=is_interrupted,
            )
        )

    def _note_interruption(self, attempt: Attempt, result: AttemptResult) -> bool:
        """Return whether the attempt leaves a long value incomplete of which another may give the rest.

        The core sends that attempt or has the request fail.
        """
        exchange = self.open.get(attempt.request_id)
        if exchange is None:
            return False
        if exchange.is_interrupted:
            return True
        is_incomplete = exchange.streaming_attempt is attempt and result is not AttemptResult.OK
        if not is_incomplete or self.long_values.is_shutting_down or not exchange.may_resume():
            return False
        exchange.streaming_attempt = None
        exchange.timer.cancel()
        exchange.timer = self.loop.call_later(
            RESUMPTION_BACKSTOP_S, self._fail_interrupted, attempt.request_id
        )
        return True

    def _fail_interrupted(self, request_id: str) -> None:
        """Fail a request whose value ended early and that the decision core has not ended."""
        exchange = self.open.get(request_id)
        if exchange and exchange.is_interrupted:
            log.error("request %s was left with an incomplete value", request_id)
            self._abort_value(request_id)
            self.post(ClientGone(request_id))

    def _abort_value(self, request_id: str) -> None:
        """Close a request whose long value cannot be completed."""
        exchange = self.close_request(request_id)
        self._record_outcome(exchange, RequestOutcome.ERRORED)
        exchange.reply.abort()

    def _end_open_request(
        self, exchange: RequestExchange, attempt: Attempt, result: AttemptResult, value: bytes | None
    ) -> None:
        """End the request if the attempt has answered it, or was streaming the answer."""
        if exchange.streaming_attempt is attempt:
            self._end_stream(attempt, result is AttemptResult.OK)
        elif result is AttemptResult.OK and value is not None:
            self._answer_value(exchange, attempt, value)

    def _answer_value(self, exchange: RequestExchange, attempt: Attempt, value: bytes) -> None:
        """Answer with the attempt's value, or with its long value that was buffered until now."""
        if exchange.buffered and exchange.buffered.attempt is attempt:
            self._end_stream(attempt, is_complete=True)
        else:
            data = b"$%d\r\n%b\r\n" % (len(value), value)
            self.answer(attempt.request_id, data, RequestOutcome.ANSWERED)

    def _log_incomplete_value(
        self, exchange: RequestExchange, attempt: Attempt, result: AttemptResult
    ) -> None:
        """Log that an attempt ends whose long value has begun and is incomplete."""
        has_buffered = exchange.buffered is not None and exchange.buffered.attempt is attempt
        if not has_buffered and exchange.streaming_attempt is not attempt:
            return
        log.warning(
            "long value incomplete: result=%s request=%s attempt=%d server=%s after_ms=%d passed_on=%s",
            result.value,
            attempt.request_id,
            attempt.number,
            attempt.server,
            (now_us() - attempt.sent_us) // US_PER_MS,
            exchange.reply.has_begun,
        )

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is in flight."""
        exchange = self.open.get(action.id) or self.ended.get(action.id)
        attempt = exchange.in_flight.get(action.attempt) if exchange else None
        if attempt:
            attempt.cancel()

    def _end_stream(self, attempt: Attempt, is_complete: bool) -> None:
        """End a long value, which was streamed or buffered until now, and close its request."""
        buffered = self.open[attempt.request_id].take_buffered(attempt)
        exchange = self.close_request(attempt.request_id)
        self._record_outcome(exchange, RequestOutcome.ANSWERED if is_complete else RequestOutcome.ERRORED)
        if not is_complete:
            exchange.reply.abort()
        elif buffered:
            exchange.reply.send_pieces(b"$%d\r\n" % buffered.size, buffered.pieces, b"\r\n")
        else:
            exchange.reply.send(b"\r\n")
        if buffered:
            buffered.release()

    # --- answers ---

    def reject(self, action: Reject) -> None:
        """Answer BUSY, with the Retry-After time in milliseconds if the action has one.

        The time is rounded up, as an earlier retry would be rejected again.
        """
        wait_ms = math.ceil(action.retry_after_us / US_PER_MS)
        line = b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n"
        self.answer(action.id, line, RequestOutcome.DEFERRED)

    def fail(self, action: Fail) -> None:
        """Answer that the request failed, or end its answer if a part of that was passed on."""
        exchange = self.open.get(action.id)
        if exchange and exchange.is_interrupted:
            self._abort_value(action.id)
        else:
            self.answer(action.id, FAILED_ANSWER, RequestOutcome.ERRORED)

    def answer(self, request_id: str, data: bytes, outcome: RequestOutcome) -> None:
        """Send the complete answer and close the request, unless it is closed already."""
        exchange = self.close_request(request_id)
        if exchange:
            self._record_outcome(exchange, outcome)
            exchange.reply.send(data)

    def _record_outcome(self, exchange: RequestExchange, outcome: RequestOutcome) -> None:
        request = exchange.command.request
        self.request_metrics.note(self.active.class_names[request.class_index], outcome)
        if exchange.policy_digest:
            log.info(
                "request %s %s by policy %s, taken at %d us",
                request.id,
                outcome,
                exchange.policy_digest,
                exchange.arrived_us,
            )

    def close_request(self, request_id: str) -> RequestExchange | None:
        """Close a request and withdraw its unwritten attempts; return None if it is not open."""
        exchange = self.open.pop(request_id, None)
        if exchange is None:
            return None
        self.open_command_bytes -= exchange.command.request.size_bytes
        if exchange.buffered:
            attempt = exchange.buffered.attempt
            exchange.drop_buffered(attempt)
            attempt.cancel()  # its connection may be paused
        if not exchange.attempt_count:
            self.queue_waits.note(now_us() - exchange.arrived_us)
        if exchange.timer:
            exchange.timer.cancel()
        if exchange.in_flight:
            self.ended[request_id] = exchange
        for attempt in [attempt for attempt in exchange.in_flight.values() if not attempt.was_written]:
            attempt.withdraw()  # no attempt is written once the client has its answer or has disconnected
        return exchange
