"""What all tests of policies share."""

import pytest

from tests.control.policy.fake_host import FakeHost
from tests.control.policy.helpers import FakeClock


@pytest.fixture
def clock() -> FakeClock:
    """A clock that only the test moves."""
    return FakeClock()


@pytest.fixture
def countdown_clock(clock: FakeClock, monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    """The same clock, by which tasks count their remaining time too."""
    monkeypatch.setattr("orchidhatch.control.controller.countdown.time.monotonic", clock)
    return clock


@pytest.fixture
def host() -> FakeHost:
    return FakeHost()
