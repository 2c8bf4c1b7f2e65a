"""Leases on a clock that the tests move."""

from dataclasses import replace

from orchidhatch.control.leases import FEW, MOST_SHARE, TICK_S, Leases
from orchidhatch.control.registry.store import Entry


def entry(number: int, **changes: object) -> Entry:
    made = Entry(f"s-{number}", "127.0.0.1:1", "a", "m", 0, "SERVING", 1.0, 0, life=number, lease_ms=10_000)
    return replace(made, **changes)


class Time:
    """Looks at the leases each tick, and keeps some of them renewed."""

    def __init__(self, count: int) -> None:
        self.now, self.entries = 1000.0, {number: entry(number) for number in range(1, count + 1)}
        self.leases = Leases(self.entries.values(), self.now)
        self.gone: list[str] = []

    def go(self, seconds: int, silent: range | tuple[int, ...] = ()) -> list[str]:
        """Those that leave the list meanwhile."""
        before = len(self.gone)
        for _ in range(seconds):
            self.now += TICK_S
            for number, known in self.entries.items():
                if number not in silent:
                    self.leases.renew(known.id, known.life, self.now)
            for left in self.leases.overdue(self.now):
                self.leases.forget(left.id)
                self.gone.append(left.id)
        return self.gone[before:]


def test_one_that_falls_silent_leaves_and_the_others_stay() -> None:
    time = Time(50)
    assert time.go(9, silent=(7,)) == []
    assert time.go(2, silent=(7,)) == ["s-7"]
    assert time.go(60, silent=(7,)) == [] and not time.leases.held


def test_many_together_are_held_until_they_renew() -> None:
    time = Time(50)
    assert time.go(40, silent=range(1, 26)) == [] and time.leases.held == 25
    assert time.go(2) == [] and time.leases.held == 0
    assert time.go(12, silent=(9,)) == ["s-9"]


def test_many_one_after_another_are_held_as_well() -> None:
    time, silent = Time(50), []
    for number in range(1, 41):  # one more falls silent each half second or so
        silent.append(number)
        time.go(1, silent=tuple(silent))
    time.go(30, silent=tuple(silent))
    assert FEW <= len(time.gone) <= MOST_SHARE * 50 + 1
    assert time.leases.held >= 40 - len(time.gone)


def test_few_leases_may_all_run_out() -> None:
    time = Time(FEW)
    assert sorted(time.go(12, silent=range(9))) == ["s-1", "s-2"]


def test_pause_of_ours_counts_for_nobody() -> None:
    time = Time(3)
    time.go(5)
    time.now += 3600  # stopped, then going on
    assert time.go(8, silent=(1,)) == []
    assert time.go(4, silent=(1,)) == ["s-1"]


def test_late_renewal_of_an_earlier_life_is_refused() -> None:
    leases = Leases([entry(1, life=5)], 0.0)
    assert not leases.renew("s-1", 4, 1.0) and not leases.renew("s-2", 5, 1.0)
    assert leases.due["s-1"][0] == 10.0
    assert leases.renew("s-1", 5, 1.0) and leases.due["s-1"][0] == 11.0


def test_entry_without_a_lease_stays() -> None:
    leases = Leases([entry(1, lease_ms=0)], 0.0)
    assert leases.overdue(1e9) == [] and not leases.due
    leases.begin(entry(1), 0.0)
    leases.begin(entry(1, lease_ms=0), 5.0)
    assert not leases.due
