"""What all tests share: reproducible property tests, coroutines as tests, and the list of known failures."""

import inspect
import logging
from collections.abc import Iterator

import pytest
from hypothesis import settings

from tests.known_red import read_known_failures
from tests.sockets import run

# The same verdict every time: hypothesis draws the same examples, and no time decides.
settings.register_profile("orchidhatch", derandomize=True, deadline=None)
settings.load_profile("orchidhatch")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect just the listed tests to fail; one that passes is to be taken off, unless it fails sometimes."""
    known = {entry.test: entry for entry in read_known_failures()}
    for item in items:
        if entry := known.get(item.nodeid):
            reason = f"issue {entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.always_fails()))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list of known failures at the end of each run."""
    for entry in read_known_failures():
        terminalreporter.write_line(
            f"KNOWN RED {entry.test}: {entry.seen} (issue {entry.issue}; {entry.command})"
        )


@pytest.fixture(autouse=True)
def no_guard_refuses(request: pytest.FixtureRequest) -> Iterator[None]:
    """No guard has to refuse anything, whatever a test does; tests of the guards are marked `refusals`."""
    refusals: list[str] = []
    handler = logging.Handler()
    handler.emit = lambda record: refusals.append(record.getMessage())
    logger = logging.getLogger("orchidhatch.proxy.guards")
    logger.addHandler(handler)
    yield
    logger.removeHandler(handler)
    if not request.node.get_closest_marker("refusals"):
        assert refusals == []


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test that is a coroutine on the event loop that the program uses, within a bounded time."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True
