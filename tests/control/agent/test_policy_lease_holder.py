"""The holder of a policy lease goes on renewing it over errors."""

import sqlite3
from types import SimpleNamespace

import msgspec
import pytest

from orchidhatch.control.agent import policy_lease_holder
from orchidhatch.control.agent.policy_lease_holder import PolicyLeaseHolder
from tests.control.test_supervision import EnoughError


@pytest.mark.parametrize("error", [msgspec.ValidationError("odd answer"), sqlite3.OperationalError("full")])
async def test_policy_lease_is_renewed_after_a_malformed_answer(
    error: Exception, monkeypatch: pytest.MonkeyPatch
) -> None:
    renewals = 0

    async def renew() -> None:
        nonlocal renewals
        renewals += 1
        if renewals == 3:
            raise EnoughError
        raise error

    monkeypatch.setattr(policy_lease_holder, "LEASE_S", 0.0)
    holder = object.__new__(PolicyLeaseHolder)
    holder.renew = renew
    holder.lease = SimpleNamespace(decision=SimpleNamespace(number=1))
    with pytest.raises(EnoughError):
        await holder._renew_forever()
