"""One answer in a client connection's queue, which is sent in the order of the commands."""

from collections.abc import Sequence
from typing import Protocol

from orchidhatch.proxy.piece_buffer import PieceBuffer
from orchidhatch.proxy.unsent_answers import UnsentAnswers

FAILED_ANSWER = b"-ERR failed\r\n"


class ReplySource(Protocol):
    """The source of the chunks of a streamed answer."""

    def pause(self) -> None:
        """Stop reading chunks until `resume`."""

    def resume(self) -> None:
        """Continue to read chunks after a pause."""


class ReplyConnection(Protocol):
    """The client connection that an answer is sent on."""

    replies: Sequence["Reply"]
    has_unprocessed_commands: bool
    is_reading: bool
    is_write_paused: bool
    arrived_us: int
    unsent: UnsentAnswers

    def now_s(self) -> float:
        """Return the time of the connection's clock, in seconds."""

    def flush(self) -> None:
        """Write the answers that are ready and next in order."""

    def update_unsent_bytes(self) -> None:
        """Measure the bytes not yet sent to the client."""

    def must_pause_source(self) -> bool:
        """Return whether too many bytes wait for slow clients to read more of a streamed answer."""

    def begin_stream(self) -> None:
        """Pause reading commands until the streamed answer has ended."""

    def end_stream(self) -> None:
        """Resume reading commands, unless another answer is streamed."""

    def abort_stream(self) -> None:
        """Close at once, as a streamed answer cannot be completed."""

    def close_if_client_left(self) -> bool:
        """Close if the client has disconnected; return whether it has."""

    def may_hide_departure(self) -> bool:
        """Return whether a disconnect may have waited behind unread input for too long."""


class Reply:
    """One answer in the queue of its connection.

    `pieces` are ready and not yet written. A long answer is streamed: its chunks come from `source`, which is
    paused while they cannot be sent. `request_id` is the id of the answered request, None for other
    commands. `last_progress_s` is the time of the last chunk. `has_begun` says that a part of the answer was
    written: it can no longer be replaced by an error line.
    """

    __slots__ = (
        "connection",
        "has_begun",
        "is_complete",
        "is_paused",
        "last_progress_s",
        "pieces",
        "request_id",
        "source",
    )

    def __init__(self, connection: ReplyConnection, data: bytes | None = None) -> None:
        """Create an answer; `data` is the complete answer if it is already known."""
        self.connection = connection
        self.pieces = PieceBuffer()
        self.is_complete = data is not None
        self.has_begun = False
        self.request_id: str | None = None
        self.source: ReplySource | None = None
        self.is_paused = False
        self.last_progress_s = 0.0
        if data is not None:
            self._queue(data)

    def _queue(self, data: bytes) -> None:
        self.pieces.append(data)
        self.connection.unsent.queued_bytes += len(data)

    def send(self, data: bytes) -> None:
        """Send the complete answer, or its last chunk; ignored if the answer is already complete."""
        if self.is_complete:
            return
        self._queue(data)
        self._complete()
        self.connection.flush()

    def _complete(self) -> None:
        was_streaming = self.is_streaming()
        self.is_complete = True
        if was_streaming:
            self.connection.end_stream()

    def send_pieces(self, head: bytes, pieces: PieceBuffer, tail: bytes) -> None:
        """Send the complete answer, whose pieces are moved out of `pieces`; ignored if it is complete."""
        if self.is_complete:
            return
        self._queue(head)
        while pieces:
            self._queue(pieces.pop())
        self.send(tail)

    def start_stream(self, data: bytes, source: ReplySource) -> None:
        """Start to stream the answer; `data` is its first part."""
        self._queue(data)
        self.source = source
        self.last_progress_s = self.connection.now_s()
        self.connection.begin_stream()

    def resume_stream(self, source: ReplySource) -> None:
        """Continue a streamed answer that ended early, from another source."""
        self.source = source
        self.is_paused = False
        self.last_progress_s = self.connection.now_s()

    def is_last(self) -> bool:
        """Return whether this is the last answer in the connection's queue, with no command behind it."""
        replies = self.connection.replies
        return bool(replies) and replies[-1] is self and not self.connection.has_unprocessed_commands

    def is_streaming(self) -> bool:
        """Return whether the answer is streamed and incomplete."""
        return self.source is not None and not self.is_complete

    def has_client_left(self, may_be_unread: bool) -> bool:
        """Return whether the client has disconnected, or may have unseen; close its connection if it has.

        The socket is checked only if the disconnect may be unread: with `may_be_unread`, or while reading is
        paused.
        """
        if self.connection.is_reading:
            return may_be_unread and self.connection.close_if_client_left()
        return self.connection.close_if_client_left() or self.connection.may_hide_departure()

    def append(self, data: bytes) -> None:
        """Send a further chunk; pause the source while the client is slow and the backlog is too large."""
        self._queue(data)
        self.last_progress_s = self.connection.now_s()
        self.connection.flush()
        self.connection.update_unsent_bytes()
        if self.connection.is_write_paused or self.pieces:
            self.set_paused(self.connection.must_pause_source())

    def set_paused(self, is_paused: bool) -> None:
        """Pause or resume the source of a streamed answer."""
        if self.source is None or is_paused == self.is_paused:
            return
        self.is_paused = is_paused
        if is_paused:
            self.source.pause()
        else:
            self.source.resume()

    def abort(self) -> None:
        """End a streamed answer that cannot be completed.

        If a part of it was written, the connection is closed, which is how the client detects it. Otherwise
        an error line takes its place, and all other answers on the connection are sent.
        """
        if self.is_complete:
            return
        if self.has_begun:
            self.is_complete = True
            self.source = None
            self.connection.abort_stream()
            return
        self.connection.unsent.queued_bytes -= self.pieces.size
        self.pieces.clear()
        self.send(FAILED_ANSWER)
