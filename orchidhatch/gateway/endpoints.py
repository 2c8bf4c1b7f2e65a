"""The endpoint list: the servers that requests may be sent to."""

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The lifecycle of a server by the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """What an endpoint list event holds: the whole list, a cached one, changes, or that a call failed."""

    FULL = "full"
    SAVED = "saved"
    CHANGES = "changes"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list; `started_us` is when the server's process started, 0 if not known."""

    name: str
    zone: int
    kind: int
    cell: int
    state: EndpointState
    relative_capacity: float = 1.0
    started_us: int = 0
