"""The states of a client connection and the transitions between them."""

from enum import StrEnum


class ConnectionState(StrEnum):
    """The progress of a client connection through its answers and its close."""

    IDLE = "idle"
    """Between requests: every command is answered."""
    PROCESSING = "taking"
    """The commands of one read are being processed; the connection is not idle before the last one."""
    ANSWERING = "answering"
    """Commands are unanswered; further commands are read."""
    STREAMING = "streaming"
    """A long value is streamed; no further command is read, as aborting the stream would lose it."""
    FINISHING = "finishing"
    """An error line is queued as the last answer; further input is discarded."""
    LINGERING = "lingering"
    """The sending side is closed; input is discarded until the client closes its side."""
    CLOSING = "closing"
    """Closed by the gateway."""
    CLIENT_LEFT = "client_left"
    """Closed by the client: no answer is sent any more."""
    LOST = "lost"
    """The event loop has released the connection."""


TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.IDLE: frozenset(
        {
            ConnectionState.PROCESSING,
            ConnectionState.FINISHING,
            ConnectionState.LINGERING,
            ConnectionState.CLOSING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    ConnectionState.PROCESSING: frozenset(
        {
            ConnectionState.IDLE,
            ConnectionState.ANSWERING,
            ConnectionState.FINISHING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    # The gateway closes here only before SIGKILL, behind an answer that is partly written.
    ConnectionState.ANSWERING: frozenset(
        {
            ConnectionState.IDLE,
            ConnectionState.PROCESSING,
            ConnectionState.STREAMING,
            ConnectionState.LINGERING,
            ConnectionState.CLOSING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    # The gateway closes here only if a value of which a part was written cannot be completed. The client may
    # close during the value.
    ConnectionState.STREAMING: frozenset(
        {
            ConnectionState.ANSWERING,
            ConnectionState.LINGERING,
            ConnectionState.CLOSING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    ConnectionState.FINISHING: frozenset(
        {
            ConnectionState.LINGERING,
            ConnectionState.CLOSING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    ConnectionState.LINGERING: frozenset(
        {ConnectionState.CLOSING, ConnectionState.CLIENT_LEFT, ConnectionState.LOST}
    ),
    # The client may disconnect before the close has reached it.
    ConnectionState.CLOSING: frozenset({ConnectionState.CLIENT_LEFT, ConnectionState.LOST}),
    ConnectionState.CLIENT_LEFT: frozenset({ConnectionState.LOST}),
    ConnectionState.LOST: frozenset(),
}

ENDING_STATES = frozenset(
    {
        ConnectionState.FINISHING,
        ConnectionState.LINGERING,
        ConnectionState.CLOSING,
        ConnectionState.CLIENT_LEFT,
        ConnectionState.LOST,
    }
)
"""The states in which no further command is processed."""


class CloseReason(StrEnum):
    """Why the gateway closes a client's connection."""

    BETWEEN_REQUESTS = "between_requests"
    """Between requests: drain, malformed command, eviction for a new client, or command timeout."""
    CLIENT_LEFT = "client_left"
    VALUE_BROKE = "value_broke"
    """A partly sent long value cannot be completed."""
    READS_NOTHING = "reads_nothing"
    PROCESS_ENDS = "process_ends"
