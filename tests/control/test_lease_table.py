"""Leases on a clock that the tests move."""

from msgspec.structs import replace

from orchidhatch.control.lease_table import CHECK_INTERVAL_S, DEFAULT_LIMIT, LeaseTable
from orchidhatch.control.registry.endpoints import Endpoint


def leased_endpoint(number: int, **changes: object) -> Endpoint:
    endpoint = Endpoint(
        f"s-{number}", "127.0.0.1:1", "a", "m", 0, "SERVING", 1.0, 0, incarnation=number, lease_ms=10_000
    )
    return replace(endpoint, **changes)


class LeaseClock:
    """Checks the leases at each interval, and keeps some of them renewed."""

    def __init__(self, count: int) -> None:
        self.now = 1000.0
        self.endpoints = {number: leased_endpoint(number) for number in range(1, count + 1)}
        self.table = LeaseTable(self.endpoints.values(), self.now)
        self.removed: list[str] = []

    def advance(self, seconds: int, silent: range | tuple[int, ...] = ()) -> list[str]:
        """Those that are removed meanwhile."""
        before = len(self.removed)
        for _ in range(seconds):
            self.now += CHECK_INTERVAL_S
            for number, endpoint in self.endpoints.items():
                if number not in silent:
                    self.table.renew(endpoint.id, endpoint.incarnation, self.now)
            for expired in self.table.take_overdue(self.now):
                self.table.forget(expired.id)
                self.removed.append(expired.id)
        return self.removed[before:]


def test_lease_expires_alone() -> None:
    clock = LeaseClock(50)
    assert clock.advance(9, silent=(7,)) == []
    assert clock.advance(2, silent=(7,)) == ["s-7"]
    assert clock.advance(60, silent=(7,)) == [] and not clock.table.withheld


def test_mass_expiry_is_withheld_until_renewal() -> None:
    clock = LeaseClock(50)
    assert clock.advance(40, silent=range(1, 26)) == [] and clock.table.withheld == 25
    assert clock.advance(2) == [] and clock.table.withheld == 0
    assert clock.advance(12, silent=(9,)) == ["s-9"]


def test_successive_mass_expiry_is_withheld() -> None:
    clock = LeaseClock(50)
    silent: list[int] = []
    for number in range(1, 41):  # one more falls silent each half second or so
        silent.append(number)
        clock.advance(1, silent=tuple(silent))
    clock.advance(30, silent=tuple(silent))
    assert DEFAULT_LIMIT.few <= len(clock.removed) <= DEFAULT_LIMIT.share * 50 + 1
    assert clock.table.withheld >= 40 - len(clock.removed)


def test_few_leases_may_all_expire() -> None:
    clock = LeaseClock(DEFAULT_LIMIT.few)
    assert sorted(clock.advance(12, silent=range(9))) == ["s-1", "s-2"]


def test_pause_of_the_process_extends_leases() -> None:
    clock = LeaseClock(3)
    clock.advance(5)
    clock.now += 3600  # stopped, then going on
    assert clock.advance(8, silent=(1,)) == []
    assert clock.advance(4, silent=(1,)) == ["s-1"]


def test_renewal_of_an_earlier_incarnation_is_rejected() -> None:
    leases = LeaseTable([leased_endpoint(1, incarnation=5)], 0.0)
    assert not leases.renew("s-1", 4, 1.0) and not leases.renew("s-2", 5, 1.0)
    assert leases.leases["s-1"].due_s == 10.0
    assert leases.renew("s-1", 5, 1.0) and leases.leases["s-1"].due_s == 11.0


def test_endpoint_without_a_lease_stays() -> None:
    leases = LeaseTable([leased_endpoint(1, lease_ms=0)], 0.0)
    assert leases.take_overdue(1e9) == [] and not leases.leases
    leases.begin(leased_endpoint(1), 0.0)
    leases.begin(leased_endpoint(1, lease_ms=0), 5.0)
    assert not leases.leases
