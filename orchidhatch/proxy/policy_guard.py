"""Suspension of admission while the gateway cannot know that its policy is still valid.

A gateway under a policy starts with admission suspended. It also suspends admission after its event loop
stalled or its agent was silent, as its policy lease may have expired meanwhile and another policy may be
valid; and when its policy ends before its agent has given it the next one. The management call
`healthcheck/ok?reason=policy`, by which the agent confirms the policy, resumes admission.
"""

import asyncio
import logging
import time
from collections.abc import Callable

from orchidhatch.proxy.config import Policy

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2
# Above the delay of an event loop turn on a fully loaded core.
MAX_STALL_S = 1.0


class PolicyGuard:
    """Owner of whether admission is suspended because of the policy.

    `policy` is None for a gateway under no policy. `last_contact_s` returns when the agent was last in
    contact; `set_suspended` is called with each change. Times are on the monotonic clock, in seconds.
    """

    def __init__(
        self,
        policy: Policy | None,
        last_contact_s: Callable[[], float],
        set_suspended: Callable[[bool], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.policy = policy
        self.last_contact_s = last_contact_s
        self.set_suspended = set_suspended
        self.clock = clock
        self.is_suspended = False
        self.is_running = False
        self.last_check_s = clock()

    def begin(self, is_suspended: bool) -> None:
        """Start the checks, at the start or when the gateway gets its first policy."""
        if self.policy is None or self.is_running:
            return
        self.is_running = True
        self.last_check_s = self.clock()
        self._check_periodically()
        if is_suspended:
            self.suspend("gateway has just started")

    def _check_periodically(self) -> None:
        self.check()
        asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check_periodically)

    def check(self) -> None:
        """Suspend admission if the policy may no longer be valid.

        Also called before each admission, as after a stall a request may be processed before the timer.
        """
        if self.policy is None:
            return
        now_s = self.clock()
        stall_s = now_s - self.last_check_s
        self.last_check_s = now_s
        if stall_s > MAX_STALL_S:
            self.suspend(f"event loop stalled for {stall_s:.1f} s")
            return
        reason = self.invalid_reason()
        if reason:
            self.suspend(reason)

    def invalid_reason(self) -> str:
        """Return why the policy may not be valid now, "" if it is valid."""
        now_s = self.clock()
        policy = self.policy
        if policy is None:
            return ""
        if 0 < policy.until_us <= now_s * 1e6:
            return "policy has ended"
        if now_s - self.last_contact_s() > policy.silent_s:
            return "discovery is silent"
        return ""

    def suspend(self, reason: str) -> None:
        """Suspend admission, unless it is suspended already."""
        if self.is_suspended:
            return
        log.warning("admission suspended: reason=%s", reason)
        self.is_suspended = True
        self.set_suspended(True)

    def resume(self) -> bool:
        """Resume admission, as the agent confirms the policy; return False if the policy cannot be valid."""
        self.check()
        if self.invalid_reason():
            return False
        if self.is_suspended:
            self.is_suspended = False
            self.set_suspended(False)
        return True

    def description(self) -> str:
        """Return the policy as a suffix for the answer of the health check."""
        return f"; {self.policy.log_text()}" if self.policy else ""
