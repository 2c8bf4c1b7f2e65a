"""The controller's session at the registry: opened, renewed in time, and opened anew whenever it is lost."""

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
# The controller stops acting once this share of its lease has passed since it sent the last renewal that was
# answered: the rest allows for clocks that differ and for an action that is under way. Safety does not rely
# on it, as every action is fenced.
ACTING_SHARE_OF_LEASE = 0.7
INCARNATION_BYTES = 8


class SessionListener(Protocol):
    """Who holds claims under the session."""

    def session_renewed(self, claim_epochs: Mapping[str, int]) -> None:
        """The registry has these claims in the session's name, each at that epoch."""

    def session_lost(self) -> None:
        """Nothing is held any more."""


class Session:
    """One process's session. `valid_until_s` and `incarnation` are written here only."""

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
        """Whether, by this process's clock, the lease cannot have expired yet."""
        return self.clock() < self.valid_until_s

    async def keep(self) -> None:
        """Hold a session until this is cancelled."""
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
        """Begin a new incarnation; SessionLostError while another process of this name has a session."""
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        sent_s = self.clock()
        reply = await self._registry.open_session(
            OpenSessionRequest(holder=self.holder, incarnation=self.incarnation, lease_ms=self.lease_ms)
        )
        if not reply.ok:
            raise SessionLostError(f"not opened: {reply.error_text}")
        self._extend(sent_s)
        log.info("session opened: holder=%s incarnation=%s", self.holder, self.incarnation)

    async def renew(self) -> None:
        """Renew the session and all its claims at once; SessionLostError where the registry has ended it."""
        sent_s = self.clock()
        reply = await self._registry.renew_session(self.holder, self.incarnation)
        if reply.status in (HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT):
            raise SessionLostError(f"not renewed: {reply.error_text}")
        if reply.ok:
            claims = self._read_claims(reply.body)
            self._extend(sent_s)
            self._listener.session_renewed(claims)

    @staticmethod
    def _read_claims(body: object) -> Mapping[str, int]:
        """The claims of an answer; SessionLostError where it makes no sense, as nothing is known of them."""
        try:
            return msgspec.convert(body, SessionRenewal).claims
        except msgspec.ValidationError as error:
            raise SessionLostError(f"malformed renewal: {error}") from error

    def forget(self) -> None:
        """Hold nothing, as a process that has just started."""
        self._listener.session_lost()
        self.valid_until_s = -math.inf

    async def end(self) -> None:
        """End the session, so that nobody has to wait for its lease to expire."""
        if self.incarnation:
            await self._registry.end_session(self.holder, self.incarnation)
        self.forget()

    def _extend(self, sent_s: float) -> None:
        """The lease counts from when the request was sent, as it may have been granted at once."""
        self.valid_until_s = sent_s + ACTING_SHARE_OF_LEASE * self.lease_ms / 1000
