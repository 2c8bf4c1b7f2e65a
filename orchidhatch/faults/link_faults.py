"""Faults of links: what relays do to what is sent over them."""

import asyncio

from orchidhatch.faults.fleet import Fleet
from orchidhatch.faults.links import Link
from orchidhatch.faults.plan import Fault, matching


class LinkFaults:
    """Begins and ends the faults of a fleet's links."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    async def inject(self, fault: Fault) -> None:
        """Put the fault on all links that it names, for as long as it lasts."""
        links = [self.fleet.network.links[name] for name in matching(fault.who, self.fleet.plan.links())]
        for link in links:
            self.fleet.note_fault(fault, link.name)
            set_fault(fault, link, is_on=True)
        if fault.kind == "reset":  # it breaks what is there, once
            return
        if not fault.lasts:
            return
        await asyncio.sleep(fault.lasts)
        for link in links:
            set_fault(fault, link, is_on=False)
            link.resume()
            relay = self.fleet.network.datagram_relays.get(link.name)
            if relay:
                relay.resume()
            self.fleet.note_fault_end(fault, link.name)


def set_fault(fault: Fault, link: Link, is_on: bool) -> None:
    """Begin or end the fault on one link."""
    size = fault.size if is_on else 0.0
    for direction in link.directions(fault.way):
        match fault.kind:
            case "delay":
                direction.delay_s = size
                direction.spread_s = fault.spread if is_on else 0.0
            case "slow":
                direction.bytes_per_s = size
            case "loss":
                direction.loss = size
            case "double":
                direction.duplication = size
            case "turn":
                direction.reordering = size
            case "cut" | "hold":
                direction.is_closed = is_on
    match fault.kind:
        case "cut":
            link.is_cut = is_on
        case "mute":
            link.is_mute = is_on
        case "reset":
            link.breaks_next_answer = True
