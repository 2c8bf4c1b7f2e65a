"""Request handlers for a registry's term."""

import asyncio
from collections.abc import Callable, Coroutine

from orchidhatch.control.errors import ControlError
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.promotion import Promotion
from orchidhatch.control.responses import TermResponse
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import read_is_forced

StartTask = Callable[[Coroutine[None, None, None]], None]


class TermHandlers:
    """The request handlers for the registry's term and its promotion."""

    def __init__(
        self, peer_terms: PeerTermGuard, promotion: Promotion, store_lock: asyncio.Lock, start_task: StartTask
    ) -> None:
        self._peer_terms = peer_terms
        self._promotion = promotion
        self._store_lock = store_lock
        self._start_task = start_task

    def add_routes(self, router: Router) -> None:
        """Register the routes of these handlers."""
        router.add("GET", "/term", self._get_term)
        router.add("POST", "/promote", self._promote)

    def _get_term(self, request: Request) -> Response:
        return Response(200, TermResponse(self._peer_terms.answer_term_query()))

    def _promote(self, request: Request) -> None:
        is_forced = read_is_forced(request.body)
        self._start_task(self._answer_promotion(request.connection, is_forced))

    async def _answer_promotion(self, connection: Connection, is_forced: bool) -> None:
        upstream_may_run = not is_forced and await self._promotion.upstream_may_run()
        try:
            async with self._store_lock:  # no replicated batch is in the middle of its commit
                response = self._promotion.promote(is_forced, upstream_may_run)
        except ControlError as error:
            connection.fail(error)
        else:
            connection.answer(Response(200, response))
