"""The life of each request: admitted from a client, sent in attempts, answered once.

The way of a request: `take` parses it and posts it to the decision core; the core's actions come back as
`send`, `cancel`, `reject` and `fail`; `attempt_done` reports the end of each attempt; `settle` ends what is
owed, whichever of these comes first. A backstop timer answers if the core does not.

Somewhat longer than other modules, so that the whole way of one request is in one place.
"""

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable

from orchidhatch.gateway.actions import CancelAttempt, Fail, Reject, SendAttempt
from orchidhatch.gateway.attempts import NOT_RUN_RESULTS, AttemptResult, LoadReport
from orchidhatch.gateway.events import AttemptEnded, ClientGone, Event, StreamStarted
from orchidhatch.gateway.settings import Idempotency
from orchidhatch.proxy.active_configuration import ActiveConfiguration
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.backends import Backends
from orchidhatch.proxy.client_sweeper import SEND_STALL_TIMEOUT_S
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.command_parser import CommandError
from orchidhatch.proxy.config_reader import MAX_TIME_US
from orchidhatch.proxy.guards import Guard, Refusal
from orchidhatch.proxy.loop_watch import LoopWatch
from orchidhatch.proxy.metrics import RequestMetrics, RequestOutcome
from orchidhatch.proxy.policy_guard import PolicyGuard
from orchidhatch.proxy.reply import FAILED_ANSWER, Reply
from orchidhatch.proxy.request_exchange import RequestExchange
from orchidhatch.proxy.wait_queues import WaitHistogram

log = logging.getLogger(__name__)

# Subtracted from the time that a client waits: for the way of its request here and of the answer back.
ANSWER_MARGIN_US = 25_000
# How much later than the decision core a request is ended here, should the core not end it.
BACKSTOP_US = 15_000
US_PER_MS = 1000
GUARD_SLACK_US = 5_000
"""Between the check that ends an attempt in time and the guard's, the clock moves on."""


class RequestLifecycle:
    """Owner of all in-flight requests, from the command to the end of the last attempt."""

    def __init__(
        self,
        active: ActiveConfiguration,
        figures: RequestMetrics,
        post: Callable[[Event], None],
        guard: Guard | None = None,
        loop_watch: LoopWatch | None = None,
    ) -> None:
        self.loop_watch = loop_watch or LoopWatch()
        self.active = active
        self.guard = guard or Guard()
        self.figures = figures
        self.post = post
        self.loop = asyncio.get_running_loop()
        self.open: dict[str, RequestExchange] = {}
        """Requests that are owed an answer."""
        self.ended: dict[str, RequestExchange] = {}
        """Requests that were answered and have attempts still out."""
        self.open_command_bytes = 0
        self.buffered_bytes = 0
        """Of long values that are kept until they are complete."""
        self.queue_waits = WaitHistogram()
        self.tally: Counter[str] = Counter()
        """Requests, and how attempts ended, since the last log line."""
        self.results: Counter[str] = Counter()
        """How attempts ended, since the start."""
        self.retries: Counter[str] = Counter()
        """Further attempts by the result of the one before, since the start."""
        self.sent: Counter[str] = Counter()
        """Attempts by backend, since the last log line."""
        self.spent: Counter[tuple[str, str, int]] = Counter()
        """Units by customer, plan and set size, since the last log line."""
        self.last_answer_us: int | None = None
        """Until when this process is sure to live, once it is ending."""
        self.clients: Clients
        self.backends: Backends
        self.policy_guard: PolicyGuard

    def connect(self, clients: Clients, backends: Backends, policy_guard: PolicyGuard) -> None:
        """Set the collaborators that are themselves created with this object's callbacks."""
        self.clients = clients
        self.backends = backends
        self.policy_guard = policy_guard

    # --- from the client ---

    def take(self, arguments: list[bytes], reply: Reply) -> None:
        """Start a request from a client's command; raises CommandError if the command is wrong."""
        now = now_us()
        unread_us = now - reply.connection.arrived_us
        self.policy_guard.check()
        command = self.active.parser.parse(arguments, ANSWER_MARGIN_US, self._max_time_left_us(), unread_us)
        request = command.request
        if request.id in self.open or request.id in self.ended:
            self.figures.note(self.active.class_names[request.class_index], RequestOutcome.ERRORED)
            raise CommandError("this id is in use")
        exchange = RequestExchange(
            command,
            reply,
            now + request.time_left_us,
            self.active.plan_names[request.plan_index],
            self._traced_policy(),
        )
        delay_s = (request.time_left_us + BACKSTOP_US) / 1e6
        exchange.timer = self.loop.call_later(delay_s, self.overdue, request.id)
        reply.request_id = request.id
        self.open[request.id] = exchange
        self.open_command_bytes += request.size_bytes
        self.tally["asked"] += 1
        self.post(request)

    def _max_time_left_us(self) -> int:
        """How long a request may take that comes now: while this process is sure to live."""
        if self.last_answer_us is None:
            return MAX_TIME_US
        return max(0, self.last_answer_us - now_us())

    def _traced_policy(self) -> str:
        """The digest of the policy that requests are admitted by, where that is to be logged, else ""."""
        config = self.active.config
        if not config.traces_policy or not config.policy or self.policy_guard.is_suspended:
            return ""
        return config.policy.digest or "-"

    def client_gone(self, reply: Reply) -> None:
        """End the request of a client that has disconnected."""
        request_id = reply.request_id
        if request_id is None:
            return
        exchange = self.settle(request_id)
        if exchange is None:
            return
        self.post(ClientGone(request_id))
        if exchange.stream:
            exchange.stream.cancel()

    def overdue(self, request_id: str) -> None:
        """Answer a request that the decision core left without an answer in time."""
        if request_id in self.open:
            log.error("request %s was left without an answer", request_id)
            self.fail_over_fault(request_id)

    def fail_over_fault(self, request_id: str) -> None:
        """Fail a request over an internal fault, and have the core forget it."""
        if request_id in self.open:
            self.answer(request_id, FAILED_ANSWER, RequestOutcome.ERRORED)
            self.post(ClientGone(request_id))

    # --- attempts ---

    def send(self, action: SendAttempt) -> None:
        """Start an attempt, or report it as never sent if the request has ended or has had all of its."""
        exchange = self.open.get(action.id)
        if exchange is None or exchange.attempt_count >= self.active.settings.max_attempts:
            self._report_unsent(action, exchange)
            return
        number = exchange.attempt_count
        exchange.attempt_count += 1
        try:
            self._begin_attempt(action, exchange, number)
        except Exception:
            exchange.in_flight.pop(number, None)  # the core counts it as out until its end is reported
            self.post(AttemptEnded(action.id, False, number, action.server, AttemptResult.NOT_SENT, 0))
            raise

    def _report_unsent(self, action: SendAttempt, exchange: RequestExchange | None) -> None:
        known = exchange or self.ended.get(action.id)
        number = known.attempt_count if known else 0
        if known:
            known.attempt_count += 1
        self.post(AttemptEnded(action.id, exchange is None, number, action.server, AttemptResult.NOT_SENT, 0))

    def _begin_attempt(self, action: SendAttempt, exchange: RequestExchange, number: int) -> None:
        now = now_us()
        left_us = max(1, exchange.end_us - now)
        timeout_us = min(left_us, action.timeout_us) if action.timeout_us > 0 else left_us
        self.sent[action.server] += 1
        if not number:
            self.queue_waits.note(now_us() - exchange.arrived_us)
            request = exchange.command.request
            self.spent[request.customer, exchange.plan, request.set_size] += request.units
        if exchange.last_result:
            self.retries[exchange.last_result.value] += 1
        attempt = Attempt(
            action.id,
            number,
            action.server,
            exchange.command.payload,
            self.attempt_done,
            self.value_begins,
            self.may_send,
        )
        if exchange.buffer_size:
            self._free_buffer(exchange)
        attempt.deadline_us = now + timeout_us
        exchange.in_flight[number] = attempt
        self.backends.send(attempt, timeout_us, action.start_within_us)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may be written at this instant.

        That its client has left is looked up at the socket: after a long turn of the event loop the end may
        have come without being read. The rest the core and this class see to before, and the guard counts it.
        """
        exchange = self.open.get(attempt.request_id)
        if exchange and exchange.reply.end_if_client_left(self.loop_watch.is_suspicious):
            self.tally["left before sending"] += 1
            return False
        refusal = self._refusal(attempt, exchange)
        if refusal:
            self.guard.refuse(
                refusal, attempt.request_id, f"attempt={attempt.number} server={attempt.server}"
            )
        return refusal is None

    def _refusal(self, attempt: Attempt, exchange: RequestExchange | None) -> Refusal | None:
        """The invariant that the attempt would break, if any."""
        if exchange is None or exchange.in_flight.get(attempt.number) is not attempt:
            return Refusal.REQUEST_ENDED
        if exchange.has_another_in_flight(attempt):
            return Refusal.OVERLAPPING_ATTEMPT
        if attempt.number >= self.active.settings.max_attempts:
            return Refusal.TOO_MANY_ATTEMPTS
        if now_us() >= exchange.end_us + GUARD_SLACK_US:
            return Refusal.PAST_DEADLINE
        return self._repeat_refusal(exchange)

    def _repeat_refusal(self, exchange: RequestExchange) -> Refusal | None:
        """Why what may have run must not be sent again, if so."""
        rule = self.active.settings.classes[exchange.command.request.class_index]
        if not exchange.may_have_run_us or rule.idempotency is Idempotency.SAFE:
            return None
        if rule.idempotency is Idempotency.UNSAFE:
            return Refusal.REPEAT_FORBIDDEN
        is_in_window = now_us() < exchange.may_have_run_us + rule.dedup_window_us
        return None if is_in_window else Refusal.PAST_REPEAT_WINDOW

    def attempt_done(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """Report an attempt's one outcome; the first value answers the client and closes the request."""
        name = attempt.request_id
        if name in self.open and self.open[name].stream is attempt:
            self._end_stream(name, result is AttemptResult.OK)
        elif result is AttemptResult.OK and value is not None and name in self.open:
            value = bytes(self.open[name].buffer or value)
            self.answer(name, b"$%d\r\n%b\r\n" % (len(value), value), RequestOutcome.ANSWERED)
        is_over = name not in self.open
        exchange = self.ended.get(name) if is_over else self.open[name]
        if exchange:
            exchange.in_flight.pop(attempt.number, None)
            if result not in NOT_RUN_RESULTS and not exchange.may_have_run_us:
                exchange.may_have_run_us = attempt.sent_us
            if is_over and not exchange.in_flight:
                del self.ended[name]
            exchange.last_result = result
        self.tally[result.value] += 1
        self.results[result.value] += 1
        took_us = now_us() - attempt.sent_us
        self.post(AttemptEnded(name, is_over, attempt.number, attempt.server, result, took_us, report=report))

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt that is out."""
        exchange = self.open.get(action.id) or self.ended.get(action.id)
        attempt = exchange.in_flight.get(action.attempt) if exchange else None
        if attempt:
            attempt.cancel()

    # --- long values ---

    def value_begins(self, attempt: Attempt, size: int) -> Callable[[bytes], None] | None:
        """Start to stream a long value to the client; from now on only a break or a stall ends it.

        Returns what takes its pieces, or None if the request has ended or streams another attempt's value.
        Where answers to further commands are owed behind it, it is kept until it is complete: a break would
        end the connection, and they would be lost.
        """
        exchange = self.open.get(attempt.request_id)
        if exchange is None or exchange.stream:
            return None
        if not exchange.reply.is_last():
            return self._buffer_value(exchange, attempt, size)
        attempt.cancel_timeout()
        exchange.stream = attempt
        exchange.timer.cancel()
        exchange.timer = self.loop.call_later(SEND_STALL_TIMEOUT_S, self._check_stall, attempt.request_id)
        took_us = now_us() - attempt.sent_us
        self.post(StreamStarted(attempt.request_id, attempt.number, attempt.server, took_us))
        exchange.reply.begin(b"$%d\r\n" % size, attempt)
        return exchange.reply.append

    def _buffer_value(
        self, exchange: RequestExchange, attempt: Attempt, size: int
    ) -> Callable[[bytes], None] | None:
        """Keep a long value until it is complete, where there is room for it; what takes its pieces."""
        if self.buffered_bytes + size > self.clients.backlog.limit_bytes:
            log.warning("no room for the long value of request %s", attempt.request_id)
            return None
        buffer = bytearray()
        exchange.buffer = buffer
        exchange.buffer_size = size
        self.buffered_bytes += size

        def append_piece(piece: bytes) -> None:
            if attempt.request_id in self.open:
                buffer.extend(piece)
            else:
                attempt.cancel()

        return append_piece

    def _free_buffer(self, exchange: RequestExchange) -> None:
        self.buffered_bytes -= exchange.buffer_size
        exchange.buffer = None
        exchange.buffer_size = 0

    def _check_stall(self, request_id: str) -> None:
        exchange = self.open.get(request_id)
        if exchange is None:
            return
        left_s = exchange.reply.progress_s + SEND_STALL_TIMEOUT_S - self.clients.clock()
        if left_s > 0:
            exchange.timer = self.loop.call_later(left_s, self._check_stall, request_id)
        else:
            log.warning(
                "cut the value of request %s, which did not move for %.0f s", request_id, SEND_STALL_TIMEOUT_S
            )
            exchange.stream.cancel()

    def _end_stream(self, request_id: str, is_whole: bool) -> None:
        exchange = self.settle(request_id)
        self._note(exchange, RequestOutcome.ANSWERED if is_whole else RequestOutcome.ERRORED)
        if is_whole:
            exchange.reply.send(b"\r\n")
        else:
            exchange.reply.cut()

    # --- answers ---

    def reject(self, action: Reject) -> None:
        """Answer that the gateway is busy, with the time after which to retry if there is one.

        It is rounded up: a retry before that gains nothing.
        """
        wait_ms = math.ceil(action.retry_after_us / US_PER_MS)
        line = b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n"
        self.answer(action.id, line, RequestOutcome.DEFERRED)

    def fail(self, action: Fail) -> None:
        """Answer that the request failed."""
        self.answer(action.id, FAILED_ANSWER, RequestOutcome.ERRORED)

    def answer(self, request_id: str, data: bytes, outcome: RequestOutcome) -> None:
        """Send the complete answer, unless the request has had one."""
        exchange = self.settle(request_id)
        if exchange:
            self._note(exchange, outcome)
            exchange.reply.send(data)

    def _note(self, exchange: RequestExchange, outcome: RequestOutcome) -> None:
        request = exchange.command.request
        self.figures.note(self.active.class_names[request.class_index], outcome)
        if exchange.policy:
            log.info(
                "request %s %s by policy %s, taken at %d us",
                request.id,
                outcome,
                exchange.policy,
                exchange.arrived_us,
            )

    def settle(self, request_id: str) -> RequestExchange | None:
        """End what is owed on a request and withdraw its unwritten attempts; None if it has ended already."""
        exchange = self.open.pop(request_id, None)
        if exchange is None:
            return None
        self.open_command_bytes -= exchange.command.request.size_bytes
        if exchange.buffer_size:
            self._free_buffer(exchange)
        if not exchange.attempt_count:
            self.queue_waits.note(now_us() - exchange.arrived_us)
        if exchange.timer:
            exchange.timer.cancel()
        if exchange.in_flight:
            self.ended[request_id] = exchange
        for attempt in [attempt for attempt in exchange.in_flight.values() if not attempt.was_written]:
            attempt.withdraw()  # nothing is begun for a client that has left or has its answer
        return exchange
