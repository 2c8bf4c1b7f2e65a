"""A queue of bytes that is filled and emptied in pieces, so that memory is freed as the bytes are sent."""

MIN_PIECE_BYTES = 16 * 1024
"""Pieces below this size are joined: each Python object has an overhead of its own."""


class PieceBuffer:
    """Bytes in the order of arrival; `size` is their total number."""

    __slots__ = ("pieces", "size")

    def __init__(self) -> None:
        self.pieces: list[bytes | bytearray] = []
        self.size = 0

    def __bool__(self) -> bool:
        return bool(self.pieces)

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        if not data:
            return
        self.size += len(data)
        if not self.pieces or len(self.pieces[-1]) + len(data) > MIN_PIECE_BYTES:
            self.pieces.append(data)
            return
        if not isinstance(self.pieces[-1], bytearray):
            self.pieces[-1] = bytearray(self.pieces[-1])
        self.pieces[-1] += data

    def pop(self) -> bytes:
        """Remove and return the first piece. Raises IndexError if there is none."""
        piece = bytes(self.pieces.pop(0))
        self.size -= len(piece)
        return piece

    def clear(self) -> None:
        """Remove all bytes."""
        self.pieces.clear()
        self.size = 0
