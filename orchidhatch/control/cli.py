"""The operators' command line for the registry.

    python -m orchidhatch.client --at 127.0.0.1:8500 list
    python -m orchidhatch.client --at 127.0.0.1:8500 register s-1 127.0.0.1:7001 --zone a --kind m2
    python -m orchidhatch.client --at 127.0.0.1:8500 drain s-1 --if-version V

The exit status is 0 on success, 1 if the service rejects the command or does not answer, and 2 if the options
are invalid.
"""

import argparse
import sys
from collections.abc import Callable

from orchidhatch.control import cli_commands
from orchidhatch.control.cli_arguments import parse_duration_s
from orchidhatch.control.operator_client import CallError

Command = Callable[[argparse.Namespace], None]
Subparsers = argparse._SubParsersAction


def add_command(
    commands: Subparsers, name: str, run: Command, help_text: str, *, takes_id: bool = False
) -> argparse.ArgumentParser:
    """Add a command that `run` executes, with the id of an object as argument if `takes_id`."""
    command = commands.add_parser(name, help=help_text)
    command.set_defaults(run=run)
    if takes_id:
        command.add_argument("id")
    return command


def add_condition(command: argparse.ArgumentParser) -> None:
    """Add the option that names the version that an endpoint must have for the command to be executed."""
    command.add_argument(
        "--if-version", type=int, help="only if the endpoint is at this version (0: not listed)"
    )


def add_every(command: argparse.ArgumentParser, help_text: str) -> None:
    """Add the option that has the controllers repeat the command at an interval."""
    command.add_argument("--every", type=parse_duration_s, metavar="TIME", help=help_text)


def add_endpoint_commands(commands: Subparsers) -> None:
    """Add the commands that read or write the endpoint list."""
    add_command(commands, "list", cli_commands.list_endpoints, "print the whole list")
    watch = add_command(
        commands, "watch", cli_commands.watch_endpoints, "print the list, then its changes as they occur"
    )
    watch.add_argument("--after", type=int, default=0, metavar="GENERATION")
    add_command(
        commands,
        "show",
        cli_commands.show_endpoint,
        "print one endpoint with its version and incarnation",
        takes_id=True,
    )
    add_drain_command(commands)
    serve = add_command(
        commands, "serve", cli_commands.serve_endpoint, "mark it as serving again", takes_id=True
    )
    add_condition(serve)
    remove = add_command(
        commands, "remove", cli_commands.remove_endpoint, "remove it from the list", takes_id=True
    )
    add_condition(remove)
    renew = add_command(commands, "renew", cli_commands.renew_endpoint, "renew its lease", takes_id=True)
    renew.add_argument("--life", type=int, required=True)
    add_register_command(commands)


def add_drain_command(commands: Subparsers) -> None:
    """Add the command that drains an endpoint."""
    drain = add_command(
        commands,
        "drain",
        cli_commands.drain_endpoint,
        "mark it as draining: it gets no new requests",
        takes_id=True,
    )
    add_condition(drain)
    drain.add_argument(
        "--by",
        type=parse_duration_s,
        metavar="TIME",
        help="have the controllers finish the drain after this time, such as 90s or 10m",
    )
    drain.add_argument("--then", choices=("remove", "back"), default="remove")


def add_register_command(commands: Subparsers) -> None:
    """Add the command that registers an endpoint."""
    register = add_command(
        commands,
        "register",
        cli_commands.register_endpoint,
        "add it to the list, or register it again after a restart",
        takes_id=True,
    )
    add_condition(register)
    register.add_argument("address", metavar="HOST:PORT")
    register.add_argument("--zone", required=True)
    register.add_argument("--kind", required=True)
    register.add_argument("--weight", type=float)
    for option in ("--cell", "--started-ms", "--lease-ms"):
        register.add_argument(option, type=int)


def add_controller_commands(commands: Subparsers) -> None:
    """Add the commands for tasks, which controllers execute, and claims, which they hold."""
    summary = add_command(
        commands, "summary", cli_commands.show_summary, "print the last summary of the fleet"
    )
    add_every(summary, "have the controllers update it at this interval, such as 30s")
    leases = add_command(
        commands, "leases", cli_commands.set_lease_expiry, "set who removes endpoints whose leases expire"
    )
    leases.add_argument("--ended-by", choices=("stewards", "service"), required=True)
    add_command(commands, "tasks", cli_commands.list_tasks, "print the controllers' tasks and their states")
    add_command(commands, "forget", cli_commands.forget_task, "delete the record of a task", takes_id=True)
    add_command(commands, "owners", cli_commands.list_claims, "print each claim's holder and epoch")
    add_command(
        commands,
        "hold",
        cli_commands.suspend_claim,
        "suspend a claim: no controller can take it",
        takes_id=True,
    )
    add_command(commands, "let-go", cli_commands.resume_claim, "resume a suspended claim", takes_id=True)
    hand_over = add_command(
        commands,
        "hand-over",
        cli_commands.hand_over_claim,
        "hand a claim over to another controller",
        takes_id=True,
    )
    hand_over.add_argument("to", help="the id of a controller")


def add_registry_commands(commands: Subparsers) -> None:
    """Add the commands for a registry's store and role."""
    backup = add_command(commands, "backup", cli_commands.back_up, "back up the registry's store")
    add_every(backup, "have the controllers make one at this interval, such as 10m or 6h")
    promote = add_command(commands, "promote", cli_commands.promote, "have a replica accept writes")
    promote.add_argument("--force", action="store_true", help="promote it even if its upstream still answers")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands and their options."""
    parser = argparse.ArgumentParser(
        prog="orchidhatch.client", description="The operators' command line for the registry."
    )
    parser.add_argument("--at", required=True, metavar="HOST:PORT", help="the registry")
    commands = parser.add_subparsers(dest="command", required=True)
    add_endpoint_commands(commands)
    add_controller_commands(commands)
    add_registry_commands(commands)
    return parser


def main() -> int:
    """Run the command and return its exit status, which the module docstring lists."""
    options = build_parser().parse_args()
    try:
        options.run(options)
    except CallError as error:
        print(f"orchidhatch.client: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, BrokenPipeError):
        # The reader closed the output. Closing stderr prevents Python from reporting that on exit.
        sys.stderr.close()
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
