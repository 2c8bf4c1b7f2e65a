"""Fencing by the terms of peers: a registry that was replaced accepts no writes.

A peer of a later term was promoted in place of this registry. The registry queries the terms of its peers
continuously and acknowledges a write only if the last completed check began recently. If the process was
paused, another registry may have been promoted meanwhile, and by its own clock the check is then too old.
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

# Shorter than the query timeout, so checks overlap: a slow network must not make a peer look silent.
CHECK_INTERVAL_S = 0.5
TERM_QUERY_TIMEOUT_S = 2.0
# How long a check is valid, from its start. It is longer than the greatest age that the last completed check
# reaches while no peer answers. A replica receives a heartbeat every 2 s, and without force it is promoted
# only after receiving none for the watch's timeout, which is longer than both. So a check from before this
# process was paused is no longer valid when a replica is promoted.
CHECK_VALIDITY_S = 2.8
# After it answered a peer's query, a replica is not promoted without force for this long, as the peer may
# rely on the answer: the validity of the peer's check, which began before the answer, plus 5 % because the
# clocks run at different rates.
PROMOTION_DELAY_S = 1.05 * CHECK_VALIDITY_S


class ReplacingPeer(NamedTuple):
    """The peer that replaced this registry, and the peer's term."""

    peer: Address
    term: int


class PeerTermGuard:
    """Tracks the peers' terms, and when a peer last received the term of this registry."""

    def __init__(
        self,
        store: Store,
        peers: Sequence[Address],
        now_s: Callable[[], float],
        is_replica: Callable[[], bool],
    ) -> None:
        self.replaced_by: ReplacingPeer | None = None
        self.last_check_started_s = -math.inf  # of the completed checks, the latest start
        self.last_term_query_answered_s = -math.inf  # a peer may rely on this answer until its check expires
        self.stale_checks = 0  # how often the last check was too old to acknowledge a write
        self._store = store
        self._peers = peers
        self._now_s = now_s
        self._is_replica = is_replica

    @property
    def has_peers(self) -> bool:
        """Whether any peers are configured."""
        return bool(self._peers)

    def reset(self) -> None:
        """Discard the last check, as a replica does not query its peers. A fenced registry stays fenced."""
        self.last_check_started_s = -math.inf

    def answer_term_query(self) -> int:
        """Return this registry's term to a peer, and record the time, as the peer may rely on the answer."""
        self.last_term_query_answered_s = self._now_s()
        return self._store.term

    def term_query_age_s(self) -> float:
        """Return the seconds since a peer last received the term."""
        return self._now_s() - self.last_term_query_answered_s

    # --- whether writes may be accepted and acknowledged ---

    def fencing_reason(self) -> str:
        """Return why writes are rejected, for errors and health; "" if this registry is not fenced."""
        if not self.replaced_by:
            return ""
        host, port = self.replaced_by.peer
        return (
            f"{FENCED_SIGN}: {host}:{port} is of term {self.replaced_by.term}, this is of {self._store.term}"
        )

    def check_not_fenced(self) -> None:
        """Raise ConflictError if this registry was replaced."""
        if self.replaced_by:
            raise ConflictError(self.fencing_reason())

    def is_current(self) -> bool:
        """Return whether the last check is recent enough to acknowledge writes."""
        return not self._peers or self._now_s() - self.last_check_started_s < CHECK_VALIDITY_S

    def check_is_current(self) -> None:
        """Raise UnavailableError if the last check is too old."""
        if not self.is_current():
            raise UnavailableError(
                "the last peer check is too old; the registry asks its peers first, try again later"
            )

    async def ensure_current(self) -> bool:
        """Repeat a check that is too old, and return whether a write may be acknowledged."""
        if not self.is_current():
            self.stale_checks += 1
            age_s = self._now_s() - self.last_check_started_s
            log.warning("peer check is stale, writes wait for the next one: age_s=%.1f", age_s)
            while not self.is_current():  # the process may have been paused during the check, too
                await self.check_peers()
        return not self.replaced_by

    # --- checks ---

    async def keep_checking(self) -> None:
        """Check at intervals until this registry is fenced or the task is cancelled."""
        # Not a TaskGroup: a check that fails unexpectedly must not cancel the others.
        checks: set[asyncio.Task[None]] = set()
        try:
            while not self.replaced_by:
                await asyncio.sleep(CHECK_INTERVAL_S)
                check = asyncio.create_task(self.check_peers())
                checks.add(check)
                check.add_done_callback(checks.discard)
        finally:
            for check in checks:
                check.cancel()
            await asyncio.gather(*checks, return_exceptions=True)

    async def check_peers(self) -> None:
        """Query all peers concurrently. A peer that does not answer in time does not block writes."""
        started_s = self._now_s()
        peers = () if self._is_replica() or self.replaced_by else self._peers
        terms = await asyncio.gather(*map(query_term, peers))
        # Not the end: the answers may be as old as the start, if the process was paused since.
        self.last_check_started_s = max(self.last_check_started_s, started_s)
        for peer, term in zip(peers, terms, strict=True):
            if term > self._store.term and not self.replaced_by:
                self.replaced_by = ReplacingPeer(peer, term)
                log.error("%s; writes are rejected, reads continue", self.fencing_reason())


async def query_term(address: Address) -> int:
    """Return the term of the registry at an address; 0 if none answers within TERM_QUERY_TIMEOUT_S."""
    try:
        async with asyncio.timeout(TERM_QUERY_TIMEOUT_S):
            response = await _get_response_head(address, "/term")
    except (OSError, TimeoutError, h11.ProtocolError):
        return 0
    headers = dict(response.headers) if isinstance(response, h11.Response) else {}
    return term_of(headers.get(STORE_HEADER.lower().encode(), b"").decode(errors="replace"))


async def _get_response_head(address: Address, target: str) -> h11.Event:
    """Send a GET request and return the first event of the response."""
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
