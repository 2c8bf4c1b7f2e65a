"""The limits on what waits for slow clients."""

from orchidhatch.proxy.send_backlog import MIN_BACKLOG_BYTES, PROGRAM_MEMORY_MB, SendBacklog


def test_backlog_is_over_its_limit_past_the_last_byte() -> None:
    backlog = SendBacklog()
    backlog.unsent_bytes = backlog.limit_bytes
    assert not backlog.is_over_limit()
    backlog.unsent_bytes += 1
    assert backlog.is_over_limit()


def test_limits_follow_the_memory() -> None:
    backlog = SendBacklog()
    backlog.set_memory(PROGRAM_MEMORY_MB)
    assert backlog.limit_bytes == MIN_BACKLOG_BYTES
    backlog.set_memory(PROGRAM_MEMORY_MB + 30)
    assert backlog.limit_bytes == 10 << 20
    assert backlog.shed_limit_bytes() == 20 << 20
