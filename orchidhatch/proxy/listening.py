"""Sockets that a gateway listens on, opened so that a failure is seen with its errno.

Event loops pass over a socket() call that fails, and then serve on nothing, or report a failed bind without
its errno; what fails for a moment could not be told from what fails for good.
"""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from orchidhatch.proxy.config import Address


@contextmanager
def closed_on_error(opened: socket.socket) -> Iterator[socket.socket]:
    """Close the socket if the block raises."""
    try:
        yield opened
    except BaseException:
        opened.close()
        raise


def family_of(address: Address) -> socket.AddressFamily:
    """The family of an address whose host is an IP address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def stream_socket(address: Address) -> socket.socket:
    """A TCP socket bound to the address; the caller listens. Raises OSError."""
    with closed_on_error(socket.socket(family_of(address), socket.SOCK_STREAM)) as opened:
        # What a killed predecessor left in TIME_WAIT must not keep a restart from its address.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setblocking(False)
        opened.bind(address)
        return opened


def datagram_socket(address: Address) -> socket.socket:
    """A UDP socket bound to the address. Raises OSError."""
    with closed_on_error(socket.socket(family_of(address), socket.SOCK_DGRAM)) as opened:
        opened.setblocking(False)
        opened.bind(address)
        return opened
