"""Management calls to the gateway on the same machine, and its last known state."""

import re
from dataclasses import dataclass, replace

from orchidhatch.control.controller.summary import parse_gateway_metrics
from orchidhatch.control.http_client import Address, HttpResponse, call

GATEWAY_TIMEOUT_S = 1.0  # the gateway answers its management calls within this time
# In the body of a health response: the number of the decision and the digest of its document, "-" for none.
# The calls by which the agent suspends admission over the policy, and ends that; a gateway of the previous
# version ignores the reason.
SUSPEND_PATH = "/healthcheck/fail?reason=policy"
CONFIRM_PATH = "/healthcheck/ok?reason=policy"
# In the body of a health response: who has suspended admission.
SUSPENSIONS_IN_HEALTH = re.compile(r"; suspended by ([a-z, ]{1,100})")
POLICY_SUSPENSION = "policy"
POLICY_IN_HEALTH = re.compile(r"policy ([0-9]{1,19}) ([0-9a-f]{16}|-)")


@dataclass(frozen=True, slots=True)
class AppliedPolicy:
    """The policy that a gateway applies: the decision's number and its document's digest, "" for none."""

    number: int
    digest: str


@dataclass(frozen=True, slots=True)
class GatewayState:
    """A gateway's state by its last health response. `policy` is None if it is under no policy.

    `is_policy_suspended` says whether admission is suspended over the policy. A gateway of the previous
    version does not tell by whom it is suspended; it is then taken to be over the policy.
    """

    serves: bool = False
    policy: AppliedPolicy | None = None
    is_policy_suspended: bool = False

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
        health_text = str(result.value)
        is_policy_suspended = not result.ok and names_policy_suspension(health_text)
        self.state = GatewayState(result.ok, parse_policy(health_text), is_policy_suspended)
        return result.status

    async def poll_request_counts(self) -> None:
        """Update the gateway's request counts; they stay unchanged if it does not respond."""
        result = await call(self.address, "GET", "/stats", timeout_s=GATEWAY_TIMEOUT_S)
        if result.ok and (sample := parse_gateway_metrics(str(result.value))):
            self.request_counts = RequestCounts(sample.answered, sample.deferred, sample.errored)

    async def suspend_admission(self) -> bool:
        """Have the gateway admit no clients over the policy. Return whether it confirmed that."""
        return await self._post(SUSPEND_PATH)

    async def resume_admission(self) -> bool:
        """Have the gateway admit clients under its policy, unless someone else has suspended that.

        Return whether the gateway confirmed it.
        """
        return await self._post(CONFIRM_PATH)

    async def _post(self, path: str) -> bool:
        result = await call(self.address, "POST", path, timeout_s=GATEWAY_TIMEOUT_S)
        return result.ok


def names_policy_suspension(health_text: str) -> bool:
    """Return whether a negative health response names the policy among the reasons, or no reason at all."""
    found = SUSPENSIONS_IN_HEALTH.search(health_text)
    return found is None or POLICY_SUSPENSION in found[1].split(", ")


def parse_policy(health_text: str) -> AppliedPolicy | None:
    """Return the policy that a health response names, None if it names none."""
    found = POLICY_IN_HEALTH.search(health_text)
    if not found:
        return None
    return AppliedPolicy(int(found[1]), found[2].strip("-"))
