"""The states of an attempt and of its connection, by their tables of transitions."""

import itertools

import pytest

from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.proxy import attempt as attempt_states
from orchidhatch.proxy import backend_connection as connection_states
from orchidhatch.proxy.attempt import Attempt, AttemptState
from orchidhatch.proxy.backend_connection import BackendConnection, BackendConnectionState
from tests.proxy.test_backend_pool import Sender, deaf

ATTEMPT_PAIRS = list(itertools.product(AttemptState, AttemptState))
CONNECTION_PAIRS = list(itertools.product(BackendConnectionState, BackendConnectionState))


def attempt_in(state: AttemptState) -> Attempt:
    attempt = Attempt("a", 0, "s", lambda _: b"", lambda *_: None)
    attempt.state = state
    return attempt


def connection_in(state: BackendConnectionState, sender: Sender) -> BackendConnection:
    connection = BackendConnection(sender.backends.pools["s"])
    connection.state = state
    return connection


@pytest.mark.parametrize(("before", "after"), ATTEMPT_PAIRS, ids=str)
def test_attempt_changes_state_only_as_its_table_says(before: AttemptState, after: AttemptState) -> None:
    attempt = attempt_in(before)
    if after in attempt_states.TRANSITIONS[before]:
        attempt._enter(after)
        assert attempt.state is after
    else:
        with pytest.raises(ValueError, match="cannot become"):
            attempt._enter(after)
        assert attempt.state is before


@pytest.mark.parametrize(("before", "after"), CONNECTION_PAIRS, ids=str)
async def test_connection_changes_state_only_as_its_table_says(
    before: BackendConnectionState, after: BackendConnectionState
) -> None:
    connection = connection_in(before, Sender(("127.0.0.1", 1)))
    if after in connection_states.TRANSITIONS[before]:
        connection._enter(after)
        assert connection.state is after
    elif before is BackendConnectionState.CLOSED:
        connection._enter(after)
        assert connection.state is BackendConnectionState.CLOSED
    else:
        with pytest.raises(ValueError, match="cannot become"):
            connection._enter(after)


async def test_abandoned_attempt_ends_with_its_connection() -> None:
    """A connection aborted with an attempt that was written: its one outcome is that of the abandonment."""
    async with deaf() as (address, _):
        sender = Sender(address)
        attempt = sender.send()
        while not attempt.was_written:
            await sender.turn()
        connection = attempt.connection
        attempt.cancel()
        assert attempt.state is AttemptState.ABANDONED and connection.state is BackendConnectionState.CLOSED
        assert sender.ended.empty()
        assert await sender.result() is AttemptResult.CANCELLED
        assert attempt.state is AttemptState.ENDED and sender.backends.connection_count == 0


async def test_dial_that_comes_up_after_its_pool_drains_is_closed() -> None:
    async with deaf() as (address, _):
        sender = Sender(address)
        attempt = sender.send()
        (connection,) = sender.backends.pools["s"].connections
        assert connection.state is BackendConnectionState.CONNECTING
        sender.backends.set_ejected("s", True)
        assert attempt.state is AttemptState.ENDED
        assert await sender.result() is AttemptResult.LOCAL_FAILURE
        while sender.backends.connection_count:
            await sender.turn()
        assert connection.state is BackendConnectionState.CLOSED
