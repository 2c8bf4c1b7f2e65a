"""The addresses of a trial's processes, all on loopback, and the relays on the links between them."""

import asyncio
import os
import random
import socket
from typing import Any

from orchidhatch.control.http_client import Address
from orchidhatch.faults.datagram_relay import DatagramRelay
from orchidhatch.faults.events import Recorder
from orchidhatch.faults.links import Link
from orchidhatch.faults.plan import Plan
from orchidhatch.faults.tap import observe_calls, observe_requests, observe_watch
from orchidhatch.faults.tcp_relay import TcpRelay

HOST_NUMBERS = {"registry": 10, "agent": 20, "door": 30}
"""The third number of a process's address, by its kind."""
RELAY_HOST_NUMBER = 50
BACKEND_HOST_NUMBER = 100
"""Of the backends' own addresses; a gateway sees them under that of its view."""
SECOND_PREFIX = "second "
"""Before the name of a link, for its second relay."""


def free_port(host: str) -> int:
    """A port that nobody has at this address, which is this trial's own, so that nobody takes it."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def address_text(address: Address) -> str:
    """An address as the program's options and files have it."""
    return f"{address[0]}:{address[1]}"


class Network:
    """Addresses, links and relays.

    `at` has where each process listens, `over` where each link begins: what its process connects to.
    """

    def __init__(self, plan: Plan, seed: int, recorder: Recorder) -> None:
        self.plan = plan
        self.seed = seed
        self.recorder = recorder
        self.prefix = f"127.{100 + os.getpid() % 100}"
        self.at: dict[str, Address] = {}
        self.over: dict[str, Address] = {}
        self.links: dict[str, Link] = {}
        self.relays: dict[str, TcpRelay] = {}
        self.datagram_relays: dict[str, DatagramRelay] = {}
        self.second_discovery: dict[str, Address] = {}
        """By gateway, the second address of its discovery."""
        self.discovery_index: dict[str, int] = {}
        """By gateway, which of its discovery addresses is configured."""

    def assign_addresses(self) -> None:
        """Give each process its address; backends get theirs when they are added."""
        for name in self.plan.processes():
            kind, _, number = name.partition("-")
            host_number = HOST_NUMBERS.get(kind)
            if host_number is None:
                continue
            host = f"{self.prefix}.{host_number}.{int(number) + 1}"
            self.at[name] = host, free_port(host)
            if kind == "door":
                self.at[f"{name} management"] = host, free_port(host)
                self.at[f"{name} peers"] = host, free_port(host)

    def backend_host(self, machine: int) -> str:
        """The address of a backend's machine."""
        return f"{self.prefix}.{BACKEND_HOST_NUMBER}.{machine}"

    def view_host_number(self, gateway: str) -> int:
        """The third number of the addresses by which this gateway sees the backends."""
        return BACKEND_HOST_NUMBER + 1 + int(gateway.partition("-")[2])

    def registries_of(self, process: str) -> list[Address]:
        """The addresses by which a process reaches the registries."""
        return [self.over[f"{process}>registry-{number}"] for number in range(self.plan.registries)]

    def link(self, name: str) -> Link:
        """The link of that name, made where it is new."""
        chance = random.Random(f"{self.seed} {name}")
        return self.links.setdefault(name, Link(name, self.recorder, chance))

    # --- relays ---

    async def open_relays(self) -> None:
        """Open the relays of all links but those to backends, which come with them."""
        for name in self.plan.links():
            source, _, target = name.partition(">")
            if not target.startswith("backend-"):
                await self._open_relay_between(name, source, target)
        for name, relay in self.datagram_relays.items():
            source, _, target = name.partition(">")
            relay.opposite = self.datagram_relays[f"{target}>{source}"]
            relay.to = self.at[f"{target} peers"]

    async def _open_relay_between(self, name: str, source: str, target: str) -> None:
        is_from_gateway = source.startswith("door-")
        is_to_gateway = target.startswith("door-")
        if is_from_gateway and is_to_gateway:
            await self._open_datagram_relay(name)
        elif is_to_gateway and source.startswith("agent-"):
            alter = observe_calls(self.recorder, target)
            await self.open_relay(name, self.at[f"{target} management"], alter_forward=alter)
        elif is_from_gateway:
            await self._open_discovery_relays(source, name, target)
        elif is_to_gateway:
            alter = observe_requests(self.recorder)
            await self.open_relay(name, self.at[target], alter_forward=alter)
        else:
            await self.open_relay(name, self.at[target])

    async def open_relay(
        self,
        name: str,
        to: Address,
        host: str = "",
        port: int = 0,
        **options: Any,  # noqa: ANN401 - of TcpRelay
    ) -> None:
        """Open the relay of one link."""
        relay = TcpRelay(self.link(name), to, **options)
        self.over[name] = await relay.start(host or self._relay_host(), port)
        self.relays[name] = relay

    async def _open_datagram_relay(self, name: str) -> None:
        transport, relay = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: DatagramRelay(self.link(name)), local_addr=(self._relay_host(), 0)
        )
        self.over[name] = transport.get_extra_info("sockname")
        self.datagram_relays[name] = relay

    async def _open_discovery_relays(self, gateway: str, name: str, agent: str) -> None:
        """Two addresses of the agent for its gateway, so that a new configuration can move between them."""
        listed = f"{self.prefix}.{BACKEND_HOST_NUMBER}."
        seen = f"{self.prefix}.{self.view_host_number(gateway)}."
        alter = observe_watch(self.recorder, gateway, listed, seen)
        await self.open_relay(name, self.at[agent], alter=alter)
        second = TcpRelay(self.link(name), self.at[agent], alter)
        self.second_discovery[gateway] = await second.start(self._relay_host())
        self.relays[f"{SECOND_PREFIX}{name}"] = second

    def _relay_host(self) -> str:
        return f"{self.prefix}.{RELAY_HOST_NUMBER}.1"

    def set_reachable(self, process: str, is_reachable: bool) -> None:
        """Accept or refuse connections to a process: one that has ended refuses them."""
        for name, relay in self.relays.items():
            if name.endswith(f">{process}"):
                if is_reachable:
                    relay.listen_again()
                else:
                    relay.refuse()

    def close(self) -> None:
        """Close all relays."""
        for relay in self.relays.values():
            relay.close()
        for relay in self.datagram_relays.values():
            relay.transport.close()

    # --- discovery ---

    def discovery_of(self, gateway: str) -> Address:
        """The address that the gateway's configuration names now."""
        if self.discovery_index.get(gateway):
            return self.second_discovery[gateway]
        return self.over[discovery_link(gateway)]

    def discovery_relays(self, gateway: str) -> tuple[TcpRelay, TcpRelay]:
        """The relay at the address that the configuration names, and the one at the other address."""
        name = discovery_link(gateway)
        first = self.relays[name]
        second = self.relays[f"{SECOND_PREFIX}{name}"]
        return (second, first) if self.discovery_index.get(gateway) else (first, second)

    def switch_discovery(self, gateway: str) -> None:
        """Have the other address be the one that the configuration names."""
        self.discovery_index[gateway] = 1 - self.discovery_index.get(gateway, 0)


def discovery_link(gateway: str) -> str:
    """The link from a gateway to its agent."""
    return f"{gateway}>agent-{gateway.partition('-')[2]}"
