"""A front door under a policy: barred or not, put under another one, and kept to what holds by its agent."""

import asyncio
import json
import logging
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.control.agent.policy_lease import Keeper, Setup
from orchidhatch.control.agent.service import Agent
from orchidhatch.control.policy.records import DOCUMENT_RECORD_PREFIX
from orchidhatch.control.policy.timing import (
    ABSENT_AFTER_S,
    AGENT_SILENCE_LIMIT_S,
    AGENT_START_GRACE_S,
    LEASE_S,
    SWITCH_MARGIN_S,
)
from orchidhatch.control.registry.service import Registry
from orchidhatch.control.registry.store import Store
from orchidhatch.gateway import interface as i
from orchidhatch.gateway.codec import MARK, WORD, mark_of, pack_message, unpack_message
from orchidhatch.proxy.config import ConfigError, Policy, load
from orchidhatch.proxy.server import FrontDoor
from tests.control.policy.helpers import DIGEST_A as DA
from tests.control.policy.helpers import DOCUMENT_A as A
from tests.control.policy.helpers import FakeClock as Time
from tests.control.policy.helpers import decide, decision_number
from tests.control.policy.helpers import registry_on_clock as keeping
from tests.control.policy.helpers import settle as settled
from tests.control.registry.test_service import address_of, call
from tests.helpers import MS, PLAN, SETTINGS, World, of
from tests.sockets import CUSTOMER, HOST, Backend, Client, front_door, query, run

WIDER = i.Plan(rate=20.0, burst=40.0, ceiling_rate=50.0, ceiling_burst=60.0)
TIGHT = i.Plan(rate=5.0, burst=5.0, max_out=1)
plans = st.sampled_from((PLAN, WIDER, TIGHT, i.Plan()))


def policy(*plans_: i.Plan, mark: int = 2, moved: tuple[int, ...] = (0,), banned: str = "") -> i.NewPolicy:
    return i.NewPolicy(SETTINGS.classes, plans_, frozenset(filter(None, [banned])), mark, moved)


# --- in the module ---


@given(st.lists(st.tuples(plans, st.integers(1, 30)), min_size=1, max_size=6))
def test_levels_go_over_in_proportion_and_never_above_what_the_plan_has(
    steps: list[tuple[i.Plan, int]],
) -> None:
    world, number = World(), 0
    for plan, asked in steps:
        for _ in range(asked):
            number += 1
            world.ask(f"r{number}")
        [customer] = world.gateway.homes.customers.values()
        before = customer.refill(world.now)
        was = before.plan, before.level, before.part, before.out
        world.tell(policy(plan))
        after = next(iter(world.gateway.homes.customers.values()))
        assert after.plan == plan and after.out == was[3]
        share = plan.burst / was[0].burst if was[0].burst else 0.0
        assert after.level == pytest.approx(was[1] * share) and after.part <= plan.burst + 1e-9
        assert after.ceiling <= plan.ceiling_burst + 1e-9
        for name, attempt in list(world.out):  # whatever was let in ends by what held then
            world.answer(name, attempt=attempt)
    assert after.out == 0


def test_nobody_is_let_in_while_barred_and_the_banned_never_and_others_words_are_not_added_up() -> None:
    world = World(replace(SETTINGS, gateways=2))
    world.tell(i.Bar(True))
    assert of(i.Refuse, world.ask("a")) and not world.out
    world.tell(i.Bar(False))
    assert of(i.Send, world.ask("b"))
    world.tell(policy(i.Plan(rate=7.0, burst=7.0), PLAN, mark=9, moved=(1,), banned="c2"))
    assert of(i.Refuse, world.ask("c", customer="c2")) and of(i.Send, world.ask("d"))
    ended = dict(world.gateway.ended)
    assert ended == {"policy": 1, "banned": 1}
    [customer] = [one for one in world.gateway.homes.customers.values() if one.at_home][:1]
    demand = customer.demand
    word = i.Word(*customer.key, demand=50.0, spent=50.0)
    for mark, level in ((2, customer.level), (0, customer.level), (9, customer.level - 50)):
        world.tell(i.PeerMessage(1, (word,), mark=mark))
        assert customer.level == pytest.approx(max(level, -customer.plan.rate / 2), abs=0.5)
    assert customer.demand > demand + 40
    world.tell(policy(PLAN, moved=(-1, -1)))
    assert not world.gateway.homes.customers


def test_waits_are_told_by_what_for() -> None:
    world = World(replace(SETTINGS, plans=(TIGHT,)))
    for name in ("a", "b", "c"):
        world.ask(name)
    world.run(100 * MS)
    waited = sum(
        (dict(action.times).get("open_cap", 0) for _, action in world.log if isinstance(action, i.Waited))
    )
    assert waited == pytest.approx(2 * 100 * MS, rel=0.25)


def test_a_mark_goes_with_the_words_and_an_earlier_version_passes_over_such_a_message() -> None:
    words = tuple(i.Word(n, 0, 0, 2, demand=1.0) for n in range(13))
    seen = (i.Sighting(7, 0, True, 0.5),)
    [plain], [marked] = pack_message(words, seen), pack_message(words, seen, 200)
    assert (mark_of(plain), mark_of(marked)) == (0, 200) and max(map(len, (plain, marked))) <= 256
    assert unpack_message(plain)[0] == unpack_message(marked)[0] == words
    assert 1 + (marked[0] ^ MARK) * WORD.size > 256  # by which the version before knows what is not its form
    for cut in range(len(marked)):
        unpack_message(marked[:cut])


# --- the front door ---


def under(**changes: Any) -> Policy:  # noqa: ANN401
    return replace(Policy(1, "", 5.0), **changes)


async def asks(client: Client, name: str) -> str:
    answer = await client.ask(query(name))
    return str(answer)


def test_a_door_under_a_policy_lets_nobody_in_before_its_keeper_says_so(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def job() -> None:
        async with front_door(Backend(), policy=under(), traces_policy=True) as (door, at):
            client = await Client.open(at)
            assert door.health() == (503, "takes no new clients; policy 1 -")
            assert "BUSY" in await asks(client, "a") and not door.open
            assert door.enter_service()[0] == 200 and door.health() == (200, "serves; policy 1 -")
            assert "ok" in await asks(client, "b")
            new = replace(
                door.config,
                policy=under(number=2, digest=DA),
                plan_numbers={"new": 0, "team": 1},
                settings=replace(
                    door.config.settings, plans=(PLAN, WIDER), mark=3, banned=frozenset({CUSTOMER})
                ),
            )
            door.reload(replace(new, class_numbers={"other": 0}))
            assert door.config.policy.number == 1  # it cannot go by that
            door.reload(new)
            assert door.health() == (200, f"serves; policy 2 {DA}") and door.peers.mark == 3
            assert "BUSY" in await asks(client, "c")
            text = door.metrics()[1]
            assert 'proxy_unserved_total{reason="banned"} 1' in text and 'reason="policy"} 1' in text
            door.reload(replace(new, policy=None))  # a file that only moves discovery changes no policy
            assert door.config.policy.number == 2

    run(job())
    lines = [record.getMessage() for record in caplog.records if record.getMessage().startswith("request")]
    assert [line.rpartition(",")[0] for line in lines] == [
        "request b answered by policy -",
        f"request c deferred by policy {DA}",
    ]


def test_a_door_bars_itself_when_it_cannot_know_what_holds() -> None:
    async def job() -> None:
        async with front_door(Backend(), policy=under()) as (door, at):
            time, heard = Time(), Time()
            door.watchful.clock, door.watchful.heard_s = time, heard
            door.watchful.ticked_s = time.now
            client = await Client.open(at)

            async def served(name: str) -> bool:
                return "ok" in await asks(client, name)

            assert door.enter_service()[0] == 200 and await served("a")
            time.now += 1.5  # it stood still, and this request had waited meanwhile
            assert not await served("b") and door.enter_service()[0] == 200 and await served("c")
            heard.now -= 6  # its agent is silent
            assert not await served("d") and door.enter_service()[0] == 409
            heard.now = time.now
            assert door.enter_service()[0] == 200 and await served("e")
            ends = round((time.now + 0.5) * 1e6)
            door.reload(replace(door.config, policy=under(number=2, until_us=ends)))
            assert await served("f")
            time.now += 0.6  # nobody came to put it under the next one
            assert not await served("g") and door.enter_service()[0] == 409
            door.reload(replace(door.config, policy=under(number=2, digest=DA)))
            assert door.enter_service()[0] == 200 and await served("h")

    run(job())


@pytest.mark.parametrize(
    "value",
    [{"number": -1}, {"number": "x"}, {"number": 1, "digest": "xyz"}, {"number": 1 << 60}, {"silent_ms": 0}],
)
def test_a_policy_that_makes_no_sense_is_an_error_of_the_file(value: dict[str, Any], tmp_path: Path) -> None:
    file = write_config(tmp_path, policy=value)
    with pytest.raises(ConfigError, match=r"policy|number|silent_ms"):
        load({"PROXY_CONFIG": str(file)})


def write_config(folder: Path, **more: Any) -> Path:  # noqa: ANN401
    file = folder / "config.json"
    file.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"{HOST}:1",
                "discovery": f"{HOST}:1",
                "seed": "1",
                "settings": {
                    "me": 0,
                    "balancers": 1,
                    "plans": [{"name": "stor", "units-per-s": 10, "burst": 10}],
                    "categories": [{"name": "read", "on-time-us": 750_000, "deadline-us": 2_000_000}],
                },
                **more,
            }
        )
    )
    return file


# --- its keeper ---


class Kept:
    """A real front door, list service and keeper on one clock that the test moves; SIGHUP is a call."""

    def __init__(self, registry: Registry, door: FrontDoor, keeper: Keeper, time: Time, file: Path) -> None:
        self.registry, self.door, self.keeper, self.time, self.file = registry, door, keeper, time, file
        self.deaf = False
        keeper.hang_up = self.hang_up
        door.watchful.clock = door.watchful.heard_s = time

    def hang_up(self) -> None:
        if not self.deaf:
            self.door.reload(load({"PROXY_CONFIG": str(self.file)}))

    async def go(self, seconds: float = 0.0, heard: bool = True) -> int:
        """So much later, one renewal and two looks at the door; whether it serves, as a status."""
        self.time.now += seconds
        self.door.watchful.ticked_s = self.time.now  # it did not stand still
        if heard:
            await self.keeper.renew()
            await self.keeper.prepare()
        for _ in range(3):
            await self.keeper.steer()
        return self.door.health()[0]


@asynccontextmanager
async def kept(tmp_path: Path, check: str = "") -> AsyncIterator[Kept]:
    time, file = Time(), write_config(tmp_path)
    configured = load({"PROXY_CONFIG": str(file)})
    async with (
        keeping(tmp_path / "1.db", time) as registry,
        front_door(
            Backend(),
            settings=configured.settings,
            class_numbers=configured.class_numbers,
            plan_numbers=configured.plan_numbers,
            management=(HOST, 0),
        ) as (door, _),
    ):
        at = door.management.server.sockets[0].getsockname()
        agent = Agent(Store(tmp_path / "a.db", create=True), [address_of(registry)], 1, door=at)
        command = [sys.executable, "-c", check or "pass"]
        setup = Setup("door-0", "a", file, tmp_path / "pid", command)
        keeper = Keeper(agent, [address_of(registry)], at, setup, time)
        await settled(registry, time)
        keeper.began_s = time.now - AGENT_START_GRACE_S - 1
        await keeper.renew()  # it enters the list of doors
        yield Kept(registry, door, keeper, time, file)
        agent.store.close()


async def put(registry: Registry, name: str, text: str) -> None:
    value = json.dumps({"text": text}).encode()
    assert (await call(address_of(registry), f"POST /records/{name}", value))[0] == 200


def test_a_keeper_has_its_door_go_by_what_holds_and_switch_at_the_moment(tmp_path: Path) -> None:
    async def job() -> None:
        async with kept(tmp_path) as all_:
            door, keeper, first = all_.door, all_.keeper, decision_number(all_.registry)
            assert await all_.go() == 200 and door.config.policy.number == first
            await put(all_.registry, DOCUMENT_RECORD_PREFIX + DA, A)
            await decide(all_.registry, DA, "", first + 1)
            assert await all_.go(1.0) == 200  # told at once until when its policy holds
            told = door.config.policy
            assert told.digest == "" and told.number == first + 1
            assert told.until_us == pytest.approx((all_.time.now + 12.0 + SWITCH_MARGIN_S) * 1e6, abs=2e5)
            for _ in range(11):
                assert await all_.go(1.0) == 200 and door.config.policy.digest == ""
            assert await all_.go(1.1) == 200
            assert door.config.policy == Policy(first + 1, DA, AGENT_SILENCE_LIMIT_S)
            assert [plan.burst for plan in door.gateway.set.plans] == [20.0]
            base = json.loads(all_.file.read_text())["policy"]["base"]
            assert base["plans"][0]["burst"] == 10  # kept beside, to be laid over again
            # The list service is out of reach: by the lease and no longer.
            assert await all_.go(LEASE_S - 0.1, heard=False) == 200
            assert await all_.go(0.2, heard=False) == 503 and keeper.held_out == 1
            assert await all_.go(1.0) == 200
            write_config(tmp_path)  # somebody else puts another file in its place
            assert await all_.go() == 200 and keeper.managed()
            keeper.heard = replace(keeper.heard, number=first + 9)  # that list service lost what was decided
            assert await all_.go(LEASE_S + 0.1) == 503

    run(job())


def test_a_door_that_does_not_obey_is_held_out_and_one_that_cannot_be_told_hears_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("orchidhatch.policy.keeper.SWITCH_S", 0.0)

    async def job() -> None:
        async with kept(tmp_path) as all_:
            number = decision_number(all_.registry)
            await all_.go()
            await put(all_.registry, DOCUMENT_RECORD_PREFIX + DA, A)
            all_.deaf = True
            await decide(all_.registry, DA, "", number + 1, moveMs=0)
            assert await all_.go(0.1) == 503 and all_.keeper.stuck
            all_.deaf = False
            assert await all_.go(0.1) == 200
            agent, at = all_.keeper.server, all_.keeper.door
            all_.keeper.door = (HOST, 1)
            await all_.go(LEASE_S + 0.1, heard=False)
            assert agent.closed  # and so its door's watch ends, and it bars itself
            all_.keeper.door = at
            assert await all_.go() == 200 and not agent.closed

    run(job())


def test_a_document_is_checked_by_the_doors_own_program_before_it_counts_as_ready(tmp_path: Path) -> None:
    async def job() -> None:
        check = (
            "import json, os, sys; sys.exit('no stor' if json.load(open(os.environ['PROXY_CONFIG']))["
            "'settings']['plans'][0]['burst'] == 20 else 0)"
        )
        async with kept(tmp_path, check) as all_:
            await all_.go()
            for digest, text in ((DA, A),):
                await put(all_.registry, DOCUMENT_RECORD_PREFIX + digest, text)
            change = {"digest": DA, "state": "preparing", "done": False}
            await put(all_.registry, "task.policy", json.dumps(change))
            await all_.go()
            await all_.go()
            [door] = (await call(address_of(all_.registry), "GET /doors"))[1]["doors"]
            assert door["flaw"] == f"{DA} no stor" and door["ready"] == [] and door["has"] == ""
            await put(all_.registry, "task.policy", json.dumps({**change, "state": "nowhere", "done": True}))
            await all_.go()
            assert all_.keeper.flaw == ""  # whoever mends what was wrong may propose it again
            again = Keeper(
                all_.keeper.server,
                [address_of(all_.registry)],
                all_.keeper.door,
                all_.keeper.setup,
                all_.time,
            )  # started anew, from what is on its disk
            assert again.life == all_.keeper.life and again.heard.number == all_.keeper.heard.number
            assert again.documents == {DA: A} and again.may_serve() is None

    run(job())


def test_only_the_doors_own_process_is_signalled(tmp_path: Path) -> None:
    code = "import signal, sys; print(flush=True); signal.pause()"

    async def job() -> None:
        async with kept(tmp_path) as all_:
            hang_up = Keeper.hang_up
            for own in (False, True):
                env = {"PROXY_CONFIG": str(all_.file if own else tmp_path / "other.json")}
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-c", code, env=env, stdout=asyncio.subprocess.PIPE
                )
                await process.stdout.readline()
                all_.keeper.setup.pid.write_text(str(process.pid))
                hang_up(all_.keeper)
                if own:
                    assert await process.wait() == -signal.SIGHUP
                else:
                    process.kill()
                    assert await process.wait() == -signal.SIGKILL
            for odd in ("", "x", str(1 << 22)):
                all_.keeper.setup.pid.write_text(odd)
                hang_up(all_.keeper)  # nobody

    run(job())


def test_a_moment_is_narrowed_down_by_each_answer(tmp_path: Path) -> None:
    async def job() -> None:
        async with kept(tmp_path) as all_:
            keeper, time = all_.keeper, all_.time
            now = time.now
            told = {"sure": True, "number": 1 << 40, "digest": "", "before": "", "prepare": "", "want": ""}
            await keeper.hear({**told, "leftMs": 10_000}, now - 0.8)  # 9.2 to 10 s from now
            assert keeper.heard.moment_s() == pytest.approx(now + 9.6)
            time.now += 1
            await keeper.hear({**told, "leftMs": 8_900}, time.now - 0.1)  # 8.8 to 8.9 s from then
            assert keeper.heard.moment_s() == pytest.approx(now + 9.85)
            await keeper.hear({**told, "sure": False, "leftMs": None}, time.now)
            assert keeper.heard.moment_s() == pytest.approx(now + 9.85)
            assert ABSENT_AFTER_S > LEASE_S + AGENT_START_GRACE_S + AGENT_SILENCE_LIMIT_S

    run(job())
