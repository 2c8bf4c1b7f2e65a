"""Checksums of what is stored: SHA-256 of each record, and one over the whole endpoint list.

The checksum of the endpoint list holds the sum of the endpoints' digests, so that a write changes it without
reading the other endpoints.
"""

import hashlib

DIGEST_MODULUS = 1 << 256  # digests of endpoints are added up by it


def digest_of(text: str) -> int:
    """The digest of a record's text, as a number."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest())


def record_checksum(*columns: object) -> str:
    """The checksum of a row: over the columns of its key and its text, separated by spaces."""
    return f"{digest_of(' '.join(map(str, columns))):064x}"


def list_checksum(identity: str, term: int, first: int, generation: int, endpoints: int) -> str:
    """The checksum of all but the history; `endpoints` is the sum of the endpoints' digests."""
    return hashlib.sha256(f"{identity} {term} {first} {generation} {endpoints:064x}".encode()).hexdigest()
