"""Sessions, claims and fences as the claims table has them: pure, and in the store's transactions."""

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from orchidhatch.control.errors import ConflictError, CorruptStoreError
from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS, ClaimsTransaction
from orchidhatch.control.ownership.claims_table import ClaimsTable
from orchidhatch.control.ownership.objects import Fence, ObjectKind, OwnedObject, Session, encode_object
from orchidhatch.control.ownership.writes import (
    ClaimsWrite,
    EndSession,
    OpenSession,
    PutRecord,
    ReleaseClaim,
    SuspendClaim,
    TakeClaim,
)
from orchidhatch.control.registry.endpoints import ChangeLifecycle
from orchidhatch.control.registry.store import Store
from tests.control.registry.test_store import one

HOLDERS = ("a", "b", "c")
NAMES = ("x", "y")
holders = st.sampled_from(HOLDERS)
names = st.sampled_from(NAMES)
steps = st.one_of(
    st.builds(lambda h, n: OpenSession(Session(h, f"{h}{n}", 1000)), holders, st.integers(0, 1)),
    st.builds(lambda h, n, lost: EndSession(h, f"{h}{n}", lost), holders, st.integers(0, 1), st.booleans()),
    st.builds(lambda c, h, n: TakeClaim(c, h, f"{h}{n}"), names, holders, st.integers(0, 1)),
    st.builds(
        lambda c, h, n, to, why: ReleaseClaim(c, h, f"{h}{n}", 0, to, why),
        names,
        holders,
        st.integers(0, 1),
        st.sampled_from(("", *HOLDERS)),
        st.sampled_from(("", "w")),
    ),
    st.builds(SuspendClaim, names, st.booleans()),
    st.builds(lambda c: PutRecord("r", "text", None, Fence(c, 0)), names),
    st.sampled_from(("restart", "term")),
)


def reload(table: ClaimsTable) -> ClaimsTable:
    """As it comes back from the disk."""
    reloaded = ClaimsTable()
    reloaded.last_change = table.last_change
    for kind in ObjectKind:
        for name, owned in table.objects(kind).items():
            reloaded.load(kind, name, encode_object(owned))
    return reloaded


@given(st.lists(steps, max_size=40))
def test_epochs_are_unique_and_only_the_holder_writes(
    steps: list[Any],
) -> None:
    """Whatever the order of writes."""
    table = ClaimsTable()
    term = 1
    granted = set[int]()
    for step in steps:
        if step == "restart":
            table = reload(table)
            continue
        if step == "term":  # a replica that was promoted knows no claims, and counts anew
            table = ClaimsTable()
            term += 1
            continue
        transaction = ClaimsTransaction(table, term)
        before = dict(table.claims)
        if isinstance(step, ReleaseClaim | PutRecord):  # by the epoch that is, or by none that ever was
            known = table.claims.get(step.name if isinstance(step, ReleaseClaim) else step.fence.claim)
            epoch = known.epoch if known and known.epoch % 2 == 0 else term << EPOCH_COUNT_BITS
            step = (
                replace(step, epoch=epoch)
                if isinstance(step, ReleaseClaim)
                else replace(step, fence=replace(step.fence, epoch=epoch))
            )
        try:
            transaction.write(step)
        except ConflictError:
            assert not transaction.changed and transaction.last_change == table.last_change
            continue
        table.apply(transaction.changed, transaction.last_change)
        for name, claim in table.claims.items():
            old = before.get(name)
            assert not claim.holder or table.sessions[claim.holder].incarnation == claim.incarnation
            if old is None or claim.epoch != old.epoch:
                assert claim.epoch not in granted and claim.epoch > max(granted, default=0)
                granted.add(claim.epoch)
                assert isinstance(step, TakeClaim) and (old is None or not old.holder)
        if isinstance(step, PutRecord):
            claim = before[step.fence.claim]
            assert claim.holder and claim.epoch == step.fence.epoch and not claim.suspended


def write_all(table: ClaimsTable, *writes: ClaimsWrite) -> list[OwnedObject]:
    """Carry out each write in a transaction of its own."""
    written = []
    for write in writes:
        transaction = ClaimsTransaction(table, 1)
        written.append(transaction.write(write))
        table.apply(transaction.changed, transaction.last_change)
    return written


def test_claim_is_kept_from_others() -> None:
    """One that was handed over, released over failures or lost too often."""
    table = ClaimsTable()
    write_all(table, *(OpenSession(Session(name, name, 1000)) for name in HOLDERS))
    *_, claim = write_all(table, TakeClaim("x", "a", "a"))
    assert write_all(table, TakeClaim("x", "a", "a"))[0].epoch == claim.epoch  # asked again: the same
    write_all(table, ReleaseClaim("x", "a", "a", claim.epoch, handed_to="b"))
    with pytest.raises(ConflictError, match="handed to b"):
        ClaimsTransaction(table, 1).write(TakeClaim("x", "c", "c"))
    *_, claim = write_all(table, TakeClaim("x", "b", "b"))
    write_all(table, ReleaseClaim("x", "b", "b", claim.epoch, reason="disk"))
    with pytest.raises(ConflictError, match="released by b: disk"):
        ClaimsTransaction(table, 1).write(TakeClaim("x", "b", "b"))
    for name in ("a", "b", "c"):  # each is lost over it
        write_all(table, TakeClaim("x", "c" if name == "b" else name, "c" if name == "b" else name))
        lost = table.claims["x"].holder
        write_all(table, EndSession(lost, lost, expired=True), OpenSession(Session(lost, lost, 1000)))
    assert table.claims["x"].suspended and "3 owners" in table.claims["x"].reason
    with pytest.raises(ConflictError, match="suspended"):
        ClaimsTransaction(table, 1).write(TakeClaim("x", "a", "a"))
    write_all(table, SuspendClaim("x", False), TakeClaim("x", "a", "a"))


def test_fence_sees_the_writes_before_it_in_a_batch(tmp_path: Path) -> None:
    store = Store(tmp_path / "list.db", create=True)
    store.apply([OpenSession(Session("a", "1", 1000)), OpenSession(Session("b", "1", 1000))])
    one(store, TakeClaim("x", "a", "1"))
    epoch = store.claims_table.claims["x"].epoch
    store.apply([ChangeLifecycle("s-1", "DRAINING")])
    fence = Fence("x", epoch)
    outcomes = store.apply(
        [
            PutRecord("r", "1", fence=fence),
            ReleaseClaim("x", "a", "1", epoch),
            PutRecord("r", "2", fence=fence),
            TakeClaim("x", "b", "1"),
            PutRecord("r", "3", fence=fence),
            PutRecord("q", "4", fence=Fence("y", epoch)),
        ]
    )
    refused = [isinstance(outcome, ConflictError) for outcome in outcomes]
    assert refused == [False, False, True, False, True, True] and store.claims_table.records["r"].text == "1"
    assert str(outcomes[4]) == f"claim x is at epoch {store.claims_table.claims['x'].epoch}, not {epoch}"
    last = store.claims_table
    store.close()
    again = Store(tmp_path / "list.db")
    assert (again.claims_table.claims, again.claims_table.records, again.claims_table.last_change) == (
        last.claims,
        last.records,
        last.last_change,
    )
    again.db.execute("UPDATE book SET record = replace(record, '1', '2') WHERE kind = 'record'")
    again.close()
    with pytest.raises(CorruptStoreError):
        Store(tmp_path / "list.db")


def test_fence_of_a_suspended_claim_rejects_writes() -> None:
    """Until the claim is resumed."""
    table = ClaimsTable()
    *_, claim = write_all(table, OpenSession(Session("a", "1", 1000)), TakeClaim("x", "a", "1"))
    put = PutRecord("r", "text", fence=Fence("x", claim.epoch))
    write_all(table, SuspendClaim("x", True))
    with pytest.raises(ConflictError, match="claim x is suspended"):
        write_all(table, put)
    assert not table.records
    write_all(table, SuspendClaim("x", False), put)
    assert table.records["r"].text == "text"
