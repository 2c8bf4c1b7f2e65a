"""Lines of a byte stream, in whatever pieces it arrives."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.streams.line_splitter import LineSplitter, LineTooLongError


@given(st.lists(st.binary(max_size=8) | st.sampled_from([b"\n", b"a\n\nb", b"\n\n"])))
def test_lines_are_those_of_the_whole_stream(pieces: list[bytes]) -> None:
    splitter = LineSplitter(1000)
    lines = [line for piece in pieces for line in splitter.feed(piece)]
    assert [*lines, bytes(splitter.partial)] == b"".join(pieces).split(b"\n")


@pytest.mark.parametrize("pieces", [[b"12345"], [b"123", b"45\n"], [b"1\n12345\n1"], [b"1\n2\n12345"]])
def test_line_beyond_the_length_is_refused(pieces: list[bytes]) -> None:
    splitter = LineSplitter(4)
    with pytest.raises(LineTooLongError):
        for piece in pieces:
            splitter.feed(piece)
