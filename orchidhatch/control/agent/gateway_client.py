"""Management calls to the gateway on the same machine, and its last known state."""

import re
from dataclasses import dataclass, replace

from orchidhatch.control.controller.summary import parse_gateway_metrics
from orchidhatch.control.http_client import Address, HttpResponse, call

GATEWAY_TIMEOUT_S = 1.0  # the gateway answers its management calls within this time
# In the body of a health response: the number of the decision and the digest of its document, "-" for none.
POLICY_IN_HEALTH = re.compile(r"policy ([0-9]{1,19}) ([0-9a-f]{16}|-)")


@dataclass(frozen=True, slots=True)
class AppliedPolicy:
    """The policy that a gateway applies: the decision's number and its document's digest, "" for none."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class GatewayState:
    """A gateway's state by its last health response. `policy` is None if it is under no policy."""

    serves: bool = False
    policy: AppliedPolicy | None = None

    @property
    def digest(self) -> str:
        """The digest of the document that the gateway applies, "" for none."""
        return self.policy.digest if self.policy else ""


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """The number of requests since the gateway's start, by outcome."""

    answered: int = 0
    deferred: int = 0
    errored: int = 0


class GatewayClient:
    """One gateway's management interface."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.state = GatewayState()
        self.request_counts = RequestCounts()

    async def poll_health(self) -> int | None:
        """Update the gateway's state. Return the status of its health response, None without a response.

        A gateway that does not respond is assumed not to serve, and to have the same policy as before.
        """
        result = await call(self.address, "GET", "/healthcheck", timeout_s=GATEWAY_TIMEOUT_S)
        if not isinstance(result, HttpResponse):
            self.state = replace(self.state, serves=False)
            return None
        self.state = GatewayState(result.ok, parse_policy(str(result.value)))
        return result.status

    async def poll_request_counts(self) -> None:
        """Update the gateway's request counts; they stay unchanged if it does not respond."""
        result = await call(self.address, "GET", "/stats", timeout_s=GATEWAY_TIMEOUT_S)
        if result.ok and (sample := parse_gateway_metrics(str(result.value))):
            self.request_counts = RequestCounts(sample.answered, sample.deferred, sample.errored)

    async def suspend_admission(self) -> bool:
        """Have the gateway admit no clients. Return whether it confirmed that."""
        return await self._post("/healthcheck/fail")

    async def resume_admission(self) -> bool:
        """Have the gateway admit clients. Return whether it confirmed that."""
        return await self._post("/healthcheck/ok")

    async def _post(self, path: str) -> bool:
        result = await call(self.address, "POST", path, timeout_s=GATEWAY_TIMEOUT_S)
        return result.ok


def parse_policy(health_text: str) -> AppliedPolicy | None:
    """Return the policy that a health response names, None if it names none."""
    found = POLICY_IN_HEALTH.search(health_text)
    if not found:
        return None
    return AppliedPolicy(int(found[1]), found[2].strip("-"))
