"""How long values reach their clients: streamed as they come, or buffered until they are complete.

A streamed value that breaks can only be ended by closing the client's connection, with which the answers of
all later commands on it are lost. So a value with commands behind it is buffered until it is complete, and
its request can be retried until then. Memory for all of it is reserved first. Without any, the backend waits;
the decision core is notified that the value is streamed, as the wait is not the backend's.

The client waits for the first byte until its deadline only. A value that is still incomplete then is streamed
from there on if its backend steadily gives it; else its attempt times out. If a value breaks after that, the
answers behind it are lost: neither may it be cut while its backend gives it, nor can they be sent without it.
So it is not begun at its deadline while the process shuts down, as SIGKILL would break it.
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

log = logging.getLogger(__name__)

STREAM_LEAD_US = 5_000
"""How long before its request's deadline an incomplete value is streamed."""


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
        attempt.cancel_timeout()
        if exchange.reply.is_last():
            self._stream(exchange, attempt, size)
        else:
            self._buffer(exchange, attempt, size)
        return lambda piece: self._receive(attempt, piece)

    def _receive(self, attempt: Attempt, piece: bytes) -> None:
        exchange = self.open_requests.get(attempt.request_id)
        if exchange is None:
            attempt.cancel()
        elif exchange.buffered is not None:
            exchange.buffered.append(piece)
        else:
            exchange.reply.append(piece)

    # --- buffered values ---

    def _buffer(self, exchange: RequestExchange, attempt: Attempt, size: int) -> None:
        exchange.buffered = BufferedValue(attempt, size, self.clients.backlog)
        if not exchange.buffered.is_reserved:
            self._report_stream(exchange, attempt)
        delay_s = max(0, exchange.deadline_us - STREAM_LEAD_US - now_us()) / 1e6
        exchange.buffer_timer = self.loop.call_later(
            delay_s, self._end_buffering, exchange, exchange.buffered
        )

    def _end_buffering(self, exchange: RequestExchange, buffered: BufferedValue) -> None:
        """Stream a value that is incomplete at its request's deadline, or end its attempt."""
        if exchange.buffered is not buffered:
            return
        request_time_us = exchange.deadline_us - exchange.arrived_us
        if self.is_shutting_down or not buffered.is_steady(request_time_us):
            buffered.attempt.time_out()
            return
        exchange.take_buffered(buffered.attempt)
        buffered.attempt.resume()
        self._stream(exchange, buffered.attempt, buffered.size)
        buffered.release()
        while buffered.pieces:
            exchange.reply.append(buffered.pieces.pop())

    # --- streamed values ---

    def _stream(self, exchange: RequestExchange, attempt: Attempt, size: int) -> None:
        """Stream the value from now on.

        It has no deadline: it ends early only if the backend's connection or the client's breaks, or if it
        stalls.
        """
        exchange.timer.cancel()
        exchange.timer = self.loop.call_later(SEND_STALL_TIMEOUT_S, self._check_stall, attempt.request_id)
        if exchange.streaming_attempt is None:
            self._report_stream(exchange, attempt)
        exchange.reply.start_stream(b"$%d\r\n" % size, attempt)

    def _report_stream(self, exchange: RequestExchange, attempt: Attempt) -> None:
        exchange.streaming_attempt = attempt
        elapsed_us = now_us() - attempt.sent_us
        self.post(StreamStarted(attempt.request_id, attempt.number, attempt.server, elapsed_us))

    def _check_stall(self, request_id: str) -> None:
        exchange = self.open_requests.get(request_id)
        if exchange is None:
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
