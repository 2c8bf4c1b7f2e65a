"""Policies: plans, quotas, caps, ceilings, aims and who is banned, one document for all front doors.

    python -m orchidhatch.policy check policy.toml
    python -m orchidhatch.policy --at 127.0.0.1:8500 propose policy.toml --why "stor may have more"
    python -m orchidhatch.policy --at 127.0.0.1:8500 show

Ends with 0 when it was done, 1 when the service said no or does not answer, 2 when the document or the call
makes no sense.
"""

import argparse
import getpass
import json
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from orchidhatch.control.cli_arguments import parse_duration_s
from orchidhatch.control.operator_client import CallError, call
from orchidhatch.control.ownership.claims import EPOCH_COUNT_BITS
from orchidhatch.control.policy.change import Gate, ask, change_of, out_of_service
from orchidhatch.control.policy.document import (
    InvalidPolicyError,
    Policy,
    check_after,
    differences,
    parse_document,
    read_document_file,
)
from orchidhatch.control.policy.leases import OPEN
from orchidhatch.control.policy.records import (
    CHANGE_TASK_RECORD,
    DOCUMENT_RECORD_PREFIX,
    HISTORY_RECORD_PREFIX,
)

LOOK_S = 0.5
MOST_WAIT_S = 300.0


def shown_number(number: int) -> str:
    """A decision's: the term, and the count in it."""
    return f"{number >> EPOCH_COUNT_BITS}.{number & ((1 << EPOCH_COUNT_BITS) - 1)}"


def outcome(found: dict[str, Any]) -> str:
    return f"{found['state']}: {found['told']}" if found.get("told") else str(found["state"])


def fleet(at: str) -> dict[str, Any]:
    return call(at, "GET", "/doors")


def document(at: str, digest: str) -> Policy | None:
    """None where the doors go by their own files."""
    if not digest:
        return None
    return parse_document(call(at, "GET", f"/records/{DOCUMENT_RECORD_PREFIX}{digest}")["text"], digest)


def in_force(at: str) -> tuple[str, Policy | None]:
    now = fleet(at)["now"]
    return now.get("digest", ""), document(at, now.get("digest", ""))


def plain(policy: Policy | None) -> dict[str, Any]:
    return msgspec.to_builtins(policy) if policy else {}


def show_differences(before: Policy | None, after: Policy) -> None:
    if not before:
        print("the doors go by their own files so far")
        return
    for line in differences(plain(before), plain(after)):
        print(line)


def put_down(at: str, digest: str, options: argparse.Namespace, gate: Gate | None) -> None:
    """Ask for the change, unless one is open; then follow it, if that is wanted."""
    found, version = change_of(call(at, "GET", "/records")["records"])
    if found and not found["done"]:
        raise CallError(f"{found['digest']} is being put in force already: {found['state']}; see show")
    task = ask(digest, options.by, options.why, gate, options.force)
    call(at, "POST", f"/records/{CHANGE_TASK_RECORD}", {"text": json.dumps(task), "ifVersion": version})
    print(f"asked for: {digest}")
    until = time.monotonic() + MOST_WAIT_S
    while options.wait and time.monotonic() < until:
        found, _ = change_of(call(at, "GET", "/records")["records"])
        if found.get("id") != task["id"] and not found.get("undoes"):
            raise CallError("another change was asked for since")
        if found["done"]:
            print(outcome(found))
            if found["state"] != "in force":
                raise CallError("it is not in force")
            return
        time.sleep(LOOK_S)


def propose(at: str, options: argparse.Namespace) -> None:
    policy = read_document_file(options.file)
    _, before = in_force(at)
    check_after(policy, before, options.file.name)
    doors = fleet(at)["doors"]
    show_differences(before, policy)
    absent = [door["name"] for door in doors if door["state"] == "absent"]
    print(f"{len(doors)} doors, absent: {', '.join(absent) or 'none'}")
    if (most := out_of_service(doors)) and not options.force:
        raise CallError(f"{most}; --force does it all the same")
    gate = Gate(for_ms=round(options.gate * 1000)) if options.gate else None
    digest = policy.digest()
    call(at, "POST", f"/records/{DOCUMENT_RECORD_PREFIX}{digest}", {"text": policy.text()})
    put_down(at, digest, options, gate)


def undo(at: str, options: argparse.Namespace) -> None:
    """A new change to what held before: all doors have its document still."""
    now = fleet(at)["now"]
    if not now or now["digest"] == now["before"]:
        raise CallError("nothing was changed that could be undone")
    if not now["before"]:
        raise CallError("the doors went by their own files before; propose a document that says the same")
    put_down(at, now["before"], options, None)


def drop(at: str) -> None:
    found, version = change_of(call(at, "GET", "/records")["records"])
    if not found or found["done"] or found["state"] not in OPEN[:2]:
        raise CallError("there is no change that could still be dropped")
    call(
        at,
        "POST",
        f"/records/{CHANGE_TASK_RECORD}",
        {"text": json.dumps({**found, "dropped": True}), "ifVersion": version},
    )
    print(f"asked to drop {found['digest']}")


def show(at: str) -> None:
    known = fleet(at)
    now = known["now"]
    if not known["sure"]:
        print("not known in this term yet: waits for the doors to tell what they go by")
    if now:
        print(f"{shown_number(now['number'])}\t{now['digest'] or '-'}\t{now['who']}\t{now['why']}")
        if known["leftMs"] is None or known["leftMs"] > 0:
            left = "a moment not known yet" if known["leftMs"] is None else f"{known['leftMs'] / 1000:.1f} s"
            print(f"doors go by it in {left}, and by {now['before'] or '-'} until then")
        if now["absent"]:
            print(f"absent when it was decided: {', '.join(now['absent'])}")
    found, _ = change_of(call(at, "GET", "/records")["records"])
    if found:
        print(f"last change: {found['digest']}: {outcome(found)}")
    for door in known["doors"]:
        print(
            "\t".join(
                [
                    door["name"],
                    door["zone"],
                    door["state"],
                    door.get("has") or "-",
                    "serves" if door.get("serves") else "held out",
                    door.get("flaw", ""),
                ]
            ).rstrip()
        )


def history(at: str) -> None:
    for record in call(at, "GET", "/records")["records"]:
        if record["name"].startswith(HISTORY_RECORD_PREFIX):
            one = json.loads(record["text"])
            print(
                "\t".join(
                    [
                        shown_number(one["number"]),
                        one["digest"] or "-",
                        f"before {one['before'] or '-'}",
                        one["who"],
                        one["why"],
                        f"absent {len(one['absent'])}",
                    ]
                )
            )


def carry_out(options: argparse.Namespace) -> None:
    at = options.at
    if options.command == "check" and not at:
        print(read_document_file(options.file).digest())
        return
    if not at:
        raise CallError("--at is needed: which list service")
    match options.command:
        case "check" | "diff":
            policy, before = read_document_file(options.file), in_force(at)[1]
            check_after(policy, before, options.file.name)
            if options.command == "diff":
                show_differences(before, policy)
            else:
                print(policy.digest())
        case "propose":
            propose(at, options)
        case "undo":
            undo(at, options)
        case "drop":
            drop(at)
        case "show":
            show(at)
        case "history":
            history(at)
        case "remove":
            call(at, "DELETE", f"/doors/{options.door}")
            print(f"{options.door} is no door any more")


def parser() -> argparse.ArgumentParser:
    whole = argparse.ArgumentParser(prog="orchidhatch.policy", description=__doc__.partition("\n")[0])
    whole.add_argument("--at", metavar="HOST:PORT", help="the list service that takes writes")
    commands = whole.add_subparsers(dest="command", required=True)
    for name, text in (
        ("check", "whether a document can be a policy"),
        ("diff", "what it would change"),
        ("propose", "have it put in force, everywhere or nowhere"),
    ):
        commands.add_parser(name, help=text).add_argument("file", type=Path)
    commands.add_parser("undo", help="have what held before put in force again")
    commands.add_parser("drop", help="end a change that is not decided yet")
    commands.add_parser("show", help="which policy holds, the last change, and how each door is")
    commands.add_parser("history", help="the decisions, by whom and why")
    commands.add_parser("remove", help="a door that is no more").add_argument("door")
    for name in ("propose", "undo"):
        command = commands.choices[name]
        command.add_argument("--why", required=True)
        command.add_argument("--by", default=getpass.getuser(), help="who asks for it")
        command.add_argument("--force", action="store_true", help="though many doors are out")
        command.add_argument("--wait", action="store_true", help="until it is in force or ended")
    commands.choices["propose"].add_argument(
        "--gate",
        type=parse_duration_s,
        default=0.0,
        metavar="TIME",
        help="undo it where more is refused or fails for this long after the switch, as 60s",
    )
    return whole


def main() -> int:
    try:
        carry_out(parser().parse_args())
    except InvalidPolicyError as error:
        print(f"orchidhatch.policy: {error}", file=sys.stderr)
        return 2
    except CallError as error:
        print(f"orchidhatch.policy: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
