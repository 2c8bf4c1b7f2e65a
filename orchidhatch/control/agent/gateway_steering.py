"""Reconciles a gateway with its policy lease: has it apply the permitted policy, or suspends its admission.

The gateway's configuration file is replaced, and the gateway reloads it on SIGHUP. The gateway's health
response shows which policy it applies; a gateway that applies another one is taken out of service.
"""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from orchidhatch.control.agent.gateway_client import AppliedPolicy, GatewayClient
from orchidhatch.control.agent.gateway_config import GatewayConfigFile
from orchidhatch.control.agent.gateway_process import GatewayProcess
from orchidhatch.control.agent.policy_documents import PolicyDocuments
from orchidhatch.control.agent.policy_lease import PolicyLeaseClient
from orchidhatch.control.policy.document import InvalidPolicyError
from orchidhatch.control.policy.timing import AGENT_START_GRACE_S

log = logging.getLogger("orchidhatch.gateway_steering")

SWITCH_TIMEOUT_S = 2.0  # for the gateway to apply a new file after SIGHUP
SWITCH_POLL_INTERVAL_S = 0.02


class EndpointWatches(Protocol):
    """The watches of this agent's endpoint list, which show the gateway that its agent is alive."""

    def suspend(self) -> None:
        """End all watches and accept none."""

    def resume(self) -> None:
        """Accept watches again."""


class GatewaySteering:
    """Compares the policy that a gateway applies with the permitted one, and acts on the difference.

    `switches` counts the configurations that were installed, `failed_switches` those that the gateway did not
    apply in time, and `suspensions` how often a serving gateway was taken out of service.
    """

    def __init__(
        self,
        gateway: GatewayClient,
        config_file: GatewayConfigFile,
        process: GatewayProcess,
        lease: PolicyLeaseClient,
        documents: PolicyDocuments,
        watches: EndpointWatches,
        clock: Callable[[], float],
    ) -> None:
        self.gateway = gateway
        self.process = process
        self._config_file = config_file
        self._lease = lease
        self._documents = documents
        self._watches = watches
        self._clock = clock
        self.started_s = clock()
        self.switches = 0
        self.failed_switches = 0
        self.suspensions = 0

    def permitted_digest(self) -> str | None:
        """Return the digest of the document that the gateway may apply now, None if it may not serve."""
        return self._lease.permitted_digest()

    def compose_config(self, digest: str) -> str:
        """Return the configuration for the current decision and this document, "" for none.

        Raises InvalidPolicyError if the document does not match the gateway's settings.
        """
        decision = self._lease.decision
        return self._config_file.compose(
            document=self._documents.texts.get(digest, ""),
            digest=digest,
            number=decision.number,
            admission_limit_us=decision.admission_limit_us(self._clock()),
        )

    async def steer(self) -> None:
        """Poll the gateway once, and switch its policy or its admission if necessary."""
        self.gateway.move(self.process.management_address())
        status = await self.gateway.poll_health()
        permitted = self.permitted_digest()
        if not self._config_file.is_managed():
            # No policy was installed yet, or another program has replaced the file.
            if permitted is not None and status is not None:
                await self._switch_to(permitted)
        elif permitted is None:
            if self._clock() - self.started_s > AGENT_START_GRACE_S:
                await self._suspend(status)
        elif status is not None:
            await self._keep_serving(permitted, status)

    async def _keep_serving(self, permitted: str, status: int) -> None:
        if self.gateway.state.policy != AppliedPolicy(self._lease.decision.number, permitted):
            await self._switch_to(permitted)
            return
        self._watches.resume()
        if status != HTTPStatus.OK and self.gateway.state.is_policy_suspended:
            await self.gateway.resume_admission()

    async def _suspend(self, status: int | None) -> None:
        """Have the gateway admit no clients, also if an operator has drained it, who may take it back.

        A gateway that cannot be reached no longer gets the endpoint list, so it suspends admission itself.
        """
        if status == HTTPStatus.OK:
            self.suspensions += 1
            log.warning("admission suspended: lease_remaining_s=%.1f", self._lease.remaining_s())
        await self.gateway.suspend_predecessor()
        is_negative = status is not None and status != HTTPStatus.OK
        is_suspended = is_negative and self.gateway.state.is_policy_suspended
        if is_suspended or await self.gateway.suspend_admission():
            self._watches.resume()
        else:
            self._watches.suspend()

    async def _switch_to(self, digest: str) -> None:
        """Have the gateway apply this document, or suspend its admission if it does not in time."""
        if digest and digest not in self._documents.texts:
            await self._suspend(HTTPStatus.OK)
            return
        expected = AppliedPolicy(self._lease.decision.number, digest)
        try:
            self._config_file.replace(self.compose_config(digest))
        except (InvalidPolicyError, OSError) as error:
            log.error("configuration not written: digest=%s error=%s", digest or "-", error)
            await self._suspend(HTTPStatus.OK)
            return
        await self.gateway.suspend_predecessor()
        self.process.reload()
        self.switches += 1
        if await self._wait_until_applied(expected):
            log.info("policy applied: number=%d digest=%s", expected.number, digest or "-")
            return
        self.failed_switches += 1
        applied = self.gateway.state.digest or "-"
        log.error("policy not applied: expected_digest=%s applied_digest=%s", digest or "-", applied)
        await self._suspend(HTTPStatus.OK)

    async def _wait_until_applied(self, expected: AppliedPolicy) -> bool:
        deadline_s = self._clock() + SWITCH_TIMEOUT_S
        while self._clock() < deadline_s:
            status = await self.gateway.poll_health()
            if status is not None and self.gateway.state.policy == expected:
                return True
            await asyncio.sleep(SWITCH_POLL_INTERVAL_S)
        return False
