"""The kernel's state of a connection, beyond what the event loop has read.

For decisions that must not wait for the event loop's next turn.
"""

import asyncio
import contextlib
import errno
import fcntl
import select
import socket
import struct
import sys
import termios

# What a closed socket has for a descriptor.
CLOSED = -1
# Asks for the bytes of a send queue that were not sent even once; from linux/sockios.h.
SIOCOUTQNSD = 0x894B
# Asks for the memory of a socket's queues; from asm-generic/socket.h. Received bytes and the receive
# buffer's size come first.
SO_MEMINFO = 55
MEMINFO_BYTES = 36
# The size of the integer that FIONREAD and SIOCOUTQNSD return.
INT_BYTES = 4


def descriptor_of(transport: asyncio.BaseTransport) -> int:
    """Return the descriptor of the transport's socket. Raises OSError if it is closed."""
    kernel_socket = transport.get_extra_info("socket")
    descriptor = CLOSED if kernel_socket is None else kernel_socket.fileno()
    if descriptor == CLOSED:
        raise OSError(errno.EBADF, "the socket is closed")
    return descriptor


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many received bytes are unread; 0 for a closed socket."""
    return _queue_size(transport, termios.FIONREAD)


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether received bytes are unread; False for a closed socket."""
    return unread_bytes(transport) > 0


def unsent_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many written bytes the kernel has not sent, as the peer's buffer is full; 0 if closed."""
    return _queue_size(transport, SIOCOUTQNSD)


def _queue_size(transport: asyncio.BaseTransport, request: int) -> int:
    """Return the size in bytes of the socket's queue that the request asks for."""
    try:
        size = fcntl.ioctl(descriptor_of(transport), request, bytes(INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(size, sys.byteorder, signed=True)


def has_input_or_close(transport: asyncio.BaseTransport) -> bool:
    """Return whether received bytes or the peer's close are unread; also true for a closed socket."""
    return pending_events(transport, select.POLLIN) != 0


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed the connection, even if data before the close is unread."""
    return pending_events(transport, select.POLLRDHUP) != 0


def may_hide_close(transport: asyncio.BaseTransport) -> bool:
    """Return whether the receive queue may be full, so that the peer's close would not have arrived."""
    try:
        sizes = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO_BYTES)
    except OSError:
        return False
    received_bytes, buffer_bytes = struct.unpack_from("=II", sizes)
    return received_bytes * 2 >= buffer_bytes


def pending_events(transport: asyncio.BaseTransport, events: int) -> int:
    """Return which of the events, or errors, are pending; POLLNVAL for a closed socket."""
    poller = select.poll()
    with contextlib.suppress(OSError):
        poller.register(descriptor_of(transport), events)
        pending = poller.poll(0)
        return pending[0][1] if pending else 0
    return select.POLLNVAL
