"""Handlers of the requests that an agent forwards to its gateway, which the paths call a door."""

from collections.abc import Awaitable

from orchidhatch.control.agent.gateway_calls import FencedCall, GatewayCalls
from orchidhatch.control.background_tasks import BackgroundTasks
from orchidhatch.control.http_connection import Connection
from orchidhatch.control.http_response import Response
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import read_fenced_call


class GatewayCallHandlers:
    """The handlers of gateway calls in one agent."""

    def __init__(self, calls: GatewayCalls, tasks: BackgroundTasks) -> None:
        self._calls = calls
        self._tasks = tasks

    def add_routes(self, router: Router) -> None:
        """Add all routes of this module."""
        router.add("POST", "/door/{*}", self._forward)
        router.add("GET", "/door/{}", self._query)

    def _forward(self, request: Request, call_path: tuple[str, ...]) -> None:
        fence, call_number = read_fenced_call(request.body)
        call = FencedCall(call_path, fence, call_number)
        self._tasks.start_for_request(answer_later(request.connection, self._calls.forward(call)))

    def _query(self, request: Request, query: str) -> None:
        self._tasks.start_for_request(answer_later(request.connection, self._calls.query(query)))


async def answer_later(connection: Connection, response: Awaitable[Response]) -> None:
    """Answer a request once its response is available."""
    connection.answer(await response)
