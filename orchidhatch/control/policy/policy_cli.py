"""The command line for operators to manage policies.

    python -m orchidhatch.policy check policy.toml
    python -m orchidhatch.policy --at 127.0.0.1:8500 propose policy.toml --why "stor may have more"
    python -m orchidhatch.policy --at 127.0.0.1:8500 show

The exit status is 0 on success, 1 if the registry rejects the command or does not answer, and 2 if the
document or the command line is invalid.
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
    "Manages policies: plans, quotas, limits, latency objectives and banned customers of all gateways."
)
EXIT_DONE = 0
EXIT_REJECTED = 1
EXIT_INVALID = 2


def request_change(
    registry: PolicyRegistry, digest: str, options: argparse.Namespace, gate: Gate | None
) -> None:
    """Request a change unless another one is in progress; with --wait, wait until it has ended."""
    last, version = registry.last_change()
    if last is not None and not last.done:
        raise CallError(f"a change to {last.digest} is in progress already: {last.state}; see `show`")
    change = new_change(digest, options.by, options.why, gate, force=options.force)
    registry.put_change(change, version)
    print(f"asked for: {digest}")
    if options.wait:
        wait_until_done(registry, change.change_id)


def wait_until_done(registry: PolicyRegistry, change_id: str) -> None:
    """Wait for a change to end and print its outcome; raises CallError if its policy is not in force then."""
    ended = registry.wait_for_end(change_id)
    if ended is None:
        return
    print(format_outcome(ended))
    if not ended.is_in_force:
        raise CallError("the policy was not put in force")


def check(registry: PolicyRegistry | None, options: argparse.Namespace) -> None:
    """Check that a document is a valid policy and, given a registry, that it may replace the one in force."""
    policy = read_document_file(options.file)
    if registry is not None:
        check_successor(policy, registry.policy_in_force(), options.file.name)
    print(policy.digest())


def show_difference(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Print the differences between a document and the policy in force."""
    policy = read_document_file(options.file)
    current = registry.policy_in_force()
    check_successor(policy, current, options.file.name)
    print_differences(current, policy)


def propose(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Store a document and request that it is put in force."""
    policy = read_document_file(options.file)
    current = registry.policy_in_force()
    check_successor(policy, current, options.file.name)
    gateways = registry.fleet_status().gateways
    print_differences(current, policy)
    absent = [gateway.name for gateway in gateways if gateway.state is GatewayState.ABSENT]
    print(f"{len(gateways)} gateways, absent: {', '.join(absent) or 'none'}")
    error = absence_error(gateways)
    if error and not options.force:
        raise CallError(f"{error}; use --force to propose the change anyway")
    gate = Gate(for_ms=round(options.gate * 1000)) if options.gate else None
    registry.put_document(policy)
    request_change(registry, policy.digest(), options, gate)


def undo(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Request a change to the previous policy, whose document all gateways still have."""
    current = registry.fleet_status().decision
    if current is None or current.digest == current.previous_digest:
        raise CallError("nothing was changed that could be undone")
    if not current.previous_digest:
        raise CallError(
            "the gateways used their own settings files before; propose a document with the same content"
        )
    request_change(registry, current.previous_digest, options, None)


def drop(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Request that a change that is not decided yet is dropped."""
    last, version = registry.last_change()
    if last is None or last.done or last.state not in DROPPABLE_STATES:
        raise CallError("there is no change that could still be dropped")
    last.dropped = True
    registry.put_change(last, version)
    print(f"asked to drop {last.digest}")


def show(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Print the current decision, the last change and the state of each gateway."""
    status = registry.fleet_status()
    print_decision(status)
    last, _ = registry.last_change()
    if last is not None:
        print(f"last change: {last.digest}: {format_outcome(last)}")
    for gateway in status.gateways:
        print(format_gateway(gateway))


def show_history(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Print the recorded decisions, with who requested each one and why."""
    for decision in registry.history():
        print(format_decision(decision))


def remove_gateway(registry: PolicyRegistry, options: argparse.Namespace) -> None:
    """Remove a decommissioned gateway from the directory."""
    registry.remove_gateway(options.gateway)
    print(f"{options.gateway} is removed")


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
    """Run one command; only `check` works without a registry."""
    if options.at:
        HANDLERS[options.command](PolicyRegistry(options.at), options)
    elif options.command == "check":
        check(None, options)
    else:
        raise CallError("--at is required for this command: the address of the registry")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=DESCRIPTION)
    parser.add_argument("--at", metavar="HOST:PORT", help="the registry that accepts writes")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, help_text in (
        ("check", "check that a document is a valid policy"),
        ("diff", "show what a document would change"),
        ("propose", "put a document in force at all gateways or at none"),
    ):
        commands.add_parser(name, help=help_text).add_argument("file", type=Path)
    commands.add_parser("undo", help="put the previous policy in force again")
    commands.add_parser("drop", help="drop a change that is not decided yet")
    commands.add_parser(
        "show", help="show the policy in force, the last change and the state of each gateway"
    )
    commands.add_parser("history", help="list the decisions, with who requested each one and why")
    commands.add_parser("remove", help="remove a decommissioned gateway").add_argument("gateway")
    for name in ("propose", "undo"):
        add_change_options(commands.choices[name])
    commands.choices["propose"].add_argument(
        "--gate",
        type=parse_duration_s,
        default=0.0,
        metavar="TIME",
        help="undo the change if more requests are rejected or fail in this time after the switch, e.g. 60s",
    )
    return parser


def add_change_options(command: argparse.ArgumentParser) -> None:
    """Add the options that all commands that request a change have."""
    command.add_argument("--why", required=True)
    command.add_argument("--by", default=getpass.getuser(), help="who requests the change")
    command.add_argument(
        "--force", action="store_true", help="change the policy even if many gateways are absent"
    )
    command.add_argument("--wait", action="store_true", help="wait until the change has ended")


def main() -> int:
    """Run the command and return the exit status."""
    try:
        run_command(build_parser().parse_args())
    except InvalidPolicyError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_INVALID
    except CallError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_REJECTED
    return EXIT_DONE
