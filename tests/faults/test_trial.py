"""Trials: their scripts, the relay on the ways, what the checks say, and whole trials of real processes."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.faults import load
from orchidhatch.faults import plan as forms
from orchidhatch.faults.events import Recorder, gather, read
from orchidhatch.faults.invariants.check_trial import check_trial
from orchidhatch.faults.links import Datagrams, TcpRelay, Way
from orchidhatch.faults.tap import Tap
from tests.sockets import HOST, run

ROOT = Path(__file__).parents[2]
SMALL = ROOT / "trials/small.toml"
MS = 1_000_000


# --- scripts ---


@given(st.integers(0, 2**64))
def test_a_seed_gives_the_same_faults_and_arrivals_and_others_give_others(seed: int) -> None:
    plan = forms.read_plan(ROOT / "trials/words.toml")
    one = forms.draw(plan, seed)
    assert one == forms.draw(plan, seed) != forms.draw(plan, seed + 1)
    assert len(one.faults) == len(plan.faults) + plan.chance.count
    assert [fault.at for fault in one.faults] == sorted(fault.at for fault in one.faults)
    assert msgspec.json.decode(msgspec.json.encode(one), type=forms.Script) == one
    for fault in one.faults:
        names = plan.ways() if fault.kind in forms.WAY_KINDS else plan.processes()
        assert forms.matching(fault.who, names)
    some = msgspec.structs.replace(plan.load, customers=plan.load.customers[1:])
    asks = load.arrivals(some, 2.0, plan.doors, seed)
    assert asks == load.arrivals(some, 2.0, plan.doors, seed)
    assert len({ask.id for ask in asks}) == len(asks)
    assert all((ask.door - ask.first) % plan.doors < ask.spread for ask in asks)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ("doors = 30", "40 that fit"),
        ("doors = nan", "doors"),
        ("wheels = 4", "wheels"),
        ("seconds = -1.0", "seconds"),
        ("seconds = nan", "seconds"),
        ("seconds = inf", "seconds"),
        ('faults = [{at=1.0, kind="kill", who="door-7"}]', "door-7"),
        ("registries = 0", "registries"),
        ('faults = [{at=1.0, kind="cut", who="door-0"}]', "there is none"),
        ("faults = [{at=1.0}]", "faults"),
        ('faults = [{at=1.0, kind="burn", who="door-0"}]', "burn"),
        ("chance = {count = 3}", "no kind"),
        ("load = {customers = [{plan='a', spread = 3}]}", "larger than the 2 doors"),
        ("seconds", "after a key"),
    ],
)
def test_a_plan_that_cannot_be_is_refused_by_a_line_that_says_why(
    tmp_path: Path, change: str, why: str
) -> None:
    values = {"name": '"x"', "seconds": "5.0", "doors": "2"}
    values.pop(change.partition(" ")[0], None)
    path = tmp_path / "x.toml"
    path.write_text("\n".join(f"{key} = {value}" for key, value in values.items()) + f"\n{change}\n")
    with pytest.raises(forms.PlanError) as caught:
        forms.read_plan(path)
    assert why in str(caught.value) and "\n" not in str(caught.value)


# --- the relay ---


class Line:
    """A way to a service that echoes each line, with a connection over it."""

    def __init__(self, folder: Path) -> None:
        self.recorder = Recorder("test", folder)
        self.way = Way("a>b", self.recorder, random.Random(1))
        self.heard: list[bytes] = []

    async def start(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError):
                while line := await reader.readline():
                    self.heard.append(line)
                    writer.write(line)
            writer.close()

        self.server = await asyncio.start_server(echo, HOST, 0)
        self.relay = TcpRelay(self.way, self.server.sockets[0].getsockname())
        self.at = await self.relay.start(HOST)
        self.reader, self.writer = await asyncio.open_connection(*self.at)
        assert await self.echo(b"one\n") == b"one\n"

    async def echo(self, line: bytes) -> bytes:
        self.writer.write(line)
        return await self.reader.readline()

    def close(self) -> None:
        self.relay.close()
        self.server.close()
        self.writer.close()
        self.recorder.close()


def on_a_line(folder: Path, job: Callable[[Line], object]) -> None:
    async def whole() -> None:
        line = Line(folder)
        await line.start()
        await job(line)
        line.close()

    run(whole())


@pytest.mark.parametrize(("which", "heard"), [("there", [b"one\n"]), ("back", [b"one\n", b"two\n"])])
def test_a_direction_that_is_closed_keeps_what_comes_and_delivers_it_afterwards(
    tmp_path: Path, which: str, heard: list[bytes]
) -> None:
    async def job(line: Line) -> None:
        for direction in line.way.directions(which):
            direction.closed = True
        line.writer.write(b"two\n")
        other = Line(tmp_path)  # what goes over another way shows that time went by
        await other.start()
        while len(line.heard) < len(heard):
            await other.echo(b"x\n")
        assert line.heard == heard
        line.writer.write(b"three\n")
        for direction in line.way.directions(which):
            direction.closed = False
        line.way.opened()
        assert [await line.reader.readline(), await line.reader.readline()] == [b"two\n", b"three\n"]
        other.close()

    on_a_line(tmp_path, job)


def test_a_connection_begun_over_a_cut_is_reset_once_the_way_is_whole(tmp_path: Path) -> None:
    async def job(line: Line) -> None:
        line.way.cut = line.way.there.closed = line.way.back.closed = True
        reader, writer = await asyncio.open_connection(*line.at)
        writer.write(b"new\n")
        line.writer.write(b"old\n")
        line.way.cut = line.way.there.closed = line.way.back.closed = False
        line.way.opened()
        with pytest.raises(ConnectionResetError):
            await reader.readline()
        assert await line.reader.readline() == b"old\n" and b"new\n" not in line.heard

    on_a_line(tmp_path, job)


def test_an_answer_is_broken_in_its_middle_and_the_next_connection_is_whole(tmp_path: Path) -> None:
    async def job(line: Line) -> None:
        line.way.break_next = True
        line.writer.write(b"1234567\n")
        with pytest.raises(ConnectionResetError):
            while await line.reader.read(100) != b"":
                pass
        line.reader, line.writer = await asyncio.open_connection(*line.at)
        assert await line.echo(b"again\n") == b"again\n"

    on_a_line(tmp_path, job)


def test_whom_a_way_leads_to_is_gone_so_connections_are_refused_until_it_is_back(tmp_path: Path) -> None:
    async def job(line: Line) -> None:
        line.relay.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*line.at)
        line.relay.listen_again()
        await line.relay.task
        line.reader, line.writer = await asyncio.open_connection(*line.at)
        assert await line.echo(b"again\n") == b"again\n"

    on_a_line(tmp_path, job)


def test_datagrams_are_lost_doubled_turned_round_and_held(tmp_path: Path) -> None:
    async def job() -> None:
        loop, recorder = asyncio.get_running_loop(), Recorder("test", tmp_path)
        got: asyncio.Queue[bytes] = asyncio.Queue()

        class Sink(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
                got.put_nowait(data)

        sink, _ = await loop.create_datagram_endpoint(Sink, local_addr=(HOST, 0))
        way = Way("a>b", recorder, random.Random(1))
        one, two = Datagrams(way), Datagrams(Way("b>a", recorder, random.Random(1)))
        for here in (one, two):
            await loop.create_datagram_endpoint(lambda here=here: here, local_addr=(HOST, 0))
        one.opposite, one.to = two, sink.get_extra_info("sockname")

        async def after(*sent: bytes) -> list[bytes]:
            """What arrives of them, up to a mark that is sent over the whole way."""
            for data in sent:
                one.take(data)
            kept, way.there, way.cut = (way.there, way.cut), Way("", recorder, random.Random()).there, False
            one.take(b"mark")
            way.there, way.cut = kept
            found = []
            while (data := await got.get()) != b"mark":
                found.append(data)
            return found

        assert await after(b"1", b"2") == [b"1", b"2"]
        way.there.loss = 1.0
        assert await after(b"1") == []
        way.there.loss, way.there.double = 0.0, 1.0
        assert await after(b"1") == [b"1", b"1"]
        way.there.double, way.there.turn = 0.0, 1.0
        assert await after(b"1", b"2") == [b"2", b"1"]
        way.there.turn, way.there.closed = 0.0, True
        assert await after(b"1") == []
        way.there.closed = False
        one.go_on()
        assert await after() == [b"1"]
        way.cut = True
        assert await after(b"1") == []
        for transport in (sink, one.transport, two.transport):
            transport.close()
        recorder.close()

    run(job())


@given(st.lists(st.integers(0, 400), max_size=8))
def test_the_list_is_the_same_however_its_bytes_come(cuts: list[int]) -> None:
    noted = []

    class Notes:
        def note(self, what: str, about: str, **told: object) -> None:
            noted.append((about, told))

    line = (
        json.dumps(
            {
                "generation": 7,
                "reset": True,
                "instances": [
                    {"instanceId": "b-1", "hostPort": "127.101.100.101:7001", "lifecycle": "SERVING"},
                    {"instanceId": "b-2", "hostPort": "127.101.100.102:7002", "lifecycle": "DRAINING"},
                ],
            },
            separators=(",", ":"),
        ).encode()
        + b"\n"
    )
    data = b"HTTP/1.1 200 OK\r\n\r\n" + b"%x\r\n%b\r\n" % (len(line), line) + b"1\r\n\n\r\n"
    tap = Tap(Notes(), "door-3", b"127.101.100.", b"127.101.104.")
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    passed = b"".join(tap(data[a:b]) for a, b in itertools.pairwise(edges))
    assert passed == data.replace(b"127.101.100.", b"127.101.104.") and len(passed) == len(data)
    assert noted == [
        ("door-3", {"generation": 7, "reset": True, "states": {"SERVING": ["b-1"], "DRAINING": ["b-2"]}})
    ]


# --- the checks, on events made by hand ---

Told = tuple[int, str, str, str, dict[str, object]]


def ask(at: int = 0, door: int = 0, id_: str = "r", plan: str = "wide") -> Told:
    told = {"door": door, "customer": "c", "plan": plan, "late_us": 100, "tries": 0}
    return at, "clients", "ask", id_, told


def end(at: int, how: str = "served", text: str = "b:r", id_: str = "r") -> Told:
    return at, "clients", "end", id_, {"how": how, "text": text}


def attempt(at: int, over: int, port: int = 9, id_: str = "r") -> list[Told]:
    return [
        (at - 1, "trial", "opened", "door-0>backend-0", {"port": port}),
        (at, "backend-0", "attempt", id_, {"backend": "b-0", "port": port, "customer": "c"}),
        (over, "backend-0", "over", id_, {"backend": "b-0", "port": port, "how": "served"}),
    ]


def fault(at: int, until: int, about: str, kind: str) -> list[Told]:
    return [(at, "trial", "fault", about, {"kind": kind}), (until, "trial", "undone", about, {"kind": kind})]


def news(at: int, generation: int = 1, **states: list[str]) -> Told:
    return at, "trial", "news", "door-0", {"generation": generation, "reset": False, "states": states}


def written(at: int, until: int, term: int, status: int = 200) -> list[Told]:
    return [
        (at, "trial", "write", "w-1 0", {"at": "registry-0", "id": "w-1", "method": "POST", "value": {}}),
        (
            until,
            "trial",
            "answer",
            "w-1 0",
            {"at": "registry-0", "id": "w-1", "status": status, "store": f"x {term}", "told": {}},
        ),
    ]


def listed(term: int, *ids: str) -> Told:
    told = {"store": f"x {term}", "listed": dict.fromkeys(ids, "SERVING")}
    return 9000, "trial", "list", "registry-0", told


def owned(epoch: int, life: str) -> list[Told]:
    return [(10, "trial", "claim", "x", {"holder": life, "life": life, "epoch": epoch, "held": False})]


def acted(epoch: int, number: int) -> list[Told]:
    return [
        (
            10,
            "trial",
            "effect",
            "door-0",
            {"claim": "x", "epoch": epoch, "act": "POST", "on": "b", "number": number},
        )
    ]


def kept(state: str, at: int) -> list[Told]:
    return [
        (
            at,
            "registry-0",
            "effect",
            "registry-0",
            {
                "claim": "x",
                "epoch": 1,
                "act": "putrecord",
                "on": "task.drain-b",
                "text": json.dumps({"state": state}),
            },
        )
    ]


LIVE = [(0, "trial", "serves", "b-0", {})]
PROMOTED = [(1000, "trial", "promote", "registry-1", {"status": 200, "told": {}})]
THRICE = [
    told
    for n, id_ in enumerate(("r0", "r1", "r2"))
    for told in [
        ask(n, 0, id_, "narrow"),
        end(900, "served", f"b:{id_}", id_),
        *attempt(100 + n, 900, 9 + n, id_),
    ]
]
PORT = {"port": 9}
DRAINED = [ask(800), end(900), news(100, DRAINING=["b-0"])]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([ask(), end(50), *attempt(10, 40)], ""),
        ([ask(), end(50, text="b:other")], "answers"),
        ([ask(), end(50), end(60)], "answers"),
        ([ask()], "answers"),
        ([ask(), *fault(10, 9500, "door-0", "stop")], ""),
        ([ask(), end(2700)], "answers"),
        ([ask(), end(2700), *fault(100, 2600, "door-0", "stop")], ""),
        ([ask(), end(50, "closed", "")], "answers"),
        ([ask(), end(50, "closed", ""), (49, "trial", "exit", "door-0", {"code": -9, "meant": True})], ""),
        ([ask(), end(50), (60, "clients", "surplus", "door-0", {"reply": "x"})], "answers"),
        ([ask(), end(900), *attempt(10, 400), *attempt(390, 800, 10)], ""),  # within what sockets are wider
        ([ask(), end(900), *attempt(10, 400), *attempt(300, 800, 10)], "attempts"),
        (
            [
                ask(),
                end(900),
                *attempt(10, 400),
                *attempt(300, 800, 10),
                (290, "trial", "left", "door-0>backend-0", PORT),
            ],
            "",
        ),  # the door had left the first by then
        ([ask(), end(900), *[told for n in range(4) for told in attempt(99 * n, 90 + 99 * n, n)]], ""),
        (
            [ask(), end(900), *[told for n in range(5) for told in attempt(99 * n, 90 + 99 * n, n)]],
            "attempts",
        ),
        ([*DRAINED, *attempt(390, 395)], ""),
        ([*DRAINED, *attempt(410, 450)], "drains"),
        ([*DRAINED, news(405, SERVING=["b-0"]), *attempt(410, 450)], ""),
        ([*DRAINED, news(405, DELETED=["b-0"]), *attempt(410, 450)], "drains"),
        ([*DRAINED, *attempt(410, 450), *fault(150, 400, "door-0", "stop")], ""),
        (THRICE, "caps"),
        ([told for told in THRICE if told[3] != "r2"], ""),
        ([news(10, 5), news(20, 5), news(30, 6)], ""),
        ([news(10, 5), news(20, 4)], "generations"),
        ([*written(10, 20, 1), listed(1, "w-1")], ""),
        ([*written(10, 20, 1), listed(1)], "writes"),
        ([*written(10, 20, 1, status=503), listed(1)], ""),
        ([*written(10, 20, 1), *PROMOTED, listed(2)], ""),  # the follower may not have heard it
        ([*written(10, 1500, 1), *PROMOTED, listed(2)], "writes"),
        ([*written(10, 1500, 2), *PROMOTED, listed(2)], "writes"),
        ([*owned(1, "a"), *owned(2, "b")], ""),
        ([*owned(2, "a"), *owned(1, "b")], "owners"),
        ([*owned(1, "a"), *owned(1, "b")], "owners"),
        ([*acted(1, 5), *acted(2, 6)], ""),
        ([*acted(2, 5), *acted(1, 6)], "effects"),
        ([*acted(1, 6), *acted(1, 5)], "effects"),
        ([*kept("out", 1), *kept("marked", 2)], "effects"),
        ([*kept("back", 1), *kept("asked", 2)], ""),  # it was over, and asked for again
        ([(10, "trial", "exit", "agent-0", {"code": 1, "meant": False})], "exits"),
        ([(10, "backend-0", "syntax", "b-0", {"words": "?"})], "forms"),
    ],
)
def test_a_check_finds_its_break_and_excuses_what_a_fault_did(
    tmp_path: Path, events: list[Told], broken: str
) -> None:
    """Times are given in ms; the plan has a customer with an open cap of 2."""
    lines = [[at * MS, *rest] for at, *rest in [*LIVE, (9999, "trial", "ends", "trial", {}), *events]]
    (tmp_path / "x.events").write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))
    narrow = forms.Customers(plan="narrow", max_out=2)
    plan = forms.Plan(name="x", seconds=1.0, load=forms.Load(customers=[narrow]))
    verdict, _ = check_trial(gather(tmp_path, tmp_path / "x.db"), plan)
    assert {one.check for one in verdict.violations} == ({broken} if broken else set())
    assert not verdict.too_slow


# --- whole trials ---


async def trial(*words: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidhatch.trial",
        *words,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


@pytest.mark.parametrize(
    ("plan", "plants"),
    [
        (
            "small",
            {"": "held", "ignores-drain": "drains:", "two-answers": "answers:", "overlap": "attempts:"},
        ),
        # A door that says yes to SIGHUP and goes on as before is held out by its agent.
        ("switch", {"": "held", "deaf-door": "door-1: does not serve by the last policy"}),
    ],
)
def test_the_program_holds_and_planted_defects_are_found(
    plan: str, plants: dict[str, str], tmp_path: Path
) -> None:
    """A machine that is too slow may leave it unsaid, and then it is neither held nor broken."""

    async def one(plant: str) -> tuple[int, str]:
        more = ["--plant", plant] if plant else []
        process = await trial("run", plan, "--seed", "1", "--keep", str(tmp_path / f"x{plant}"), *more)
        out, err = await process.communicate()
        return process.returncode, (out + err).decode()

    async def job() -> None:
        found = await asyncio.gather(*map(one, plants))
        for (plant, word), (status, text) in zip(plants.items(), found, strict=True):
            assert status in (int(bool(plant)), 3), text
            assert status == 3 or word in text, text

    run(job(), 120)


def test_nothing_is_left_of_a_trial_that_is_killed(tmp_path: Path) -> None:
    def started() -> list[int]:
        return [event.told["pid"] for event in read(tmp_path) if event.what == "start"]

    def live(pid: int) -> bool:
        with contextlib.suppress(OSError):
            return str(tmp_path) in Path(f"/proc/{pid}/cmdline").read_text()
        return False

    async def job() -> None:
        process = await trial("run", "small", "--seed", "1", "--keep", str(tmp_path))
        while len(started()) < 8:
            await asyncio.sleep(0.01)
        pids = started()
        os.kill(pids[0], signal.SIGSTOP)  # a stopped one, too
        process.kill()
        await process.wait()
        while any(map(live, pids)):
            await asyncio.sleep(0.01)

    run(job())


def test_wrong_calls_end_with_2_and_a_line(tmp_path: Path) -> None:
    async def job() -> None:
        for words in (
            ("run", "nowhere", "--seed", "1"),
            ("again", str(SMALL)),
            ("run", "small", "--seed", "1", "--keep", str(ROOT)),
        ):
            process = await trial(*words)
            _, err = await process.communicate()
            assert process.returncode == 2
            assert err.startswith(b"orchidhatch.trial: ") and err.count(b"\n") == 1

    run(job())
