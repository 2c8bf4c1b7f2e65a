"""Management calls to the gateway on the same machine, and its last known state."""

import logging
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from orchidhatch.control.controller.summary import parse_gateway_metrics
from orchidhatch.control.http_client import Address, HttpResponse, call, format_address

log = logging.getLogger("orchidhatch.gateway_client")

MAX_HANDOVER_S = 60.0  # how long a process that is being replaced may serve
GATEWAY_TIMEOUT_S = 1.0  # the gateway answers its management calls within this time
# The calls by which the agent suspends admission over the policy, and ends that; a gateway of the previous
# version ignores the reason.
SUSPEND_PATH = "/healthcheck/fail?reason=policy"
CONFIRM_PATH = "/healthcheck/ok?reason=policy"
# In the body of a health response: who has suspended admission.
SUSPENSIONS_IN_HEALTH = re.compile(r"; suspended by ([a-z, ]{1,100})")
POLICY_SUSPENSION = "policy"
# In the same body: the number of the decision and the digest of its document, "-" for none.
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
    """One gateway's management interface, which moves as one process of the gateway takes over from another.

    `configured_address` is used until the gateway's process names another one. `clock` is in seconds.
    """

    def __init__(self, configured_address: Address, clock: Callable[[], float] = time.monotonic) -> None:
        self.configured_address = configured_address
        self.on_moved: Callable[[Address], None] = lambda address: None
        self._clock = clock
        self._moved_address: Address | None = None
        self._predecessor: Address | None = None
        """The address before the last move, whose process may serve until the hand-over."""
        self._moved_s = 0.0
        self.state = GatewayState()
        self.request_counts = RequestCounts()

    @property
    def address(self) -> Address:
        """The address of the management calls."""
        return self._moved_address or self.configured_address

    def move(self, process_address: Address | None) -> None:
        """Make calls at the address that the gateway's process names, from now on.

        None means that there is no such process; if it was to replace another one, calls go there again.
        """
        address = process_address or self._recent_predecessor() or self.address
        if address == self.address:
            return
        log.info("management calls moved: from=%s to=%s", *map(format_address, (self.address, address)))
        self._predecessor = self.address if process_address else None
        self._moved_s = self._clock()
        self._moved_address = address
        self.on_moved(address)

    def _recent_predecessor(self) -> Address | None:
        """Return the predecessor's address, None if its process has ended by now."""
        if self._clock() - self._moved_s > MAX_HANDOVER_S:
            self._predecessor = None
        return self._predecessor

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

    async def suspend_predecessor(self) -> None:
        """Have a process that is being replaced admit no clients, as it is not told of changes."""
        predecessor = self._recent_predecessor()
        if predecessor:
            await call(predecessor, "POST", SUSPEND_PATH, timeout_s=GATEWAY_TIMEOUT_S)

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
