"""What all tests share: reproducible property tests, and tests that are coroutines."""

import inspect

import pytest
from hypothesis import settings

from tests.sockets import run

# The same verdict every time: hypothesis draws the same examples, and no time decides.
settings.register_profile("orchidhatch", derandomize=True, deadline=None)
settings.load_profile("orchidhatch")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test that is a coroutine on the event loop that the program uses, within a bounded time."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True
