"""What events record of calls to registries and agents."""

from typing import Any

from orchidhatch.control.http_client import CallResult, NoResponse


def status_of(result: CallResult) -> int:
    """The status that an event records; 0 where no response was received."""
    return result.status or 0


def body_of(result: CallResult) -> Any:  # noqa: ANN401 - JSON
    """The body that an event records; the reason where no response was received."""
    return result.reason if isinstance(result, NoResponse) else result.value


def store_of(result: CallResult) -> str:
    """The identity of the store that answered; "" where no response was received."""
    return "" if isinstance(result, NoResponse) else result.store_name
