"""An index of the listed servers by the states that matter to load balancing.

A gateway may have thousands of servers and chooses one for each attempt. The few in a certain state (busy,
ejected, warming up, answered recently) are therefore tracked as states change, not searched for. Has no
decision logic.
"""

from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from typing import overload

from orchidhatch.gateway.server_record import ServerRecord

# The value that relative latency and fault score decay to.
NEUTRAL = 1.0
# A score this close to neutral is set to it, and decays no further.
NEUTRAL_TOLERANCE = 1e-9


class ServersExcept(Sequence[ServerRecord]):
    """A view of a sequence of servers that omits a few positions, without copying it."""

    def __init__(self, servers: Sequence[ServerRecord], omitted: Iterable[int]) -> None:
        """Omit these positions of the sequence, in any order."""
        self._servers = servers
        # For each omitted position, ascending: how many positions before it are not omitted.
        self._included_before = [position - rank for rank, position in enumerate(sorted(set(omitted)))]

    def __len__(self) -> int:
        return len(self._servers) - len(self._included_before)

    @overload
    def __getitem__(self, position: int) -> ServerRecord: ...
    @overload
    def __getitem__(self, position: slice) -> list[ServerRecord]: ...
    def __getitem__(self, position: int | slice) -> ServerRecord | list[ServerRecord]:
        if isinstance(position, slice):
            return [self[number] for number in range(*position.indices(len(self)))]
        if not 0 <= position < len(self):
            raise IndexError(position)
        omitted_before = bisect_right(self._included_before, position)
        return self._servers[position + omitted_before]

    def __iter__(self) -> Iterator[ServerRecord]:
        return (self[position] for position in range(len(self)))


class ServerIndex:
    """The servers that may be sent new work (`up`), in the order of the list, and those in certain states.

    `busy` have attempts in flight, `unhealthy` are ejected or need a recovery probe, `warming` are in
    slow start, `decaying` have a fault score or relative latency that is not neutral. `unhealthy` and
    `warming` may hold servers that have left the state since they were last read. Each may hold servers that
    are not up.
    """

    def __init__(self) -> None:
        self.up: list[ServerRecord] = []
        # Ordered sets: dictionaries without values.
        self.busy: dict[ServerRecord, None] = {}
        self.unhealthy: dict[ServerRecord, None] = {}
        self.warming: dict[ServerRecord, None] = {}
        self.decaying: dict[ServerRecord, None] = {}
        # The serials of `up`, to find a server's position by bisection.
        self._up_serials: list[int] = []
        # By the time of their last answer, the oldest first.
        self._answered: OrderedDict[ServerRecord, None] = OrderedDict()
        self._by_checksum: dict[int, list[ServerRecord]] = {}

    # --- membership ---

    def add(self, server: ServerRecord, is_up: bool) -> None:
        """Add or update a listed server, with its states and whether it is up."""
        self._set_up(server, is_up)
        same_checksum = self._by_checksum.setdefault(server.checksum, [])
        if server not in same_checksum:
            same_checksum.append(server)
        self.update(server)

    def remove(self, server: ServerRecord) -> None:
        """Remove a server that has left the list."""
        self._set_up(server, is_up=False)
        for state in (self.busy, self.unhealthy, self.warming, self.decaying, self._answered):
            state.pop(server, None)
        same_checksum = self._by_checksum.get(server.checksum, [])
        if server in same_checksum:
            same_checksum.remove(server)
        if not same_checksum:
            self._by_checksum.pop(server.checksum, None)

    def _set_up(self, server: ServerRecord, is_up: bool) -> None:
        position = self.position(server)
        is_present = self.is_up(server)
        if is_up and not is_present:
            self._up_serials.insert(position, server.serial)
            self.up.insert(position, server)
        elif is_present and not is_up:
            del self._up_serials[position]
            del self.up[position]

    def is_up(self, server: ServerRecord) -> bool:
        """Return whether the server may be sent new work."""
        position = bisect_left(self._up_serials, server.serial)
        return position < len(self.up) and self.up[position] is server

    def position(self, server: ServerRecord) -> int:
        """Return the position of a server in `up`, or the position at which it would be inserted."""
        return bisect_left(self._up_serials, server.serial)

    def find_by_checksum(self, checksum: int) -> ServerRecord | None:
        """Return the server with this checksum; None if no server or several servers have it."""
        same_checksum = self._by_checksum.get(checksum, ())
        return same_checksum[0] if len(same_checksum) == 1 else None

    # --- states ---

    def update(self, server: ServerRecord) -> None:
        """Update the states of a server after its fields have changed."""
        set_member(self.busy, server, bool(server.in_flight))
        set_member(self.unhealthy, server, server.needs_probe or server.ejected_until_us > 0)
        set_member(self.warming, server, server.warm_at_us > 0)
        self.update_decaying(server)

    def update_decaying(self, server: ServerRecord) -> None:
        """Update whether a server has scores that decay; a score close to neutral is set to it."""
        if abs(server.relative_latency - NEUTRAL) < NEUTRAL_TOLERANCE:
            server.relative_latency = NEUTRAL
        if abs(server.fault_score - NEUTRAL) < NEUTRAL_TOLERANCE:
            server.fault_score = NEUTRAL
        is_neutral = server.relative_latency == NEUTRAL and server.fault_score == NEUTRAL
        set_member(self.decaying, server, not is_neutral)

    def record_answer(self, server: ServerRecord) -> None:
        """Record that the server has just answered."""
        self._answered[server] = None
        self._answered.move_to_end(server)

    def warming_at(self, now_us: int) -> list[ServerRecord]:
        """Return the servers in slow start at that time, and remove those that are warm from `warming`."""
        warm = [server for server in self.warming if now_us >= server.warm_at_us]
        for server in warm:
            del self.warming[server]
        return list(self.warming)

    def unhealthy_at(self, now_us: int) -> list[ServerRecord]:
        """Return the servers that are ejected or need a recovery probe; remove others from `unhealthy`."""
        readmitted = [
            server
            for server in self.unhealthy
            if now_us >= server.ejected_until_us and not server.needs_probe
        ]
        for server in readmitted:
            del self.unhealthy[server]
        return list(self.unhealthy)

    def connected_since(self, since_us: float) -> list[ServerRecord]:
        """Return the servers up that are busy or have answered after that time, in the order of the list."""
        while self._answered:
            oldest = next(iter(self._answered))
            if oldest.last_answer_us > since_us:
                break
            del self._answered[oldest]
        return self.in_order({**self.busy, **self._answered})

    def in_order(self, servers: Iterable[ServerRecord]) -> list[ServerRecord]:
        """Return those of the servers that are up, in the order of the list."""
        return sorted(filter(self.is_up, servers), key=serial_of)


def serial_of(server: ServerRecord) -> int:
    """Return the sort key of a server in the order of the list."""
    return server.serial


def set_member(members: dict[ServerRecord, None], server: ServerRecord, is_member: bool) -> None:
    """Add the server to an ordered set, or remove it."""
    if is_member:
        members[server] = None
    else:
        members.pop(server, None)
