"""Management calls to the gateway on the same machine, and its state as it was seen last."""

import re
from dataclasses import dataclass, replace

from orchidhatch.control.controller.summary import parse_gateway_metrics
from orchidhatch.control.http_client import Address, HttpResponse, call

GATEWAY_TIMEOUT_S = 1.0  # the gateway answers its management calls within that
# In the body of a health response: the number of the decision and the digest of its document, "-" for none.
POLICY_IN_HEALTH = re.compile(r"policy (\d+) ([0-9a-f]{16}|-)")


@dataclass(frozen=True, slots=True)
class AppliedPolicy:
    """The policy that a gateway serves by: the decision's number and its document's digest, "" for none."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class GatewayState:
    """What a gateway's health response said last. `policy` is None where it is under no policy."""

    serves: bool = False
    policy: AppliedPolicy | None = None

    @property
    def digest(self) -> str:
        """The digest of the document that it serves by, "" for none."""
        return self.policy.digest if self.policy else ""


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Requests since the gateway's start by how they ended."""

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
        """Read the gateway's state; the status of its health, None where it does not answer.

        Where it does not answer, it does not serve, and its policy is taken to be as before.
        """
        result = await call(self.address, "GET", "/healthcheck", timeout_s=GATEWAY_TIMEOUT_S)
        if not isinstance(result, HttpResponse):
            self.state = replace(self.state, serves=False)
            return None
        self.state = GatewayState(result.ok, parse_policy(str(result.value)))
        return result.status

    async def poll_request_counts(self) -> None:
        """Read the gateway's counts; they stay as they are where it does not answer."""
        result = await call(self.address, "GET", "/stats", timeout_s=GATEWAY_TIMEOUT_S)
        if result.ok and (sample := parse_gateway_metrics(str(result.value))):
            self.request_counts = RequestCounts(sample.answered, sample.deferred, sample.errored)

    async def suspend_admission(self) -> bool:
        """Have it admit no clients; whether it confirmed that."""
        return await self._post("/healthcheck/fail")

    async def resume_admission(self) -> bool:
        """Have it admit clients; whether it confirmed that."""
        return await self._post("/healthcheck/ok")

    async def _post(self, path: str) -> bool:
        result = await call(self.address, "POST", path, timeout_s=GATEWAY_TIMEOUT_S)
        return result.ok


def parse_policy(health_text: str) -> AppliedPolicy | None:
    """The policy that a health response names, None where it names none."""
    found = POLICY_IN_HEALTH.search(health_text)
    if not found:
        return None
    return AppliedPolicy(int(found[1]), found[2].strip("-"))
