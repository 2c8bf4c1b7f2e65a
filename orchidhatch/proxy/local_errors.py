"""Errors of system calls that are caused by this machine's state, not by the peer."""

import errno
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

Result = TypeVar("Result")

LOCAL_ERRNOS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Transient errors of socket() and connect(), after which the peer has received nothing."""

INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.08


def is_local(error: OSError) -> bool:
    """Return whether the error is transient and says nothing about the peer."""
    return error.errno in LOCAL_ERRNOS


def error_name(error: OSError) -> str:
    """Return the error's symbolic name for the log."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


def backoffs_s() -> Iterator[float]:
    """Yield the waits between attempts without end, doubling up to a limit."""
    wait_s = INITIAL_BACKOFF_S
    while True:
        yield wait_s
        wait_s = min(MAX_BACKOFF_S, 2 * wait_s)


async def retry_local(
    call: Callable[[], Awaitable[Result]],
    sleep: Callable[[float], Awaitable[None]],
    on_local_error: Callable[[OSError], None],
) -> Result:
    """Repeat `call` until it succeeds or fails with an error that is not local; the caller limits the time.

    `on_local_error` is called with each local error. Raises errors of `call` that are not local.
    """
    for wait_s in backoffs_s():
        try:
            return await call()
        except OSError as error:
            if not is_local(error):
                raise
            on_local_error(error)
        await sleep(wait_s)
    raise AssertionError("backoffs_s() ended, but must be endless")
