"""Looks at a connection's socket past what the loop has read of it: for what must not wait for its turn."""

import asyncio
import contextlib
import fcntl
import select
import termios

NO_BYTES = bytes(4)  # the integer that FIONREAD gives where nothing is unread


def fileno(transport: asyncio.BaseTransport) -> int:
    return transport.get_extra_info("socket").fileno()


def unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes have come that were not read yet."""
    try:
        found = fcntl.ioctl(fileno(transport), termios.FIONREAD, NO_BYTES)
    except OSError:
        return False
    return found != NO_BYTES


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
