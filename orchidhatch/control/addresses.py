"""Addresses on command lines."""

import argparse

from orchidhatch.control.http_client import Address

MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """The address in host:port. Raises argparse.ArgumentTypeError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise argparse.ArgumentTypeError(f"'{text}' is not host:port")
    return host, int(port)
