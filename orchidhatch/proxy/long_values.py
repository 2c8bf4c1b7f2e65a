"""How long values reach their clients: streamed as they come, or buffered until they are complete.

A value begins with its head, the two lines before its first byte: from then on it has no timeout but that
of a stall. A head alone binds no client, so the request can be retried if its backend breaks. It is passed on
shortly before the request's latency objective, as the first bytes of a long value are what clients wait for.
With commands behind it, a head is not passed on before the deadline, and the first attempt keeps its timeout
until the first byte.

A streamed value that breaks can only be ended by closing the client's connection, with which the answers of
all later commands on it are lost. So a value with commands behind it is buffered until it is complete, and
its request can be retried until then. Memory for all of it is reserved first. Without any, the backend waits;
the decision core is notified that the value is streamed, as the wait is not the backend's.

The client waits for the first byte until its deadline only. A value that is still incomplete then, or has
been buffered for MAX_BUFFERING_US, is streamed from there on if its backend steadily gives it; else its
attempt times out at the deadline. If a value breaks after that, the answers behind it are lost: neither may
it be cut while its backend gives it, nor can they be sent without it. So another attempt gives the rest, if
the decision core allows one and its value begins with the bytes that were passed on. A value is not begun at
its deadline while the process shuts down, as SIGKILL would break it.
"""

import asyncio
import logging
from collections.abc import Callable

from orchidhatch.gateway.events import Event, StreamStarted
from orchidhatch.proxy.attempt import Attempt
from orchidhatch.proxy.buffered_value import BufferedValue
from orchidhatch.proxy.client_connection import SEND_STALL_TIMEOUT_S
from orchidhatch.proxy.clients import Clients
from orchidhatch.proxy.clock import now_us
from orchidhatch.proxy.request_exchange import RequestExchange
from orchidhatch.proxy.value_progress import ValueMismatchError, ValueProgress, ValueResumption

log = logging.getLogger(__name__)

ValueCheck = Callable[[RequestExchange, BufferedValue], None]
"""Called on a timer; it ignores a value that is not buffered any more."""

STREAM_LEAD_US = 5_000
"""How long before its request's deadline an incomplete value is streamed."""
HEAD_LEAD_US = 30_000
"""How long before its request's latency objective a value's head is passed on, for its way to the client."""
MAX_HEAD_WAIT_US = 1_000_000
"""How long a head is kept at most, whatever the objective."""
MAX_BUFFERING_US = 1_800_000
"""How long a value that is steadily given is buffered: less than the 2 s for which it may be held back."""


class LongValues:
    """Passes on the long values of all open requests, in bounded memory."""

    def __init__(self, open_requests: dict[str, RequestExchange], post: Callable[[Event], None]) -> None:
        """Create the object; `open_requests` is the owner's live set."""
        self.open_requests = open_requests
        self.post = post
        self.loop = asyncio.get_running_loop()
        self.is_shutting_down = False
        """Whether the process may be killed before a value that is begun late is complete."""
        self.clients: Clients

    def begin(self, attempt: Attempt, size: int) -> Callable[[bytes], None] | None:
        """Begin a value of `size` bytes and return the consumer of its pieces.

        Returns None if the request has ended or has another attempt's value. From now on the value's own
        time limits replace the attempt's timeout.
        """
        exchange = self.open_requests.get(attempt.request_id)
        if exchange is None or exchange.streaming_attempt or exchange.buffered:
            return None
        if exchange.is_interrupted:
            return self._resume(exchange, attempt, size)
        exchange.buffered = BufferedValue(attempt, size, self.clients.backlog)
        if exchange.reply.is_last():
            attempt.cancel_timeout()
            head_due_us = exchange.arrived_us + exchange.objective_us - HEAD_LEAD_US
            latest_us = min(now_us() + MAX_HEAD_WAIT_US, exchange.deadline_us - STREAM_LEAD_US)
            self._set_timer(exchange, min(head_due_us, latest_us), self._pass_head_on)
        elif attempt.number:
            attempt.cancel_timeout()
            self._set_timer(exchange, exchange.deadline_us - STREAM_LEAD_US, self._end_buffering)
        return lambda piece: self._receive(attempt, piece)

    def _set_timer(self, exchange: RequestExchange, due_us: int, check: ValueCheck) -> None:
        """Call `check` for the value that is buffered now, at `due_us` or as soon as possible after it."""
        if exchange.buffer_timer:
            exchange.buffer_timer.cancel()
        delay_s = max(0, due_us - now_us()) / 1e6
        exchange.buffer_timer = self.loop.call_later(delay_s, check, exchange, exchange.buffered)

    def _receive(self, attempt: Attempt, piece: bytes) -> None:
        exchange = self.open_requests.get(attempt.request_id)
        if exchange is None:
            attempt.cancel()
        elif exchange.buffered is None:
            self._pass_on(exchange, piece)
        else:
            self._receive_unsent(exchange, exchange.buffered, piece)

    def _receive_unsent(self, exchange: RequestExchange, buffered: BufferedValue, piece: bytes) -> None:
        """Stream the value from its first byte on, or buffer it if commands are behind it."""
        if buffered.is_buffering:
            buffered.append(piece)
        elif exchange.reply.is_last():
            self._begin_streaming(exchange, buffered)
            self._pass_on(exchange, piece)
        else:
            self._buffer(exchange, buffered)
            buffered.append(piece)

    def _pass_head_on(self, exchange: RequestExchange, buffered: BufferedValue) -> None:
        """Pass on the head of a value without a byte, unless commands are behind it."""
        if exchange.buffered is not buffered:
            return
        if not exchange.reply.is_last():
            self._set_timer(exchange, exchange.deadline_us - STREAM_LEAD_US, self._end_buffering)
        elif not buffered.is_truncated():
            self._begin_streaming(exchange, buffered)

    # --- buffered values ---

    def _buffer(self, exchange: RequestExchange, buffered: BufferedValue) -> None:
        buffered.attempt.cancel_timeout()
        buffered.reserve()
        if not buffered.is_reserved:
            self._report_stream(exchange, buffered.attempt)
        due_us = min(exchange.deadline_us - STREAM_LEAD_US, now_us() + MAX_BUFFERING_US)
        self._set_timer(exchange, due_us, self._end_buffering)

    def _end_buffering(self, exchange: RequestExchange, buffered: BufferedValue) -> None:
        """Stream a value that is incomplete after its time, or end its attempt at the request's deadline."""
        if exchange.buffered is not buffered:
            return
        last_due_us = exchange.deadline_us - STREAM_LEAD_US
        if not self.is_shutting_down and self._may_stream(exchange, buffered):
            self._begin_streaming(exchange, buffered)
        elif now_us() < last_due_us:
            self._set_timer(exchange, last_due_us, self._end_buffering)
        else:
            buffered.attempt.time_out()

    def _may_stream(self, exchange: RequestExchange, buffered: BufferedValue) -> bool:
        """Return whether an incomplete value with commands behind it is likely to become complete.

        Without a byte it is if its attempt is not the first: it is the value that is late, not one backend.
        """
        if not buffered.is_buffering:
            return buffered.attempt.number > 0 and not buffered.is_truncated()
        return buffered.is_steady(exchange.deadline_us - exchange.arrived_us)

    def _begin_streaming(self, exchange: RequestExchange, buffered: BufferedValue) -> None:
        """Stream the value from now on, beginning with what is buffered."""
        exchange.take_buffered(buffered.attempt)
        if not exchange.reply.is_last():
            exchange.progress = ValueProgress(buffered.size)
        buffered.attempt.resume()
        self._stream(exchange, buffered.attempt, buffered.size)
        buffered.release()
        while buffered.pieces:
            self._pass_on(exchange, buffered.pieces.pop())
        exchange.reply.connection.flush()  # a head without a byte

    # --- streamed values ---

    def _stream(self, exchange: RequestExchange, attempt: Attempt, size: int) -> None:
        """Stream the value from now on.

        It has no deadline: it ends early only if the backend's connection or the client's breaks, or if it
        stalls.
        """
        self._watch_for_stall(exchange, attempt)
        if exchange.streaming_attempt is None:
            self._report_stream(exchange, attempt)
        exchange.reply.start_stream(b"$%d\r\n" % size, attempt)

    def _watch_for_stall(self, exchange: RequestExchange, attempt: Attempt) -> None:
        """Replace the request's time limit by one for the lack of progress."""
        exchange.timer.cancel()
        exchange.timer = self.loop.call_later(SEND_STALL_TIMEOUT_S, self._check_stall, attempt.request_id)

    @staticmethod
    def _pass_on(exchange: RequestExchange, piece: bytes) -> None:
        """Pass on a piece of a streamed value."""
        if exchange.progress:
            exchange.progress.add(piece)
        exchange.reply.append(piece)

    def _report_stream(self, exchange: RequestExchange, attempt: Attempt) -> None:
        exchange.streaming_attempt = attempt
        elapsed_us = now_us() - attempt.sent_us
        self.post(StreamStarted(attempt.request_id, attempt.number, attempt.server, elapsed_us))

    # --- values that ended early ---

    def _resume(
        self, exchange: RequestExchange, attempt: Attempt, size: int
    ) -> Callable[[bytes], None] | None:
        """Stream the rest of a value that ended early; return None if this is another value."""
        if size != exchange.progress.size:
            log.warning("long value not resumed: reason=size request=%s", attempt.request_id)
            return None
        attempt.cancel_timeout()
        self._watch_for_stall(exchange, attempt)
        self._report_stream(exchange, attempt)
        exchange.reply.resume_stream(attempt)
        resumption = ValueResumption(exchange.progress)
        return lambda piece: self._receive_rest(attempt, resumption, piece)

    def _receive_rest(self, attempt: Attempt, resumption: ValueResumption, piece: bytes) -> None:
        exchange = self.open_requests.get(attempt.request_id)
        if exchange is None:
            attempt.cancel()
            return
        try:
            rest = resumption.take(piece)
        except ValueMismatchError:
            log.warning("long value not resumed: reason=content request=%s", attempt.request_id)
            attempt.cancel()
            return
        exchange.reply.last_progress_s = self.clients.clock()
        if rest:
            self._pass_on(exchange, rest)

    def _check_stall(self, request_id: str) -> None:
        exchange = self.open_requests.get(request_id)
        if exchange is None or exchange.streaming_attempt is None:
            return
        remaining_s = exchange.reply.last_progress_s + SEND_STALL_TIMEOUT_S - self.clients.clock()
        if remaining_s > 0:
            exchange.timer = self.loop.call_later(remaining_s, self._check_stall, request_id)
        else:
            log.warning(
                "long value aborted reason=stalled request=%s stalled_s=%.0f",
                request_id,
                SEND_STALL_TIMEOUT_S,
            )
            exchange.streaming_attempt.cancel()
