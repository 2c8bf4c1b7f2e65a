"""Who owns what: epochs, fences, leases, shares, and the stewards' work."""

import asyncio
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.control.agent.service import Agent
from orchidhatch.control.ownership import claims
from orchidhatch.control.ownership.claims import (
    ClaimsTable,
    End,
    Fence,
    Give,
    Hold,
    Keep,
    Open,
    Session,
    Take,
)
from orchidhatch.control.registry.store import Change, ConflictError, CorruptStoreError, Store
from tests.control.agent.helpers import until
from tests.control.registry.test_service import address_of, call, serving
from tests.control.registry.test_store import one
from tests.sockets import HOST, refusing_address, run

HOLDERS, NAMES = ("a", "b", "c"), ("x", "y")
holders, names = st.sampled_from(HOLDERS), st.sampled_from(NAMES)
ops = st.one_of(
    st.builds(lambda h, n: Open(Session(h, f"{h}{n}", 1000)), holders, st.integers(0, 1)),
    st.builds(lambda h, n, lost: End(h, f"{h}{n}", lost), holders, st.integers(0, 1), st.booleans()),
    st.builds(lambda c, h, n: Take(c, h, f"{h}{n}"), names, holders, st.integers(0, 1)),
    st.builds(
        lambda c, h, n, to, why: Give(c, h, f"{h}{n}", 0, to, why),
        names,
        holders,
        st.integers(0, 1),
        st.sampled_from(("", *HOLDERS)),
        st.sampled_from(("", "w")),
    ),
    st.builds(Hold, names, st.booleans()),
    st.builds(lambda c: Keep("r", "text", None, Fence(c, 0)), names),
    st.sampled_from(("restart", "term")),
)


def reread(book: ClaimsTable) -> ClaimsTable:
    """As it comes back from the disk."""
    again = ClaimsTable()
    again.last = book.last
    for kind in claims.KINDS:
        for name, thing in book.kept(kind).items():
            again.read(kind, name, claims.text_of(thing))
    return again


@given(st.lists(ops, max_size=40))
def test_an_epoch_never_comes_twice_and_only_its_holder_writes_by_it(steps: list[Any]) -> None:
    book, term, given_out = ClaimsTable(), 1, set[int]()
    for step in steps:
        if step == "restart":
            book = reread(book)
            continue
        if step == "term":  # a follower that was promoted knows no claims, and counts anew
            book, term = ClaimsTable(), term + 1
            continue
        draft, before = book.draft(term), {name: replace(one) for name, one in book.claims.items()}
        if isinstance(step, Give | Keep):  # by the epoch that is, or by none that ever was
            known = book.claims.get(step.name if isinstance(step, Give) else step.fence.claim)
            epoch = known.epoch if known and known.epoch % 2 == 0 else term << claims.EPOCH_COUNT_BITS
            step = (
                replace(step, epoch=epoch)
                if isinstance(step, Give)
                else replace(step, fence=replace(step.fence, epoch=epoch))
            )
        try:
            draft.write(step)
        except ConflictError:
            assert not draft.changed and draft.last == book.last
            continue
        book.take(draft)
        for name, claim in book.claims.items():
            old = before.get(name)
            assert not claim.holder or book.sessions[claim.holder].life == claim.life
            if old is None or claim.epoch != old.epoch:
                assert claim.epoch not in given_out and claim.epoch > max(given_out, default=0)
                given_out.add(claim.epoch)
                assert isinstance(step, Take) and (old is None or not old.holder)
        if isinstance(step, Keep):
            claim = before[step.fence.claim]
            assert claim.holder and claim.epoch == step.fence.epoch and not claim.held


def draft_of(book: ClaimsTable, *writes: Any) -> list[Any]:  # noqa: ANN401
    made = []
    for write in writes:
        draft = book.draft(1)
        made.append(draft.write(write))
        book.take(draft)
    return made


def test_a_claim_is_handed_over_barred_and_put_aside() -> None:
    book = ClaimsTable()
    draft_of(book, *(Open(Session(name, name, 1000)) for name in HOLDERS))
    *_, claim = draft_of(book, Take("x", "a", "a"))
    assert draft_of(book, Take("x", "a", "a"))[0].epoch == claim.epoch  # asked again: the same
    draft_of(book, Give("x", "a", "a", claim.epoch, to="b"))
    with pytest.raises(ConflictError, match="handed to b"):
        book.draft(1).write(Take("x", "c", "c"))
    *_, claim = draft_of(book, Take("x", "b", "b"))
    draft_of(book, Give("x", "b", "b", claim.epoch, why="disk"))
    with pytest.raises(ConflictError, match="given up by b: disk"):
        book.draft(1).write(Take("x", "b", "b"))
    for name in ("a", "b", "c"):  # each is lost over it
        draft_of(book, Take("x", "c" if name == "b" else name, "c" if name == "b" else name))
        lost = book.claims["x"].holder
        draft_of(book, End(lost, lost, lost=True), Open(Session(lost, lost, 1000)))
    assert book.claims["x"].held and "3 owners" in book.claims["x"].why
    with pytest.raises(ConflictError, match="put aside"):
        book.draft(1).write(Take("x", "a", "a"))
    draft_of(book, Hold("x", False), Take("x", "a", "a"))


def test_check_and_effect_are_one_transaction_also_within_a_batch(tmp_path: Path) -> None:
    store = Store(tmp_path / "list.db", create=True)
    one_, other = Session("a", "1", 1000), Session("b", "1", 1000)
    store.apply([Open(one_), Open(other)])
    one(store, claims.Take("x", "a", "1"))
    epoch = store.book.claims["x"].epoch
    store.apply([Change("s-1", "DRAINING")])
    fence = Fence("x", epoch)
    outcomes = store.apply(
        [
            Keep("r", "1", fence=fence),
            Give("x", "a", "1", epoch),
            Keep("r", "2", fence=fence),
            Take("x", "b", "1"),
            Keep("r", "3", fence=fence),
            Keep("q", "4", fence=Fence("y", epoch)),
        ]
    )
    refused = [isinstance(outcome, ConflictError) for outcome in outcomes]
    assert refused == [False, False, True, False, True, True] and store.book.records["r"].text == "1"
    assert str(outcomes[4]) == f"claim x is at epoch {store.book.claims['x'].epoch}, not {epoch}"
    last = store.book
    store.close()
    again = Store(tmp_path / "list.db")
    assert (again.book.claims, again.book.records, again.book.last) == (last.claims, last.records, last.last)
    again.db.execute("UPDATE book SET record = replace(record, '1', '2') WHERE kind = 'record'")
    again.close()
    with pytest.raises(CorruptStoreError):
        Store(tmp_path / "list.db")


async def session(at: tuple[str, int], holder: str, life: str = "1") -> int:
    value = {"holder": holder, "life": life, "leaseMs": 1000}
    return (await call(at, "POST /sessions", json.dumps(value).encode()))[0]


def test_calls_renew_all_at_once_and_free_what_was_not_renewed(tmp_path: Path) -> None:
    async def job() -> None:
        async with serving(tmp_path / "1.db") as registry:
            at, now = address_of(registry), registry.clock()
            registry.clock = lambda: now
            assert [await session(at, "a"), await session(at, "b")] == [200, 200]
            assert await session(at, "a", "2") == 409
            for name in ("x", "y"):
                given_ = b'{"holder":"a","life":"1"}'
                status, claim = await call(at, f"POST /claims/{name}/take", given_)
                assert status == 200
            assert (await call(at, "POST /claims/x/take", b'{"holder":"b","life":"1"}'))[0] == 409
            known = (await call(at, "GET /claims"))[1]["version"]
            waiting = asyncio.create_task(call(at, f"GET /claims/after/{known}"))
            now += 0.9
            status, told = await call(at, "POST /sessions/a/renew", b'{"life":"1"}')
            assert status == 200 and told["claims"]["y"] == claim["epoch"] and len(told["claims"]) == 2
            now += 0.9
            registry.ownership.look()
            assert [one["holder"] for one in (await waiting)[1]["claims"]] == ["a", "a"]
            await until(lambda: list(registry.store.book.sessions) == ["a"])
            body_ = json.dumps({"lifecycle": "DRAINING", "claim": "x", "epoch": claim["epoch"]}).encode()
            status, told = await call(at, "POST /entries/s-1/lifecycle", body_)
            assert status == 409 and str(claim["epoch"]) in told["error"] and "claim x" in told["error"]
            assert (await call(at, "DELETE /sessions/a", b'{"life":"1"}'))[0] == 200
            assert {one.holder for one in registry.store.book.claims.values()} == {""}

    run(job())


def test_most_sessions_are_held_for_a_while_when_they_run_out_together(tmp_path: Path) -> None:
    async def job() -> None:
        async with serving(tmp_path / "1.db") as registry:
            now = registry.clock()
            registry.clock = lambda: now
            for name in "abcdef":
                assert await session(address_of(registry), name) == 200
            for _ in range(3):
                now += 0.9
                registry.ownership.look()
            assert registry.ownership.leases.held == 6 and len(registry.store.book.sessions) == 6
            for _ in range(12):
                now += 0.9
                registry.ownership.look()
            await until(lambda: not registry.store.book.sessions)

    run(job())


BAD = [
    ("POST /sessions", {"holder": "a", "life": "1", "leaseMs": 1e400}, 400),
    ("POST /sessions", {"holder": "a", "life": "1", "leaseMs": float("nan")}, 400),
    ("POST /sessions", {"holder": "a", "life": "1", "leaseMs": 1 << 60}, 400),
    ("POST /sessions", {"holder": "-", "life": "1", "leaseMs": 1000}, 400),
    ("POST /sessions/zz/renew", {"life": "1"}, 404),
    ("POST /sessions/a/renew", {"life": "9"}, 409),
    ("POST /claims/x/take", {"holder": "zz", "life": "1"}, 404),
    ("POST /claims/x/take", {"holder": "a", "life": "9"}, 409),
    ("POST /claims/zz/give", {"holder": "a", "life": "1", "epoch": 1}, 404),
    ("POST /claims/x/give", {"holder": "a", "life": "1", "epoch": 1 << 50}, 409),
    ("POST /claims/x/give", {"holder": "a", "life": "1", "epoch": -1}, 400),
    ("POST /claims/zz/hold", {"on": True}, 404),
    ("POST /claims/x/hold", {"on": 1}, 400),
    ("POST /records/r", {"text": "x" * 6001}, 400),
    ("POST /records/r", {"text": "x", "claim": "x"}, 400),
    ("POST /records/r", {"text": "x", "claim": "zz", "epoch": 1}, 404),
    ("POST /records/r", {"text": "x", "claim": "x", "epoch": 1 << 50}, 409),
    ("POST /records/r", {"text": "x", "ifVersion": 9}, 409),
    ("DELETE /entries/s-1", {"epoch": 5}, 400),
]


def test_what_makes_no_sense_is_refused_and_changes_nothing(tmp_path: Path) -> None:
    async def job() -> None:
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            await session(at, "a")
            assert (await call(at, "POST /claims/x/take", b'{"holder":"a","life":"1"}'))[0] == 200
            before = await call(at, "GET /claims")
            for line, value, status in BAD:
                answer = await call(at, line, json.dumps(value).encode())
                assert answer[0] == status and answer[1]["error"], (line, value, answer)
            assert await call(at, "GET /claims") == before and not registry.store.book.records

    run(job())


# --- acts at a front door ---


def test_an_agent_refuses_late_acts_and_asks_first_where_it_knows_no_epochs(tmp_path: Path) -> None:
    calls: list[str] = []

    async def door(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        calls.append((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def act(agent: Agent, call_: str, epoch: int, number: int) -> int:
        value = json.dumps({"claim": "x", "epoch": epoch, "act": number}).encode()
        return (await call(address_of(agent), f"POST /door/{call_}", value))[0]

    async def job() -> None:
        server = await asyncio.start_server(door, HOST, 0)
        path, silent = tmp_path / "a.db", refusing_address()

        async def begin(registry: tuple[str, int]) -> Agent:
            agent = Agent(Store(path, create=True), [registry], 1, gateway=server.sockets[0].getsockname())
            await agent.start(HOST, 0)
            return agent

        agent = await begin(silent)
        assert await act(agent, "backends/s-1/maint", 7, 1) == 503 and not calls
        await agent.close()
        async with serving(tmp_path / "1.db") as registry:
            at = address_of(registry)
            await session(at, "a")
            given_ = b'{"holder":"a","life":"1"}'
            epoch = (await call(at, "POST /claims/x/take", given_))[1]["epoch"]
            agent = await begin(at)
            assert await act(agent, "backends/s-1/maint", epoch - 1, 99) == 409  # it asked, and knows better
            assert await act(agent, "backends/s-1/maint", epoch, 5) == 200
            assert await act(agent, "backends/s-1/ready", epoch, 6) == 200
            assert await act(agent, "backends/s-1/maint", epoch, 5) == 409  # kept back on the way
            assert await act(agent, "backends/s-2/maint", epoch + 1, 5) == 200
            assert await act(agent, "../healthcheck", epoch + 1, 5) == 404
            assert await act(agent, "backends/s-1/maint", 1 << 60, 5) == 400
            await agent.close()
        agent = await begin(silent)  # it remembers, and needs nobody
        assert await act(agent, "backends/s-2/ready", epoch, 9) == 409
        assert await act(agent, "backends/s-2/ready", epoch + 1, 9) == 200
        await agent.close()
        server.close()
        assert calls == [
            "/backends/s-1/maint",
            "/backends/s-1/ready",
            "/backends/s-2/maint",
            "/backends/s-2/ready",
        ]

    run(job())
