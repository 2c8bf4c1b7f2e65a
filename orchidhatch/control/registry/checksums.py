"""Checksums of stored data: SHA-256 of each record, and one of the whole endpoint list.

The checksum of the endpoint list covers the sum of the endpoints' digests, so that a write can update it
without reading the other endpoints.
"""

import hashlib

DIGEST_MODULUS = 1 << 256  # the modulus of the sum of the endpoints' digests


def text_digest(text: str) -> int:
    """Return the SHA-256 digest of a text as an integer."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest())


def record_checksum(*columns: object) -> str:
    """Return the checksum of a row: of its key columns and its text, separated by spaces."""
    return f"{text_digest(' '.join(map(str, columns))):064x}"


def list_checksum(identity: str, term: int, first: int, generation: int, endpoints: int) -> str:
    """Return the checksum of the header and of `endpoints`, which is the sum of the endpoints' digests."""
    return hashlib.sha256(f"{identity} {term} {first} {generation} {endpoints:064x}".encode()).hexdigest()
