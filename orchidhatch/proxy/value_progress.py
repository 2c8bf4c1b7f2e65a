"""How much of a long value was passed on, so that another attempt can give the rest of it.

The bytes themselves are not kept, as a value may be larger than the memory: a digest of them tells whether
the other attempt's value begins with the same ones.
"""

import hashlib


class ValueMismatchError(Exception):
    """Another attempt's value does not begin with the bytes that were passed on."""


class ValueProgress:
    """The size of a value, and the number and digest of its bytes that were passed on so far."""

    __slots__ = ("passed_bytes", "passed_digest", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.passed_bytes = 0
        self.passed_digest = hashlib.blake2b()

    def add(self, piece: bytes) -> None:
        """Add a piece that is passed on."""
        self.passed_bytes += len(piece)
        self.passed_digest.update(piece)


class ValueResumption:
    """Takes the value of another attempt from its beginning, and leaves out what was passed on before."""

    __slots__ = ("_digest", "_missing_bytes", "_progress")

    def __init__(self, progress: ValueProgress) -> None:
        self._progress = progress
        self._missing_bytes = progress.passed_bytes
        """How many of the bytes that were passed on have not come again yet."""
        self._digest = hashlib.blake2b()

    def take(self, piece: bytes) -> bytes:
        """Return the part of the piece that is to be passed on.

        Raises ValueMismatchError if the bytes before it are not the ones that were passed on.
        """
        if not self._missing_bytes:
            return piece
        repeated = piece[: self._missing_bytes]
        self._digest.update(repeated)
        self._missing_bytes -= len(repeated)
        if not self._missing_bytes and self._digest.digest() != self._progress.passed_digest.digest():
            raise ValueMismatchError("the value differs from what was passed on")
        return piece[len(repeated) :]
