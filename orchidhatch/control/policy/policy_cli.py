"""The operators' command line for policies.

    python -m orchidhatch.policy check policy.toml
    python -m orchidhatch.policy --at 127.0.0.1:8500 propose policy.toml --why "stor may have more"
    python -m orchidhatch.policy --at 127.0.0.1:8500 show

Ends with 0 when it was done, 1 when the registry rejected it or does not answer, 2 when the document or the
command line is invalid.
"""

import argparse
import getpass
import sys
from collections.abc import Callable, Mapping
from pathlib import Path

from orchidhatch.control.cli_arguments import parse_duration_s
from orchidhatch.control.operator_client import CallError
from orchidhatch.control.policy.change_record import DROPPABLE_STATES, Gate, new_change
from orchidhatch.control.policy.display import (
    format_decision,
    format_gateway,
    format_outcome,
    print_decision,
    print_differences,
)
from orchidhatch.control.policy.document import (
    InvalidPolicyError,
    check_successor,
    read_document_file,
)
from orchidhatch.control.policy.fleet_status import GatewayState
from orchidhatch.control.policy.registry_calls import PolicyRegistry
from orchidhatch.control.policy.rollout_checks import absence_error

PROGRAM = "orchidhatch.policy"
DESCRIPTION = (
    "Policies: plans, quotas, caps, ceilings, aims and who is banned, one document for all gateways."
)
EXIT_DONE = 0
EXIT_REJECTED = 1
EXIT_INVALID = 2


def request_change(
    registry: PolicyRegistry, digest: str, options: argparse.Namespace, gate: Gate | None
) -> None:
    """Ask for a change, unless one is open; with --wait, until it has ended."""
    last, version = registry.last_change()
    if last is not None and not last.done:
        raise CallError(f"{last.digest} is being put in force already: {last.state}; see show")
    change = new_change(digest, options.by, options.why, gate, force=options.force)
    registry.put_change(change, version)
    print(f"asked for: {digest}")
    if options.wait:
        wait_until_done(registry, change.change_id)


def wait_until_done(registry: PolicyRegistry, change_id: str) -> None:
    """Print how a change ends; raises CallError where it is not in force in the end."""
    ended = registry.wait_for_end(change_id)
    if ended is None:
        return
    print(format_outcome(ended))
    if not ended.is_in_force:
        raise CallError("it is not in force")


def check(registry: PolicyRegistry | None, options: argparse.Namespace) -> None:
    """Whether a document is a valid policy, and with a registry whether it may follow what is in force."""
    policy = read_document_file(options.file)
    if registry is not None:
        check_successor(policy, registry.policy_in_force(), options.file.name)
    print(policy.digest())


def show_difference(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """What a document would change."""
    policy = read_document_file(options.file)
    before = registry.policy_in_force()
    check_successor(policy, before, options.file.name)
    print_differences(before, policy)


def propose(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Store a document and ask for it to be put in force."""
    policy = read_document_file(options.file)
    before = registry.policy_in_force()
    check_successor(policy, before, options.file.name)
    gateways = registry.fleet_status().gateways
    print_differences(before, policy)
    absent = [gateway.name for gateway in gateways if gateway.state is GatewayState.ABSENT]
    print(f"{len(gateways)} gateways, absent: {', '.join(absent) or 'none'}")
    error = absence_error(gateways)
    if error and not options.force:
        raise CallError(f"{error}; --force does it all the same")
    gate = Gate(for_ms=round(options.gate * 1000)) if options.gate else None
    registry.put_document(policy)
    request_change(registry, policy.digest(), options, gate)


def undo(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Ask for a change to what held before: all gateways have its document still."""
    current = registry.fleet_status().decision
    if current is None or current.digest == current.previous_digest:
        raise CallError("nothing was changed that could be undone")
    if not current.previous_digest:
        raise CallError("the gateways went by their own files before; propose a document that says the same")
    request_change(registry, current.previous_digest, options, None)


def drop(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Ask for a change that is not decided yet to be ended."""
    last, version = registry.last_change()
    if last is None or last.done or last.state not in DROPPABLE_STATES:
        raise CallError("there is no change that could still be dropped")
    last.dropped = True
    registry.put_change(last, version)
    print(f"asked to drop {last.digest}")


def show(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Which policy holds, the last change, and how each gateway is."""
    status = registry.fleet_status()
    print_decision(status)
    last, _ = registry.last_change()
    if last is not None:
        print(f"last change: {last.digest}: {format_outcome(last)}")
    for gateway in status.gateways:
        print(format_gateway(gateway))


def show_history(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """The decisions, by whom and why."""
    for decision in registry.history():
        print(format_decision(decision))


def remove_gateway(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Take a gateway that is no more off the directory."""
    registry.remove_gateway(options.gateway)
    print(f"{options.gateway} is no gateway any more")


Handler = Callable[[PolicyRegistry, argparse.Namespace], None]
HANDLERS: Mapping[str, Handler] = {
    "check": check,
    "diff": show_difference,
    "propose": propose,
    "undo": undo,
    "drop": drop,
    "show": show,
    "history": show_history,
    "remove": remove_gateway,
}


def run_command(options: argparse.Namespace) -> None:
    """Run one command; only a check needs no registry."""
    if options.at:
        HANDLERS[options.command](PolicyRegistry(options.at), options)
    elif options.command == "check":
        check(None, options)
    else:
        raise CallError("--at is needed: which registry")


def build_parser() -> argparse.ArgumentParser:
    """The command line."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=DESCRIPTION)
    parser.add_argument("--at", metavar="HOST:PORT", help="the registry that accepts writes")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("check", "whether a document can be a policy"),
        ("diff", "what it would change"),
        ("propose", "have it put in force, everywhere or nowhere"),
    ):
        commands.add_parser(name, help=text).add_argument("file", type=Path)
    commands.add_parser("undo", help="have what held before put in force again")
    commands.add_parser("drop", help="end a change that is not decided yet")
    commands.add_parser("show", help="which policy holds, the last change, and how each gateway is")
    commands.add_parser("history", help="the decisions, by whom and why")
    commands.add_parser("remove", help="a gateway that is no more").add_argument("gateway")
    for name in ("propose", "undo"):
        add_change_options(commands.choices[name])
    commands.choices["propose"].add_argument(
        "--gate",
        type=parse_duration_s,
        default=0.0,
        metavar="TIME",
        help="undo it where more is rejected or fails for this long after the switch, as 60s",
    )
    return parser


def add_change_options(command: argparse.ArgumentParser) -> None:
    """The options of each command that asks for a change."""
    command.add_argument("--why", required=True)
    command.add_argument("--by", default=getpass.getuser(), help="who asks for it")
    command.add_argument("--force", action="store_true", help="though many gateways are absent")
    command.add_argument("--wait", action="store_true", help="until it is in force or ended")


def main() -> int:
    """Run the command; the exit status."""
    try:
        run_command(build_parser().parse_args())
    except InvalidPolicyError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_INVALID
    except CallError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_REJECTED
    return EXIT_DONE
