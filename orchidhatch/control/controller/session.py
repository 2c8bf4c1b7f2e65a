"""The controller's session at the registry, which is renewed in time and opened again if it is lost."""

import asyncio
import logging
import math
import secrets
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Protocol

import msgspec

from orchidhatch.control.controller.errors import SessionLostError
from orchidhatch.control.controller.registry_api import OpenSessionRequest, RegistryApi, SessionRenewal

log = logging.getLogger("orchidhatch.controller")

SESSION_LEASE_MS = 3000
RENEWALS_PER_LEASE = 4
# The controller stops acting once this share of its lease has passed since it sent the last successful
# renewal. The remainder allows for clock differences and for actions in progress. Safety does not depend on
# it, as every action is fenced.
ACTING_SHARE_OF_LEASE = 0.7
INCARNATION_BYTES = 8


class SessionListener(Protocol):
    """The owner of the claims that are held under the session."""

    def session_renewed(self, claim_epochs: Mapping[str, int]) -> None:
        """Handle a renewal, with the claims and their epochs that the registry has for the session."""

    def session_lost(self) -> None:
        """Handle the loss of the session: no claim is held any more."""


class Session:
    """The session of one process. Only this class writes `valid_until_s` and `incarnation`."""

    def __init__(
        self,
        holder: str,
        registry: RegistryApi,
        listener: SessionListener,
        lease_ms: int = SESSION_LEASE_MS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = holder
        self.lease_ms = lease_ms
        self.clock = clock
        self.incarnation = ""
        self.valid_until_s = -math.inf
        self._registry = registry
        self._listener = listener

    @property
    def may_act(self) -> bool:
        """Return whether the lease cannot have expired yet by this process's clock."""
        return self.clock() < self.valid_until_s

    async def keep_open(self) -> None:
        """Keep a session open until cancelled; one that is lost is opened again."""
        renewal_interval_s = self.lease_ms / 1000 / RENEWALS_PER_LEASE
        while True:
            try:
                await self.open()
                while True:
                    await asyncio.sleep(renewal_interval_s)
                    await self.renew()
            except SessionLostError as error:
                log.warning("session lost: holder=%s reason=%s", self.holder, error)
                self.forget()
                await asyncio.sleep(renewal_interval_s)

    async def open(self) -> None:
        """Open a session with a new incarnation.

        Raises SessionLostError while another process of the same name has a session.
        """
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        sent_s = self.clock()
        reply = await self._registry.open_session(
            OpenSessionRequest(holder=self.holder, incarnation=self.incarnation, lease_ms=self.lease_ms)
        )
        if not reply.ok:
            raise SessionLostError(f"the session was not opened: {reply.error_text}")
        self._extend(sent_s)
        log.info("session opened: holder=%s incarnation=%s", self.holder, self.incarnation)

    async def renew(self) -> None:
        """Renew the session with all its claims; raises SessionLostError if the registry has ended it."""
        sent_s = self.clock()
        reply = await self._registry.renew_session(self.holder, self.incarnation)
        if reply.status in (HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT):
            raise SessionLostError(f"the session was not renewed: {reply.error_text}")
        if reply.ok:
            claims = self._read_claims(reply.body)
            self._extend(sent_s)
            self._listener.session_renewed(claims)

    @staticmethod
    def _read_claims(body: object) -> Mapping[str, int]:
        """Return the claims in a reply to a renewal.

        Raises SessionLostError if the reply is malformed, as the state of the claims is unknown then.
        """
        try:
            return msgspec.convert(body, SessionRenewal).claims
        except msgspec.ValidationError as error:
            raise SessionLostError(f"the reply to a renewal is malformed: {error}") from error

    def forget(self) -> None:
        """Drop the session and all claims under it without a request to the registry."""
        self._listener.session_lost()
        self.valid_until_s = -math.inf

    async def end(self) -> None:
        """End the session, so that other controllers need not wait for its lease to expire."""
        if self.incarnation:
            await self._registry.end_session(self.holder, self.incarnation)
        self.forget()

    def _extend(self, sent_s: float) -> None:
        """Extend the lease from the time at which the request was sent, the earliest time of its grant."""
        self.valid_until_s = sent_s + ACTING_SHARE_OF_LEASE * self.lease_ms / 1000
