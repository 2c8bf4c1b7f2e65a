"""Start times that lists tell by a wall clock that is stepped: at the start, in running, over a hand-over."""

import json
import time

import pytest

from orchidhatch.gateway.endpoints import EndpointListKind
from orchidhatch.proxy.endpoint_list_reader import EndpointListReader, EndpointUpdate
from tests.sockets import CONFIG, HOST, catalog, entry

AT = (HOST, 6379)
HOUR_S = 3600
STEPS_S = [HOUR_S, -HOUR_S, 5, -5]
NEAR_US = 1_500_000


class SteppedClock:
    """The wall clock of the machine, off by what was stepped."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.off_s = 0
        true_ns = time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: true_ns() + self.off_s * 1_000_000_000)

    def now_ms(self) -> int:
        return time.time_ns() // 1_000_000


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> SteppedClock:
    return SteppedClock(monkeypatch)


def now_us() -> int:
    return time.monotonic_ns() // 1000


def news_of(
    read: EndpointListReader, version: int, name: str, started_ms: int, reset: bool = False
) -> EndpointUpdate:
    return read.read(json.loads(catalog(version, [entry(name, AT, started_ms=started_ms)], reset)))


def started_us(news: EndpointUpdate) -> int:
    return news.event.endpoints[0].started_us


def test_restart_after_clock_step_is_dated_right(clock: SteppedClock) -> None:
    for step_s in STEPS_S:
        clock.off_s = 0
        read = EndpointListReader(CONFIG)
        news_of(read, 1, "s1", clock.now_ms() - 3 * HOUR_S * 1000, reset=True)
        clock.off_s = step_s
        assert abs(started_us(news_of(read, 2, "s1", clock.now_ms())) - now_us()) < NEAR_US, step_s


def test_start_by_a_stepped_clock_lies_after_last_update(
    clock: SteppedClock,
) -> None:
    for step_s in STEPS_S:
        read = EndpointListReader(CONFIG)
        before = now_us()
        news_of(read, 1, "s1", 0, reset=True)
        found = started_us(news_of(read, 2, "s1", clock.now_ms() + step_s * 1000))
        assert before <= found <= now_us(), step_s


def test_known_start_stays_over_a_clock_step(clock: SteppedClock) -> None:
    read = EndpointListReader(CONFIG)
    stated_ms = clock.now_ms() - 5000
    first = started_us(news_of(read, 1, "s1", stated_ms, reset=True))
    assert abs(first - (now_us() - 5_000_000)) < NEAR_US
    for step_s in STEPS_S:
        clock.off_s = step_s
        assert started_us(news_of(read, 2, "s1", stated_ms, reset=True)) == first
        assert started_us(news_of(read, 3, "s1", stated_ms)) == first


def test_start_stays_for_backend_that_returns_to_the_list(clock: SteppedClock) -> None:
    read = EndpointListReader(CONFIG)
    stated_ms = clock.now_ms() - 5000
    first = started_us(news_of(read, 1, "s1", stated_ms, reset=True))
    news_of(read, 2, "s2", 0, reset=True)
    assert started_us(news_of(read, 3, "s1", stated_ms)) == first


@pytest.mark.parametrize("step_s", [0, *STEPS_S])
def test_no_start_lies_in_the_future_at_process_start(clock: SteppedClock, step_s: int) -> None:
    read = EndpointListReader(CONFIG)
    stated_ms = clock.now_ms() - 1000
    clock.off_s = step_s
    known = json.loads(catalog(1, [entry("s1", AT, started_ms=stated_ms)]))
    found = started_us(read.read(known, EndpointListKind.SAVED))
    assert found <= now_us()
    assert found == min(found, now_us() - 1_000_000 - step_s * 1_000_000 + NEAR_US)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_successor_adopts_predecessors_start_times(clock: SteppedClock, step_s: int) -> None:
    before, after = EndpointListReader(CONFIG), EndpointListReader(CONFIG)
    stated_ms = clock.now_ms() - 5000
    first = started_us(news_of(before, 7, "s1", stated_ms, reset=True))
    clock.off_s = step_s
    assert started_us(news_of(after, 7, "s1", stated_ms, reset=True)) != first
    after.adopt_starts(before.snapshot(), {"s1": first})
    assert started_us(after.read(after.snapshot(), EndpointListKind.FULL)) == first


def test_only_listed_start_times_use_the_wall_clock() -> None:
    """In the gateway and its sockets nothing else reads it."""
    from pathlib import Path

    import orchidhatch

    root = Path(orchidhatch.__file__).parent
    sources = [*root.glob("gateway/*.py"), *root.glob("proxy/*.py")]
    readers = [
        path.name for path in sources if "time.time" in path.read_text() or "datetime" in path.read_text()
    ]
    assert readers == ["start_times.py"]
