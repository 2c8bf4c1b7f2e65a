"""The kernel's state of a connection, beyond what the event loop has read.

For decisions that must not wait for the event loop's next turn.
"""

import asyncio
import contextlib
import fcntl
import select
import termios

# The integer that FIONREAD returns if nothing is unread.
NO_BYTES = bytes(4)


def descriptor_of(transport: asyncio.BaseTransport) -> int:
    """Return the descriptor of the transport's socket."""
    return transport.get_extra_info("socket").fileno()


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether received bytes are unread; False for a closed socket."""
    try:
        unread_count = fcntl.ioctl(descriptor_of(transport), termios.FIONREAD, NO_BYTES)
    except OSError:
        return False
    return unread_count != NO_BYTES


def has_input_or_close(transport: asyncio.BaseTransport) -> bool:
    """Return whether received bytes or the peer's close are unread; also true for a closed socket."""
    return pending_events(transport, select.POLLIN) != 0


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed the connection, even if data before the close is unread."""
    return pending_events(transport, select.POLLRDHUP) != 0


def pending_events(transport: asyncio.BaseTransport, events: int) -> int:
    """Return which of the events, or errors, are pending; POLLNVAL for a closed socket."""
    poller = select.poll()
    with contextlib.suppress(OSError, ValueError):
        poller.register(descriptor_of(transport), events)
        pending = poller.poll(0)
        return pending[0][1] if pending else 0
    return select.POLLNVAL
