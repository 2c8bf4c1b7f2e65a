"""The endpoint list: the servers that requests may be sent to."""

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The lifecycle state of a server in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """What an endpoint list event carries: the complete list, a cached one, changes, or a failed call."""

    FULL = "full"
    SAVED = "saved"
    CHANGES = "changes"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list; `started_us` is when the server's process started, 0 if unknown."""

    name: str
    zone: int
    kind: int
    cell: int
    state: EndpointState
    relative_capacity: float = 1.0
    started_us: int = 0
