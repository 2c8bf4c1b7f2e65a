"""What the kernel holds of a connection beyond what the event loop has read of it.

For decisions that must not wait for the event loop's next turn.
"""

import asyncio
import contextlib
import fcntl
import select
import termios

# The integer that FIONREAD gives where nothing is unread.
NO_BYTES = bytes(4)


def descriptor_of(transport: asyncio.BaseTransport) -> int:
    """The descriptor of the transport's socket."""
    return transport.get_extra_info("socket").fileno()


def unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes have come that were not read yet; False for a closed socket."""
    try:
        unread_count = fcntl.ioctl(descriptor_of(transport), termios.FIONREAD, NO_BYTES)
    except OSError:
        return False
    return unread_count != NO_BYTES


def spoken(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has sent anything, if only its end, that was not read yet."""
    return poll_events(transport, select.POLLIN) != 0


def left(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has closed, behind whatever of it is unread."""
    return poll_events(transport, select.POLLRDHUP) != 0


def poll_events(transport: asyncio.BaseTransport, events: int) -> int:
    """Those of the events, and errors, that are pending; POLLNVAL for a closed socket."""
    poller = select.poll()
    with contextlib.suppress(OSError, ValueError):
        poller.register(descriptor_of(transport), events)
        pending = poller.poll(0)
        return pending[0][1] if pending else 0
    return select.POLLNVAL
