"""Looks at a connection's socket past what the loop has read of it: for what must not wait for its turn."""

import asyncio
import contextlib
import fcntl
import select
import termios
from array import array


def fileno(transport: asyncio.BaseTransport) -> int:
    return transport.get_extra_info("socket").fileno()


def unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes have come that were not read yet."""
    count = array("i", [0])
    with contextlib.suppress(OSError):
        fcntl.ioctl(fileno(transport), termios.FIONREAD, count)
    return count[0] > 0


def poll(transport: asyncio.BaseTransport, events: int) -> int:
    look = select.poll()
    with contextlib.suppress(OSError, ValueError):  # a descriptor that is closed already
        look.register(fileno(transport), events)
        return next((found for _, found in look.poll(0)), 0)
    return select.POLLNVAL


def spoken(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has said anything, if only its end, that was not read yet."""
    return poll(transport, select.POLLIN) != 0


def left(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has closed, behind whatever of it is unread."""
    return poll(transport, select.POLLRDHUP) != 0
