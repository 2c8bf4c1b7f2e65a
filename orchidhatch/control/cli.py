"""The operators' command line for the list service.

    python -m orchidhatch.client --at 127.0.0.1:8500 list
    python -m orchidhatch.client --at 127.0.0.1:8500 register s-1 127.0.0.1:7001 --zone a --kind m2
    python -m orchidhatch.client --at 127.0.0.1:8500 drain s-1 --if-version V

Ends with 0 when it was done, 1 when the service said no or does not answer, 2 when the call makes no sense.
"""

import argparse
import http.client
import json
import sys
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote

from msgspec import Struct

from orchidhatch.control.controller import task_records as tasks

TIMEOUT_S = 10.0  # for an answer; the service ends a call after 5 s
MOST_DRAIN_S = 24 * 3600
SILENT_S = 6.0  # a watch has an empty line every 2 s


class CallError(Exception):
    """The service said no, or nothing that can be used; the text is one plain line."""


def connect(at: str, timeout_s: float) -> http.client.HTTPConnection:
    host, colon, port = at.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise CallError(f"'{at}' is not host:port")
    return http.client.HTTPConnection(host, int(port), timeout=timeout_s)


def reason(status: int, text: bytes) -> str:
    try:
        return f"no ({status}): {json.loads(text)['error']}"
    except (ValueError, KeyError, TypeError):
        return f"no ({status})"


def call(at: str, method: str, path: str, body: dict[str, Any] | None = None) -> Any:  # noqa: ANN401 - JSON
    connection = connect(at, TIMEOUT_S)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None)
        answer = connection.getresponse()
        text = answer.read()
        if answer.status != 200:
            raise CallError(reason(answer.status, text))
        return json.loads(text)
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise CallError(f"no answer from {at}: {error or type(error).__name__}") from error
    finally:
        connection.close()


def lines(at: str, after: int) -> Iterator[dict[str, Any]]:
    """What a watch tells, until the service ends it."""
    connection = connect(at, SILENT_S)
    try:
        connection.request("GET", f"/catalog/members?watch=1&after={after}")
        answer = connection.getresponse()
        if answer.status != 200:
            raise CallError(reason(answer.status, answer.read()))
        while line := answer.readline():
            if line.strip():
                yield json.loads(line)
        raise CallError(f"{at} ended the watch")
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise CallError(f"the watch on {at} broke off: {error or type(error).__name__}") from error
    finally:
        connection.close()


def shown(entry: dict[str, Any]) -> str:
    names = ("instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs")
    return "\t".join(str(entry.get(name, "-")) for name in (*names, "version", "life") if name in entry)


def show_news(news: dict[str, Any]) -> None:
    print(f"generation {news['generation']}, {'the whole list' if news['reset'] else 'changes'}:")
    for entry in news["instances"]:
        print(shown(entry))
    sys.stdout.flush()


def given(**values: object) -> dict[str, Any]:
    return {name: value for name, value in values.items() if value is not None}


def ask_for(at: str, name: str, task: Struct) -> None:
    """Of the stewards; asked for again, it begins anew."""
    done = call(
        at, "POST", f"/records/{tasks.TASK_RECORD_PREFIX}{name}", {"text": tasks.encode_task_record(task)}
    )
    print(f"asked for as {done['name']}, version {done['version']}")


def carry_out(options: argparse.Namespace) -> None:
    at, id_ = options.at, quote(getattr(options, "id", ""), safe="")
    match options.command:
        case "list":
            show_news(call(at, "GET", "/catalog/members"))
        case "watch":
            for news in lines(at, options.after):
                show_news(news)
        case "show":
            print(shown(call(at, "GET", f"/entries/{id_}")))
        case "register":
            body = given(
                instanceId=options.id,
                hostPort=options.address,
                zone=options.zone,
                machineType=options.kind,
                cell=options.cell,
                weight=options.weight,
                startedAtMs=options.started_ms,
                leaseMs=options.lease_ms,
                ifVersion=options.if_version,
            )
            print(shown(call(at, "POST", "/entries", body)))
        case "drain" if options.by:
            task = tasks.new_drain(options.id, round(options.by * 1000), tasks.DrainEnd(options.then))
            before = [
                one
                for one in call(at, "GET", "/records")["records"]
                if one["name"] == f"{tasks.TASK_RECORD_PREFIX}drain-{options.id}"
            ]
            if before and not json.loads(before[0]["text"])["done"]:
                raise CallError(f"{options.id} is being drained already; see tasks")
            done = call(
                at,
                "POST",
                f"/records/{tasks.TASK_RECORD_PREFIX}drain-{id_}",
                {"text": tasks.encode_task_record(task), "ifVersion": before[0]["version"] if before else 0},
            )
            print(f"asked for as {done['name']}, version {done['version']}")
        case "backup" if options.every:
            ask_for(at, options.command, tasks.new_backup(round(options.every * 1000)))
        case "summary" if options.every:
            ask_for(at, options.command, tasks.new_summary(round(options.every * 1000)))
        case "summary":
            task = json.loads(call(at, "GET", f"/records/{tasks.TASK_RECORD_PREFIX}summary")["text"])
            for name, value in task.get("fleet", {"": "not yet read"}).items():
                print(f"{name}\t{value}")
        case "leases" if options.ended_by == "stewards":
            ask_for(at, "leases", tasks.LeaseExpiryRecord())
        case "leases":
            call(at, "POST", f"/records/{tasks.TASK_RECORD_PREFIX}leases", {"text": ""})
            print("the list service ends them itself")
        case "backup":
            done = call(at, "POST", "/backup", {})
            print(f"{done['file']}: {done['entries']} entries, {done['claims']} claims, tried")
        case "tasks":
            for record in call(at, "GET", "/records")["records"]:
                print(f"{record['name']}\t{record['text']}")
        case "forget":
            call(at, "POST", f"/records/{id_}", {"text": ""})
            print(f"{options.id} is forgotten")
        case "owners":
            for claim in call(at, "GET", "/claims")["claims"]:
                print("\t".join(str(claim[key]) for key in ("name", "holder", "epoch", "to", "held", "why")))
        case "hand-over":
            claim = call(at, "GET", "/claims")["claims"]
            known = next((one for one in claim if one["name"] == options.id), None)
            if known is None or not known["holder"]:
                raise CallError(f"{options.id} is held by nobody")
            call(
                at,
                "POST",
                f"/claims/{id_}/give",
                {"to": options.to, **{name: known[name] for name in ("holder", "life", "epoch")}},
            )
            print(f"{options.id} goes from {known['holder']} to {options.to}")
        case "hold" | "let-go":
            call(at, "POST", f"/claims/{id_}/hold", {"on": options.command == "hold"})
            print(f"{options.id} is {'put aside' if options.command == 'hold' else 'free to be taken'}")
        case "drain" | "serve":
            lifecycle = "DRAINING" if options.command == "drain" else "SERVING"
            body = given(lifecycle=lifecycle, ifVersion=options.if_version)
            print(shown(call(at, "POST", f"/entries/{id_}/lifecycle", body)))
        case "renew":
            call(at, "POST", f"/entries/{id_}/renew", {"life": options.life})
            print(f"{options.id} goes on")
        case "promote":
            done = call(at, "POST", "/promote", {"force": options.force})
            print(
                f"term {done['term']}, generation {done['generation']}, {done['entries']} entries;"
                f" last heard {done['lagSeconds']:.1f} s ago, at generation {done['heardGeneration']}"
            )
        case "remove":
            print(shown(call(at, "DELETE", f"/entries/{id_}", given(ifVersion=options.if_version))))


def seconds(value: str) -> float:
    number, unit = value[:-1], {"s": 1, "m": 60, "h": 3600}.get(value[-1:])
    if not unit or not number.isdecimal() or not 0 < int(number) * unit <= MOST_DRAIN_S:
        raise argparse.ArgumentTypeError(f"'{value}' is no time as 90s, 10m or 2h, up to a day")
    return float(int(number) * unit)


def parser() -> argparse.ArgumentParser:
    whole = argparse.ArgumentParser(prog="orchidhatch.client", description=__doc__.partition("\n")[0])
    whole.add_argument("--at", required=True, metavar="HOST:PORT", help="the list service")
    commands = whole.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="the whole list")
    commands.add_parser("watch", help="the list, and its changes as they come").add_argument(
        "--after", type=int, default=0, metavar="GENERATION"
    )
    commands.add_parser("backup", help="a copy of the store").add_argument(
        "--every", type=seconds, metavar="TIME", help="have the stewards take one each time, as 10m or 6h"
    )
    commands.add_parser("summary", help="the fleet in a few lines, as last read").add_argument(
        "--every", type=seconds, metavar="TIME", help="have the stewards read it each time, as 30s"
    )
    commands.add_parser("leases", help="who ends those that run out").add_argument(
        "--ended-by", choices=("stewards", "service"), required=True
    )
    commands.add_parser("tasks", help="what the stewards are to do, and how far it is")
    commands.add_parser("owners", help="who owns what, by which epoch")
    commands.add_parser("promote", help="have a follower take the writes").add_argument(
        "--force", action="store_true", help="though the service that it follows still answers"
    )
    for name, text in (
        ("show", "one entry, with its version and life"),
        ("drain", "nothing new goes to it"),
        ("serve", "it may be used again"),
        ("remove", "take it off the list"),
        ("renew", "its lease begins anew"),
        ("register", "enter it, or enter it anew"),
        ("forget", "remove the record of a task"),
        ("hold", "have a claim left alone"),
        ("let-go", "have a claim taken again"),
        ("hand-over", "give a claim to another"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("id")
        if name in ("drain", "serve", "remove", "register"):
            command.add_argument("--if-version", type=int, help="only if it is at this one (0: not listed)")
        if name == "drain":
            command.add_argument(
                "--by",
                type=seconds,
                metavar="TIME",
                help="have the stewards end it after this long, as 90s or 10m",
            )
            command.add_argument("--then", choices=("remove", "back"), default="remove")
        if name == "hand-over":
            command.add_argument("to", help="the id of a steward")
        if name == "renew":
            command.add_argument("--life", type=int, required=True)
        if name == "register":
            command.add_argument("address", metavar="HOST:PORT")
            command.add_argument("--zone", required=True)
            command.add_argument("--kind", required=True)
            command.add_argument("--weight", type=float)
            for option in ("--cell", "--started-ms", "--lease-ms"):
                command.add_argument(option, type=int)
    return whole


def main() -> int:
    try:
        carry_out(parser().parse_args())
    except CallError as error:
        print(f"orchidhatch.client: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, BrokenPipeError):
        sys.stderr.close()  # who reads no more is told no more
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
