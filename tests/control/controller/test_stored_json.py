"""Stored and received JSON that is nested too deeply."""

import pytest

from orchidhatch.control.controller.stored_json import decode_stored
from orchidhatch.control.http_client import decode_body

DEEP = "[" * 100_000


def test_record_or_body_nested_thousands_deep_is_malformed() -> None:
    with pytest.raises(ValueError, match="nested"):
        decode_stored(DEEP, dict)
    assert decode_body(DEEP.encode()) == DEEP
