"""The links between the processes of a trial, and the faults on them.

A link that is cut keeps what is sent over it, as the sender's own kernel would go on sending it; a connection
that is begun over a cut never comes up, and is reset once the link is whole.
"""

import random
from dataclasses import dataclass, field
from typing import Protocol

from orchidhatch.faults.events import Recorder

Address = tuple[str, int]


class Connection(Protocol):
    """A connection that is relayed over a link."""

    def resume(self) -> None:
        """Pass on what was kept, and reset what never came up."""


@dataclass
class Direction:
    """The faults on one direction of a link; of datagrams, shares that are lost, doubled or reordered."""

    delay_s: float = 0.0
    spread_s: float = 0.0
    """By which the delay varies by chance."""
    bytes_per_s: float = 0.0
    """0 for no bound."""
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    is_closed: bool = False
    """Cut or held: nothing is passed on for now."""

    def delay_for(self, size: int, chance: random.Random) -> float:
        """How much later a piece of so many bytes is passed on, in seconds."""
        delay_s = self.delay_s + self.spread_s * chance.random()
        if self.bytes_per_s:
            delay_s += size / self.bytes_per_s
        return delay_s


@dataclass
class Link:
    """A link by its name, from the process that connects to the one that it connects to."""

    name: str
    recorder: Recorder
    chance: random.Random
    forward: Direction = field(default_factory=Direction)
    backward: Direction = field(default_factory=Direction)
    is_cut: bool = False
    """New connections never come up."""
    is_mute: bool = False
    """New connections are accepted, and nothing is passed on."""
    breaks_next_answer: bool = False
    """The next answer is broken in its middle."""
    connections: set[Connection] = field(default_factory=set)

    def directions(self, which: str) -> list[Direction]:
        """The directions that a fault is put on, by its name in a script."""
        if which == "there":
            return [self.forward]
        if which == "back":
            return [self.backward]
        return [self.forward, self.backward]

    def resume(self) -> None:
        """A fault has ended: pass on what was kept, and reset what never came up."""
        for connection in list(self.connections):
            connection.resume()
