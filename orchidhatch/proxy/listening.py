"""Creates the sockets that a gateway listens on, so that errors keep their errno.

Event loops ignore a failed socket() call and then listen on nothing, or report a failed bind without its
errno. A transient error could then not be distinguished from a permanent one.
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
    """Return the family of an address whose host is an IP address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def stream_socket(address: Address) -> socket.socket:
    """Return a TCP socket bound to the address, not yet listening. Raises OSError if that fails."""
    with closed_on_error(socket.socket(family_of(address), socket.SOCK_STREAM)) as opened:
        # Lets a restart bind the address while connections of a killed process are in TIME_WAIT.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setblocking(False)
        opened.bind(address)
        return opened


def datagram_socket(address: Address) -> socket.socket:
    """Return a UDP socket bound to the address. Raises OSError if that fails."""
    with closed_on_error(socket.socket(family_of(address), socket.SOCK_DGRAM)) as opened:
        opened.setblocking(False)
        opened.bind(address)
        return opened
