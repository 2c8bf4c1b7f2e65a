"""Errors of system calls that come of this machine's own state, not of whom it talks to."""

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
"""Errors of socket() and connect() that pass, and after which the other side has seen nothing."""

INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.08


def is_local(error: OSError) -> bool:
    """Whether the error says nothing of the other side and may be gone in a moment."""
    return error.errno in LOCAL_ERRNOS


def error_name(error: OSError) -> str:
    """The error's symbolic name, as it is logged."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


def backoffs_s() -> Iterator[float]:
    """The waits between attempts, doubling up to a limit; without an end."""
    wait_s = INITIAL_BACKOFF_S
    while True:
        yield wait_s
        wait_s = min(MAX_BACKOFF_S, 2 * wait_s)


async def retry_local(
    call: Callable[[], Awaitable[Result]],
    sleep: Callable[[float], Awaitable[None]],
    failed: Callable[[OSError], None],
) -> Result:
    """Call until it succeeds or fails for a reason that is not local; the caller bounds the time.

    `failed` is told of each local error. Raises the errors of `call` that are not local.
    """
    for wait_s in backoffs_s():
        try:
            return await call()
        except OSError as error:
            if not is_local(error):
                raise
            failed(error)
        await sleep(wait_s)
    raise AssertionError("there is always a further wait")
