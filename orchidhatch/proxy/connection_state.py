"""The states of a client connection, and which may follow which."""

from enum import StrEnum


class ConnectionState(StrEnum):
    """What is owed on a client connection, and how far its end has come."""

    IDLE = "idle"
    """Between requests: no answer is owed."""
    TAKING = "taking"
    """Amid the commands that came in one piece; those behind one that is answered are owed too."""
    ANSWERING = "answering"
    """Answers are owed; further commands are read."""
    STREAMING = "streaming"
    """A long value is passed on as it comes; no further command is read, as a break would lose it."""
    FINISHING = "finishing"
    """An error line is the last answer; what comes is dropped, and all that is owed is answered first."""
    LINGERING = "lingering"
    """All is written and this side is shut; what comes is dropped until the client shuts its own."""
    CLOSING = "closing"
    """Closed by this side."""
    CLIENT_LEFT = "client_left"
    """Ended by the client: nothing is owed any more."""
    LOST = "lost"
    """The event loop has let go of the connection."""


TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.IDLE: frozenset(
        {
            ConnectionState.TAKING,
            ConnectionState.FINISHING,
            ConnectionState.LINGERING,
            ConnectionState.CLOSING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    ConnectionState.TAKING: frozenset(
        {
            ConnectionState.IDLE,
            ConnectionState.ANSWERING,
            ConnectionState.FINISHING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    # No close by this side: an answer is owed.
    ConnectionState.ANSWERING: frozenset(
        {
            ConnectionState.IDLE,
            ConnectionState.TAKING,
            ConnectionState.STREAMING,
            ConnectionState.CLIENT_LEFT,
            ConnectionState.LOST,
        }
    ),
    # Closed by this side only over a value that breaks. The client may shut its own side amid the value.
    ConnectionState.STREAMING: frozenset(
        {
            ConnectionState.ANSWERING,
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
    # A client that leaves before the close has reached it.
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
"""No command is taken any more."""


class CloseReason(StrEnum):
    """Why the gateway closes a client's connection."""

    BETWEEN_REQUESTS = "between_requests"
    """Idle, in a drain, over a malformed command, for a new client, or as no command came in time."""
    CLIENT_LEFT = "client_left"
    VALUE_BROKE = "value_broke"
    """A long value that had begun to be sent cannot be finished."""
    READS_NOTHING = "reads_nothing"
    PROCESS_ENDS = "process_ends"
