"""Calls to gateways through the agents on their machines, which reject outdated calls."""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus

import msgspec
from msgspec import Struct, field

from orchidhatch.control.controller.errors import FencedError
from orchidhatch.control.error_signs import CLAIM_SIGN
from orchidhatch.control.http_client import Address, call, format_address

# Includes the time that the agent needs to call its gateway.
AGENT_TIMEOUT_S = 1.0


class FencedCallRequest(Struct):
    """The fencing token of a gateway call; agents reject a number lower than one that they have received."""

    claim: str
    epoch: int
    number: int = field(name="act")


class GatewayFleetClient:
    """Client of the gateways that these agents manage."""

    def __init__(self, agents: Sequence[Address]) -> None:
        self._agents = agents

    async def command(
        self, path: str, fenced_call: FencedCallRequest, before_call: Callable[[], None]
    ) -> list[str]:
        """Make a management call at each gateway, and return the agents whose gateways did not carry it out.

        `before_call` may raise an error to prevent a call. Raises FencedError if an agent reports that
        another controller holds the claim.
        """
        body = msgspec.to_builtins(fenced_call)

        async def command_through(agent: Address) -> bool:
            """Make the call through an agent, and return whether its gateway carried it out."""
            before_call()
            result = await call(agent, "POST", f"/door/{path}", body, AGENT_TIMEOUT_S)
            if result.status == HTTPStatus.CONFLICT and CLAIM_SIGN in str(result.value):
                raise FencedError(f"{format_address(agent)}: {result.value['error']}")
            return result.ok

        results = await asyncio.gather(*map(command_through, self._agents))
        failed_agents = [
            agent for agent, succeeded in zip(self._agents, results, strict=True) if not succeeded
        ]
        return list(map(format_address, failed_agents))

    async def query(self, path: str) -> dict[str, str]:
        """Return each gateway's reply by its agent's address; empty for a gateway that does not reply."""
        replies = await asyncio.gather(*(self._query_through(agent, path) for agent in self._agents))
        return {format_address(agent): reply for agent, reply in zip(self._agents, replies, strict=True)}

    async def _query_through(self, agent: Address, path: str) -> str:
        result = await call(agent, "GET", f"/door/{path}", timeout_s=AGENT_TIMEOUT_S)
        return str(result.value["door"]) if result.ok else ""
