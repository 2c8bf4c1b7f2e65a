"""Parses addresses in command-line options."""

import argparse

from orchidhatch.control.http_client import Address

MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Parse an address of the form host:port. Raises argparse.ArgumentTypeError if it is malformed."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise argparse.ArgumentTypeError(f"'{text}' is not host:port")
    return host, int(port)
