"""A client of several registries, one of which accepts writes."""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

from orchidhatch.control.error_signs import NOT_WRITABLE_SIGNS
from orchidhatch.control.http_client import Address, CallResult, HttpResponse, NoResponse, call

REGISTRY_TIMEOUT_S = 1.0


@dataclass
class RegistryClient:
    """Sends each request to the registry that accepts writes, and remembers which one that is."""

    registries: Sequence[Address]
    current_index: int = 0

    async def call(self, method: str, path: str, body: object = None) -> CallResult:
        """Return the response of the registry that accepts writes.

        Each registry is tried once. If none accepts writes, return the last response if its status is 503,
        else a NoResponse.
        """
        result: CallResult = NoResponse("no registry is configured")
        for _ in self.registries:
            address = self.registries[self.current_index]
            result = await call(address, method, path, body, REGISTRY_TIMEOUT_S)
            if isinstance(result, HttpResponse) and accepts_writes(result):
                return result
            self.current_index = (self.current_index + 1) % len(self.registries)
        if result.status == HTTPStatus.SERVICE_UNAVAILABLE or isinstance(result, NoResponse):
            return result
        return NoResponse(str(result.value))


def accepts_writes(response: HttpResponse) -> bool:
    """Return whether the registry accepts writes, as far as its response shows."""
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    text = str(response.value)
    is_conflict = response.status == HTTPStatus.CONFLICT
    return not (is_conflict and any(sign in text for sign in NOT_WRITABLE_SIGNS))
