"""Calls to gateways, each through the agent on its machine, which rejects those that come too late."""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus

import msgspec
from msgspec import Struct, field

from orchidhatch.control.controller.errors import FencedError
from orchidhatch.control.error_signs import CLAIM_SIGN
from orchidhatch.control.http_client import Address, call, format_address

# For an agent to answer, which asks its gateway in turn.
AGENT_TIMEOUT_S = 1.0


class FencedCallRequest(Struct):
    """On whose behalf a gateway is called. Agents reject a call whose number is below one they have seen."""

    claim: str
    epoch: int
    number: int = field(name="act")


class GatewayFleetClient:
    """The gateways behind these agents."""

    def __init__(self, agents: Sequence[Address]) -> None:
        self._agents = agents

    async def command(
        self, path: str, fenced_call: FencedCallRequest, before_call: Callable[[], None]
    ) -> list[str]:
        """Make a management call at each gateway; the agents whose gateways did not carry it out.

        `before_call` may raise to keep a call from being made. Raises FencedError where an agent knows that
        the claim belongs to another controller.
        """
        body = msgspec.to_builtins(fenced_call)

        async def command_through(agent: Address) -> bool:
            """Whether the gateway of this agent carried it out."""
            before_call()
            result = await call(agent, "POST", f"/door/{path}", body, AGENT_TIMEOUT_S)
            if result.status == HTTPStatus.CONFLICT and CLAIM_SIGN in str(result.value):
                raise FencedError(f"{format_address(agent)}: {result.value['error']}")
            return result.ok

        results = await asyncio.gather(*map(command_through, self._agents))
        missing = [agent for agent, is_done in zip(self._agents, results, strict=True) if not is_done]
        return list(map(format_address, missing))

    async def query(self, path: str) -> dict[str, str]:
        """Each gateway's answer by its agent's address; empty where it gives none."""
        answers = await asyncio.gather(*(self._query_through(agent, path) for agent in self._agents))
        return {format_address(agent): answer for agent, answer in zip(self._agents, answers, strict=True)}

    async def _query_through(self, agent: Address, path: str) -> str:
        result = await call(agent, "GET", f"/door/{path}", timeout_s=AGENT_TIMEOUT_S)
        return str(result.value["door"]) if result.ok else ""
