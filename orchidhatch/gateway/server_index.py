"""The servers that may be sent new work, by the states that matter to a choice among them.

A gateway may have thousands of servers and chooses one for each attempt, so what is true of few of them (they
are busy, ejected, warming up or known to answer) is kept as it changes, not searched for. It decides nothing.
"""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from typing import Generic, TypeVar, overload

from orchidhatch.gateway.server_record import ServerRecord

ServerT = TypeVar("ServerT", bound=ServerRecord)

NEUTRAL = 1.0
NEUTRAL_WITHIN = 1e-9
"""A decaying mean this close to its neutral value is set to it, and decays no further."""


class Without(Sequence[ServerT], Generic[ServerT]):
    """A sequence with a few of its positions left out, without a copy of it."""

    def __init__(self, whole: Sequence[ServerT], left_out: Iterable[int]) -> None:
        self._whole = whole
        # For each position left out, ascending: how many of those that are kept come before it.
        self._kept_before = [position - number for number, position in enumerate(sorted(set(left_out)))]

    def __len__(self) -> int:
        return len(self._whole) - len(self._kept_before)

    @overload
    def __getitem__(self, at: int) -> ServerT: ...
    @overload
    def __getitem__(self, at: slice) -> list[ServerT]: ...
    def __getitem__(self, at: int | slice) -> ServerT | list[ServerT]:
        if isinstance(at, slice):
            return [self[number] for number in range(*at.indices(len(self)))]
        if not 0 <= at < len(self):
            raise IndexError(at)
        return self._whole[at + bisect_right(self._kept_before, at)]

    def __iter__(self) -> Iterator[ServerT]:
        return (self[at] for at in range(len(self)))


class ServerIndex(Generic[ServerT]):
    """Servers in the order of the list, and those of them that are in some state.

    `busy` have attempts in flight, `suspect` are ejected or need a recovery probe, `warming` are in slow
    start or were when last looked at, `marked` have a fault score or latency that is not neutral. A server
    that is not `up` may be in them too.
    """

    def __init__(self) -> None:
        self.up: list[ServerT] = []
        self.busy: dict[ServerT, None] = {}
        self.suspect: dict[ServerT, None] = {}
        self.warming: dict[ServerT, None] = {}
        self.marked: dict[ServerT, None] = {}
        self._up_serials: list[int] = []
        # By when they last answered, the longest ago first.
        self._answered: OrderedDict[ServerT, None] = OrderedDict()
        self._by_checksum: dict[int, list[ServerT]] = {}

    # --- membership ---

    def add(self, server: ServerT, is_up: bool) -> None:
        """Put a server in its place in the list, or take it out of `up`; its states are read anew."""
        self._place(server, is_up)
        sharing = self._by_checksum.setdefault(server.checksum, [])
        if server not in sharing:
            sharing.append(server)
        self.update(server)

    def remove(self, server: ServerT) -> None:
        """Forget a server that is not listed any more."""
        self._place(server, is_up=False)
        for state in (self.busy, self.suspect, self.warming, self.marked, self._answered):
            state.pop(server, None)
        sharing = self._by_checksum.get(server.checksum, [])
        if server in sharing:
            sharing.remove(server)
        if not sharing:
            self._by_checksum.pop(server.checksum, None)

    def _place(self, server: ServerT, is_up: bool) -> None:
        at = bisect_left(self._up_serials, server.serial)
        is_there = at < len(self.up) and self.up[at] is server
        if is_up and not is_there:
            self._up_serials.insert(at, server.serial)
            self.up.insert(at, server)
        elif is_there and not is_up:
            del self._up_serials[at]
            del self.up[at]

    def is_up(self, server: ServerT) -> bool:
        """Whether the server may be sent new work."""
        at = bisect_left(self._up_serials, server.serial)
        return at < len(self.up) and self.up[at] is server

    def position(self, server: ServerT) -> int:
        """The place in `up` of a server that is in it."""
        return bisect_left(self._up_serials, server.serial)

    def with_checksum(self, checksum: int) -> ServerT | None:
        """The server that has this checksum; None where none has it, or several."""
        sharing = self._by_checksum.get(checksum, ())
        return sharing[0] if len(sharing) == 1 else None

    # --- states ---

    def update(self, server: ServerT) -> None:
        """Read the states of a server anew, after any of what they rest on has changed."""
        set_member(self.busy, server, bool(server.in_flight))
        set_member(self.suspect, server, server.needs_probe or server.ejected_until_us > 0)
        set_member(self.warming, server, server.warm_at_us > 0)
        self.update_marked(server)

    def update_marked(self, server: ServerT) -> None:
        """The same for the means that decay; those close to neutral are set to it."""
        if abs(server.relative_latency - NEUTRAL) < NEUTRAL_WITHIN:
            server.relative_latency = NEUTRAL
        if abs(server.fault_score - NEUTRAL) < NEUTRAL_WITHIN:
            server.fault_score = NEUTRAL
        is_neutral = server.relative_latency == NEUTRAL and server.fault_score == NEUTRAL
        set_member(self.marked, server, not is_neutral)

    def answered(self, server: ServerT) -> None:
        """The server has answered just now."""
        self._answered[server] = None
        self._answered.move_to_end(server)

    def warming_at(self, now_us: int) -> list[ServerT]:
        """Those in slow start now; the others are forgotten as such."""
        for server in [server for server in self.warming if now_us >= server.warm_at_us]:
            del self.warming[server]
        return list(self.warming)

    def suspects_at(self, now_us: int) -> list[ServerT]:
        """Those ejected now, or in need of a recovery probe; the others are forgotten as such."""
        over = [
            server for server in self.suspect if now_us >= server.ejected_until_us and not server.needs_probe
        ]
        for server in over:
            del self.suspect[server]
        return list(self.suspect)

    def connected_since(self, then_us: int) -> list[ServerT]:
        """Those up that are busy or have answered after that time, in the order of the list."""
        while self._answered:
            oldest = next(iter(self._answered))
            if oldest.last_answer_us > then_us:
                break
            del self._answered[oldest]
        return self.in_order({**self.busy, **self._answered})

    def in_order(self, servers: Iterable[ServerT]) -> list[ServerT]:
        """Those of the servers that are up, in the order of the list."""
        return sorted(filter(self.is_up, servers), key=serial_of)


def serial_of(server: ServerRecord) -> int:
    """The server's place in the order of the list."""
    return server.serial


def set_member(group: dict[ServerT, None], server: ServerT, is_member: bool) -> None:
    """Put the server into the group or take it out."""
    if is_member:
        group[server] = None
    else:
        group.pop(server, None)
