"""Fencing by the terms of peers: a registry that was replaced takes no writes.

A peer of a later term was promoted in place of this registry. Its peers are asked for their term all the
time, and a write is acknowledged only where the last check that ended began recently: by its own clock the
registry knows whether it stood still since, in which case another one may have been promoted.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

import h11

from orchidhatch.control.error_signs import FENCED_SIGN
from orchidhatch.control.errors import ConflictError, UnavailableError
from orchidhatch.control.http_client import Address
from orchidhatch.control.http_connection import MAX_HEAD_BYTES
from orchidhatch.control.http_response import STORE_HEADER, term_of
from orchidhatch.control.registry.store import Store

log = logging.getLogger("orchidhatch.registry")

# Checks overlap: a slow network must not make a peer that answers look silent.
CHECK_INTERVAL_S = 0.5
TERM_QUERY_TIMEOUT_S = 2.0
# For how long a check holds, from its beginning: longer than the last check that ended can be old where no
# peer answers. A replica receives a heartbeat each 2 s, and is not promoted unforced before it has received
# none for the watch's timeout, which is more than both: no check from before a stop outlives a promotion.
CHECK_VALIDITY_S = 2.8
# For so long after it answered a peer's query, a replica is not promoted unforced, as that peer may rely on
# the answer: the validity of its check, which began before the answer, and a twentieth as clocks differ.
PROMOTION_DELAY_S = 1.05 * CHECK_VALIDITY_S


class Fenced(NamedTuple):
    """The peer that has replaced this registry, and its term."""

    peer: Address
    term: int


class PeerTermGuard:
    """What is known of the peers' terms, and when a peer was last sent this registry's."""

    def __init__(
        self,
        store: Store,
        peers: Sequence[Address],
        now_s: Callable[[], float],
        is_replica: Callable[[], bool],
    ) -> None:
        self.fenced: Fenced | None = None
        self.last_check_started_s = -math.inf  # of the checks that have ended
        self.last_term_query_answered_s = -math.inf  # a peer may rely on this answer for a while
        self.stale_checks = 0  # times that the last check was too old to acknowledge a write by
        self._store = store
        self._peers = peers
        self._now_s = now_s
        self._is_replica = is_replica

    @property
    def has_peers(self) -> bool:
        """Whether there is anybody to ask."""
        return bool(self._peers)

    def reset(self) -> None:
        """Forget when the last check began, as a replica has asked nobody. Fencing stays."""
        self.last_check_started_s = -math.inf

    def answer_term_query(self) -> int:
        """This registry's term, for a peer that may rely on it."""
        self.last_term_query_answered_s = self._now_s()
        return self._store.term

    def since_term_query_s(self) -> float:
        """Seconds since a peer was last sent the term."""
        return self._now_s() - self.last_term_query_answered_s

    # --- whether writes may be taken and acknowledged ---

    def fenced_text(self) -> str:
        """Why no writes are taken, for errors and for health; "" where they are."""
        if not self.fenced:
            return ""
        host, port = self.fenced.peer
        return f"{FENCED_SIGN}: {host}:{port} is of term {self.fenced.term}, this is of {self._store.term}"

    def check_not_fenced(self) -> None:
        """Raise ConflictError where this registry was replaced."""
        if self.fenced:
            raise ConflictError(self.fenced_text())

    def is_current(self) -> bool:
        """Whether the last check is recent enough to acknowledge by."""
        return not self._peers or self._now_s() - self.last_check_started_s < CHECK_VALIDITY_S

    def check_is_current(self) -> None:
        """Raise UnavailableError where the last check is too old."""
        if not self.is_current():
            raise UnavailableError("it did not run for a while, and asks its peers first")

    async def ensure_current(self) -> bool:
        """Check the peers anew where the last check is too old; whether a write may be acknowledged."""
        if not self.is_current():
            self.stale_checks += 1
            age_s = self._now_s() - self.last_check_started_s
            log.warning("peer check is stale, no write is acknowledged before the next: age_s=%.1f", age_s)
            while not self.is_current():  # it may have stood still while it asked, too
                await self.check_peers()
        return not self.fenced

    # --- checks ---

    async def keep_checking(self) -> None:
        """Check at intervals until this registry is fenced, or this is cancelled."""
        # No TaskGroup: a check that fails unexpectedly must not end the others.
        checks: set[asyncio.Task[None]] = set()
        try:
            while not self.fenced:
                await asyncio.sleep(CHECK_INTERVAL_S)
                check = asyncio.create_task(self.check_peers())
                checks.add(check)
                check.add_done_callback(checks.discard)
        finally:
            for check in checks:
                check.cancel()
            await asyncio.gather(*checks, return_exceptions=True)

    async def check_peers(self) -> None:
        """Ask all peers at once. One that does not answer in time says nothing, and writes go on."""
        started_s = self._now_s()
        peers = () if self._is_replica() or self.fenced else self._peers
        terms = await asyncio.gather(*map(query_term, peers))
        # The answers may be from the beginning, if the process stood still since.
        self.last_check_started_s = max(self.last_check_started_s, started_s)
        for peer, term in zip(peers, terms, strict=True):
            if term > self._store.term and not self.fenced:
                self.fenced = Fenced(peer, term)
                log.error("%s; writes are rejected, reads go on", self.fenced_text())


async def query_term(address: Address) -> int:
    """The term of the registry there; 0 where none answers within TERM_QUERY_TIMEOUT_S."""
    try:
        async with asyncio.timeout(TERM_QUERY_TIMEOUT_S):
            response = await _get_response_head(address, "/term")
    except (OSError, TimeoutError, h11.ProtocolError):
        return 0
    headers = dict(response.headers) if isinstance(response, h11.Response) else {}
    return term_of(headers.get(STORE_HEADER.lower().encode(), b"").decode(errors="replace"))


async def _get_response_head(address: Address, target: str) -> h11.Event:
    """The first event that answers a GET request."""
    http = h11.Connection(h11.CLIENT)
    reader, writer = await asyncio.open_connection(*address)
    try:
        request = h11.Request(method="GET", target=target, headers=[("Host", address[0])])
        writer.write(http.send(request) + http.send(h11.EndOfMessage()))
        while (event := http.next_event()) is h11.NEED_DATA:
            http.receive_data(await reader.read(MAX_HEAD_BYTES))
        return event
    finally:
        writer.transport.abort()
