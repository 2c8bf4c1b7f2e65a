"""The policy lease of one gateway: which policy the gateway may apply, and until when.

The lease is renewed at a registry, which answers with the current decision. An answered renewal permits the
gateway to serve for LEASE_S after the renewal was sent. The decision is saved to disk, the lease is not.
"""

import logging
import math
import secrets
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import quote

import msgspec

from orchidhatch.control.agent.cache_database import CacheDatabase, Statement
from orchidhatch.control.agent.policy_decision import PolicyDecision
from orchidhatch.control.error_signs import OTHER_INCARNATION_SIGN
from orchidhatch.control.http_client import CallResult
from orchidhatch.control.policy.policy_lease_messages import (
    ListedGateway,
    PolicyLeaseAnswer,
    PolicyLeaseRenewal,
)
from orchidhatch.control.policy.timing import LEASE_S
from orchidhatch.control.registry_client import RegistryClient

log = logging.getLogger("orchidhatch.policy_lease")


class PolicyLeaseClient:
    """The lease and the decision of one gateway, and the documents that the registry needs from its agent."""

    def __init__(
        self,
        database: CacheDatabase,
        registry: RegistryClient,
        gateway_name: str,
        zone: str,
        clock: Callable[[], float],
    ) -> None:
        self._database = database
        self._registry = registry
        self._gateway_name = gateway_name
        self._zone = zone
        self._clock = clock
        database.create_table(
            "policy_heard (only INTEGER PRIMARY KEY CHECK (only = 1), life TEXT NOT NULL, "
            "number INTEGER NOT NULL, digest TEXT NOT NULL, before TEXT NOT NULL)"
        )
        rows = database.read("SELECT life, number, digest, before FROM policy_heard")
        # Only one agent at a time can open this file. The incarnation is saved in it, so that a restarted
        # agent does not have to wait until its own lease expires.
        self.incarnation: str = rows[0][0] if rows else secrets.token_hex(8)
        self.decision = PolicyDecision(*rows[0][1:]) if rows else PolicyDecision()
        self.expires_at_s = -math.inf
        self.requested_digest = ""
        self.needed_digests: frozenset[str] = frozenset()

    def remaining_s(self) -> float:
        """Return the time until the lease expires, in seconds; negative after that."""
        return self.expires_at_s - self._clock()

    def permitted_digest(self) -> str | None:
        """Return the digest that the gateway may apply now, "" for no policy, None if it may not serve."""
        now_s = self._clock()
        if now_s >= self.expires_at_s:
            return None
        return self.decision.digest_at(now_s)

    def time_until_activation_ms(self) -> int | None:
        """Return the time until the decision's activation, negative after it, None if unknown."""
        activation_time_s = self.decision.activation_time_s()
        if not self.decision.number or math.isinf(activation_time_s):
            return None
        return round((activation_time_s - self._clock()) * 1000)

    async def renew(self, renewal: PolicyLeaseRenewal) -> None:
        """Renew the lease, or register the gateway if the registry does not list this incarnation.

        Raises sqlite3.Error if a new decision cannot be saved; the lease is not extended then.
        """
        sent_s = self._clock()
        path = f"/doors/{quote(self._gateway_name, safe='')}/renew"
        result = await self._registry.call("POST", path, msgspec.to_builtins(renewal))
        if is_not_registered(result):
            await self._register()
        elif result.ok:
            await self.apply_answer(msgspec.convert(result.value, PolicyLeaseAnswer), sent_s)

    async def apply_answer(self, answer: PolicyLeaseAnswer, sent_s: float) -> None:
        """Extend the lease by the answer to a renewal that was sent at `sent_s`.

        An answer with an older decision than the known one is ignored. Raises sqlite3.Error like `renew`.
        """
        self.requested_digest = answer.requested_digest
        if answer.is_certain:
            if answer.number < self.decision.number:
                log.warning(
                    "renewal ignored: registry_decision=%d known_decision=%d",
                    answer.number,
                    self.decision.number,
                )
                return
            await self._apply_decision(answer, sent_s)
            self.expires_at_s = sent_s + LEASE_S
        needed = {self.decision.digest, self.decision.previous_digest, answer.prepare}
        self.needed_digests = frozenset(needed - {""})

    async def _apply_decision(self, answer: PolicyLeaseAnswer, sent_s: float) -> None:
        remaining_s = answer.remaining_ms / 1000
        is_new = answer.number != self.decision.number
        self.decision = self.decision.updated(
            answer.number,
            answer.digest,
            answer.previous_digest,
            earliest_s=sent_s + remaining_s,
            latest_s=self._clock() + remaining_s,
        )
        if is_new:
            await self._save_decision()

    async def _save_decision(self) -> None:
        decision = self.decision
        row = (1, self.incarnation, decision.number, decision.digest, decision.previous_digest)
        await self._database.write(
            Statement("INSERT OR REPLACE INTO policy_heard VALUES (?, ?, ?, ?, ?)", [row])
        )

    async def _register(self) -> None:
        registration = ListedGateway(self._gateway_name, self.incarnation, self._zone)
        await self._registry.call("POST", "/doors", msgspec.to_builtins(registration))


def is_not_registered(result: CallResult) -> bool:
    """Return whether the registry does not list this incarnation of the gateway's agent."""
    if result.status == HTTPStatus.NOT_FOUND:
        return True
    return result.status == HTTPStatus.CONFLICT and OTHER_INCARNATION_SIGN in str(result.value)
