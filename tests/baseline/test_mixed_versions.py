"""Processes of this version and of 76db265 work together, whichever of them is the older one."""

import json
import os
import re
import shutil
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import hiredis
import pytest

from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage, SpentTotal
from orchidhatch.gateway.gossip_codec import pack_message
from tests.baseline.processes import (
    HOST,
    PROXY_MODULES,
    ROOT,
    Processes,
    ask,
    extract_baseline,
    free_port,
    until,
)

CUSTOMER = "00000000b4d65521"
POLICY = '[[plans]]\nname = "team"\nunits-per-s = 20.0\nburst = 40.0\n'


@pytest.fixture(scope="session")
def old_tree(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return extract_baseline(tmp_path_factory.mktemp("baseline"))


@pytest.fixture
def processes(tmp_path: Path, old_tree: Path) -> Iterator[Processes]:
    started = Processes(tmp_path, old_tree)
    yield started
    started.close()


def endpoint(name: str, port: int = 7001, **more: object) -> dict[str, object]:
    return {"instanceId": name, "hostPort": f"{HOST}:{port}", "zone": "a", "machineType": "m2", **more}


def listed(port: int) -> list[str]:
    status, value = ask(port, "GET", "/catalog/members")
    return sorted(one["instanceId"] for one in value["instances"]) if status == 200 else []


@pytest.mark.parametrize(
    ("first", "second", "agent"), [("old", "new", "old"), ("new", "old", "new"), ("old", "new", "new")]
)
def test_replica_of_another_version_is_promoted_and_goes_on(
    processes: Processes, first: str, second: str, agent: str
) -> None:
    one, two = free_port(), free_port()
    upstream = processes.start_registry(first, "1.db", one, "--create")
    assert ask(one, "POST", "/entries", endpoint("s-1", leaseMs=600_000))[0] == 200
    assert ask(one, "POST", "/entries", endpoint("s-2"))[0] == 200
    assert ask(one, "POST", "/entries/s-2/lifecycle", {"lifecycle": "DRAINING"})[0] == 200
    processes.start_registry(second, "2.db", two, "--create", "--follow", f"{HOST}:{one}")
    until(lambda: listed(two) == ["s-1", "s-2"])
    reader = processes.start_agent(agent, [one, two])
    until(lambda: listed(reader) == ["s-1", "s-2"])
    session = {"holder": "c-1", "life": "l-1", "leaseMs": 60_000}
    assert ask(one, "POST", "/sessions", session)[0] == 200
    taken = ask(one, "POST", "/claims/shard-01/take", {"holder": "c-1", "life": "l-1"})[1]
    processes.end(upstream)
    until(lambda: ask(two, "POST", "/promote", {})[0] == 200)
    assert ask(two, "GET", "/term") == (200, {"term": 2})
    life = ask(two, "GET", "/entries/s-1")[1]["life"]
    assert ask(two, "POST", "/entries/s-1/renew", {"life": life})[0] == 200
    assert ask(two, "GET", "/entries/s-2")[1]["lifecycle"] == "DRAINING"
    assert ask(two, "POST", "/entries", endpoint("s-3"))[0] == 200
    until(lambda: listed(reader) == ["s-1", "s-2", "s-3"])
    assert ask(two, "POST", "/sessions", session)[0] == 200
    again = ask(two, "POST", "/claims/shard-01/take", {"holder": "c-1", "life": "l-1"})[1]
    assert again["epoch"] > taken["epoch"]
    processes.start_registry(first, "1.db", one, "--peer", f"{HOST}:{two}")
    status, refused = ask(one, "POST", "/entries", endpoint("s-4"))
    assert status == 409 and "fenced" in refused["error"]


@pytest.mark.parametrize(("before", "after"), [("old", "new"), ("new", "old")])
def test_store_of_one_version_is_opened_by_the_other(processes: Processes, before: str, after: str) -> None:
    port = free_port()
    process = processes.start_registry(before, "list.db", port, "--create")
    assert ask(port, "POST", "/entries", endpoint("s-1", leaseMs=600_000))[0] == 200
    assert ask(port, "POST", "/records/task.x", {"text": "{}"})[0] == 200
    assert ask(port, "POST", "/sessions", {"holder": "c", "life": "l", "leaseMs": 600_000})[0] == 200
    assert ask(port, "POST", "/claims/shard-02/take", {"holder": "c", "life": "l"})[0] == 200
    paths = ("/catalog/members", "/entries/s-1", "/claims", "/records", "/doors", "/policy")
    answers = {path: ask(port, "GET", path) for path in paths}
    processes.end(process)
    processes.start_registry(after, "list.db", port)
    assert {path: ask(port, "GET", path) for path in paths} == answers


class Deployment:
    """A registry, an agent, a controller and a gateway, each of a version of its own."""

    def __init__(
        self, processes: Processes, registry: str, agent: str, controller: str, gateway: str
    ) -> None:
        self.processes, self.controller = processes, controller
        self.registry, self.management, self.clients = free_port(), free_port(), free_port()
        processes.start_registry(registry, "list.db", self.registry, "--create")
        assert ask(self.registry, "POST", "/entries", endpoint("s-1"))[0] == 200
        folder = processes.folder
        module = PROXY_MODULES[gateway]
        check = f"/usr/bin/env -C {processes.trees[gateway]} {sys.executable} -m {module} --check"
        setup = ["--name", "fd-0", "--zone", "a", "--config", folder / "config.json", "--pid", folder / "pid"]
        door = ["--door", f"{HOST}:{self.management}"]
        self.agent = processes.start_agent(agent, [self.registry], *door, *setup, "--check", check)
        config = {
            "name": "fd-0",
            "listen": f"{HOST}:{self.clients}",
            "discovery": f"{HOST}:{self.agent}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": None,
            "settings": {
                "me": 0,
                "balancers": 1,
                "zones": ["a"],
                "kinds": ["m2"],
                "plans": [{"name": "team", "units-per-s": 10, "burst": 10}],
                "categories": [{"name": "read", "on-time-us": 750_000, "deadline-us": 2_000_000}],
            },
        }
        (folder / "config.json").write_text(json.dumps(config))
        env = os.environ | {
            "PROXY_CONFIG": str(folder / "config.json"),
            "PROXY_MANAGEMENT": f"{HOST}:{self.management}",
        }
        process = processes.start(gateway, module, env=env)
        (folder / "pid").write_text(str(process.pid))
        words = ("--id", "c-1", "--registry", f"{HOST}:{self.registry}", "--agent", f"{HOST}:{self.agent}")
        processes.start(controller, "orchidhatch.steward", *words)

    def task(self, name: str) -> dict[str, Any]:
        status, value = ask(self.registry, "GET", f"/records/{name}")
        return json.loads(value["text"]) if status == 200 else {}

    def health(self) -> tuple[int, str]:
        status, text = ask(self.management, "GET", "/healthcheck")
        return status, str(text)


@pytest.mark.parametrize(
    ("registry", "agent", "controller", "gateway"),
    [("old", "new", "new", "new"), ("new", "old", "new", "old"), ("new", "new", "old", "old")],
)
def test_drain_and_policy_change_go_through_with_versions_mixed(
    processes: Processes, tmp_path: Path, registry: str, agent: str, controller: str, gateway: str
) -> None:
    fleet = Deployment(processes, registry, agent, controller, gateway)
    at = ("--at", f"{HOST}:{fleet.registry}")
    until(lambda: re.search(r"policy [1-9][0-9]* -", fleet.health()[1]) and fleet.health()[0] == 200)
    processes.run(controller, "orchidhatch.client", *at, "drain", "s-1", "--by", "1s")
    until(lambda: ask(fleet.registry, "GET", "/entries/s-1")[0] == 404)
    drained = until(lambda: (task := fleet.task("task.drain-s-1"))["done"] and task)
    assert (drained["state"], drained["told"]) == ("removed", "")
    (tmp_path / "policy.toml").write_text(POLICY)
    propose = ("propose", tmp_path / "policy.toml", "--why", "team may have more")
    processes.run(controller, "orchidhatch.policy", *at, *propose)
    changed = until(lambda: (task := fleet.task("task.policy")).get("done") and task)
    assert (changed["state"], changed["told"]) == ("in force", "")
    status, text = fleet.health()
    assert status == 200 and changed["digest"] in text
    settings = json.loads((tmp_path / "config.json").read_text())["settings"]
    assert [plan["units-per-s"] for plan in settings["plans"]] == [20.0]


def request_bytes(name: str) -> bytes:
    words = [b"SVC.QUERY", CUSTOMER.encode(), name.encode(), b"c=read,t=team,d=2000"]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def answer_on(connection: socket.socket) -> object:
    parser = hiredis.Reader(notEnoughData=Ellipsis)
    while (reply := parser.gets()) is Ellipsis:
        data = connection.recv(1 << 16)
        assert data, "the gateway closed the connection"
        parser.feed(data)
    return reply


@pytest.mark.parametrize(("before", "after"), [("old", "new"), ("new", "old")])
def test_gateway_hands_over_to_one_of_another_version(
    processes: Processes, tmp_path: Path, before: str, after: str
) -> None:
    with socket.create_server((HOST, 0)) as listening, socket.create_server((HOST, 0)) as backend:
        known = {"generation": 1, "reset": True, "instances": [endpoint("s-1", backend.getsockname()[1])]}
        config = {
            "name": "fd-0",
            "listen": "{}:{}".format(*listening.getsockname()),
            "discovery": f"{HOST}:1",
            "seed": "1",
            "known": known | {"instances": [known["instances"][0] | {"lifecycle": "SERVING"}]},
            "settings": {
                "me": 0,
                "balancers": 1,
                "zones": ["a"],
                "kinds": ["m2"],
                "plans": [{"name": "team", "units-per-s": 10, "burst": 10}],
                "categories": [{"name": "read", "on-time-us": 750_000, "deadline-us": 2_000_000}],
            },
        }
        (tmp_path / "config.json").write_text(json.dumps(config))

        def start(version: str) -> tuple[subprocess.Popen[bytes], int]:
            management = free_port()
            env = os.environ | {
                "PROXY_CONFIG": str(tmp_path / "config.json"),
                "PROXY_MANAGEMENT": f"{HOST}:{management}",
                "PROXY_SOCKET_FD": str(listening.fileno()),
                "TMPDIR": str(tmp_path),
            }
            process = processes.start(version, PROXY_MODULES[version], env=env, pass_fds=[listening.fileno()])
            until(lambda: ask(management, "GET", "/healthcheck")[0] == 200)
            return process, management

        first, old_management = start(before)
        client = socket.create_connection(listening.getsockname(), 30.0)
        client.sendall(request_bytes("a1"))
        to_backend, _ = backend.accept()
        assert to_backend.recv(1 << 16)
        assert ask(old_management, "POST", "/backends/s-1/maint")[0] == 200
        _, management = start(after)
        to_backend.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
        assert answer_on(client) == b"ok"
        processes.end(first)
        refused = socket.create_connection(listening.getsockname(), 30.0)
        refused.sendall(request_bytes("a2"))  # the only backend was left out at the process before
        assert str(answer_on(refused)).startswith("BUSY")
        assert ask(management, "POST", "/backends/s-1/ready")[0] == 200


READ_DATAGRAM = """
import json, sys
from fennelwinch.codec import unpack_message
words, sightings = unpack_message(bytes.fromhex(sys.argv[1]))
read = [[word.customer, word.is_answer, word.demand, word.spent, word.asked, word.level] for word in words]
print(json.dumps([read, [[seen.server, seen.class_index] for seen in sightings]]))
"""


def test_old_gateway_reads_reports_with_totals_as_without(old_tree: Path) -> None:
    """Guards against totals of spent units that a gateway of the old version drops, or learns from."""
    messages = [
        GossipMessage(5, 0, 0, 3, is_answer=True, demand=1.0, level=7.0),
        GossipMessage(6, 1, 0, 3, demand=2.0, spent=3.0, spent_total=SpentTotal(9, 4, 100.0, 7_000)),
        GossipMessage(7, 2, 0, 3, spent=-1.0, requested=2.0, spent_total=SpentTotal(9, 5, 0.5, 0)),
    ]
    observations = [AttemptObservation(11, 1, True, 0.5)]
    [datagram] = pack_message(messages, observations)
    output = subprocess.run(
        [sys.executable, "-c", READ_DATAGRAM, datagram.hex()],
        cwd=old_tree,
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    words, sightings = json.loads(output)
    assert words == [
        [one.customer, one.is_answer, one.demand, one.spent, one.requested, one.level] for one in messages
    ]
    settings_classes = 100
    assert [seen for seen in sightings if seen[1] < settings_classes] == [[11, 1]]


def test_the_old_version_is_not_the_new_one(old_tree: Path) -> None:
    """That the tests above compare two versions."""
    assert (old_tree / "molereach").is_dir() and not (ROOT / "molereach").exists()
    assert shutil.which("git")
