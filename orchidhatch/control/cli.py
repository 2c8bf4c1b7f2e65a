"""The operators' command line for the registry.

    python -m orchidhatch.client --at 127.0.0.1:8500 list
    python -m orchidhatch.client --at 127.0.0.1:8500 register s-1 127.0.0.1:7001 --zone a --kind m2
    python -m orchidhatch.client --at 127.0.0.1:8500 drain s-1 --if-version V

Ends with 0 when it was done, 1 when the service refused or does not answer, 2 when the options make no sense.
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
    """A command that `run` executes, with the id of what it is about if it takes one."""
    command = commands.add_parser(name, help=help_text)
    command.set_defaults(run=run)
    if takes_id:
        command.add_argument("id")
    return command


def add_condition(command: argparse.ArgumentParser) -> None:
    """The version that an endpoint must be at for the command to be carried out."""
    command.add_argument("--if-version", type=int, help="only if it is at this one (0: not listed)")


def add_every(command: argparse.ArgumentParser, help_text: str) -> None:
    """How often the controllers are to repeat the command."""
    command.add_argument("--every", type=parse_duration_s, metavar="TIME", help=help_text)


def add_endpoint_commands(commands: Subparsers) -> None:
    """Commands that read or write the endpoint list."""
    add_command(commands, "list", cli_commands.list_endpoints, "the whole list")
    watch = add_command(
        commands, "watch", cli_commands.watch_endpoints, "the list, and its changes as they come"
    )
    watch.add_argument("--after", type=int, default=0, metavar="GENERATION")
    add_command(
        commands,
        "show",
        cli_commands.show_endpoint,
        "one endpoint, with its version and incarnation",
        takes_id=True,
    )
    add_drain_command(commands)
    serve = add_command(commands, "serve", cli_commands.serve_endpoint, "it may be used again", takes_id=True)
    add_condition(serve)
    remove = add_command(
        commands, "remove", cli_commands.remove_endpoint, "remove it from the list", takes_id=True
    )
    add_condition(remove)
    renew = add_command(commands, "renew", cli_commands.renew_endpoint, "renew its lease", takes_id=True)
    renew.add_argument("--life", type=int, required=True)
    add_register_command(commands)


def add_drain_command(commands: Subparsers) -> None:
    """The command that drains an endpoint."""
    drain = add_command(
        commands, "drain", cli_commands.drain_endpoint, "no new requests go to it", takes_id=True
    )
    add_condition(drain)
    drain.add_argument(
        "--by",
        type=parse_duration_s,
        metavar="TIME",
        help="have the controllers end it after this long, as 90s or 10m",
    )
    drain.add_argument("--then", choices=("remove", "back"), default="remove")


def add_register_command(commands: Subparsers) -> None:
    """The command that registers an endpoint."""
    register = add_command(
        commands,
        "register",
        cli_commands.register_endpoint,
        "list it, or list it anew after a restart",
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
    """Commands about tasks and claims, which controllers carry out and hold."""
    summary = add_command(
        commands, "summary", cli_commands.show_summary, "the fleet in a few lines, as read last"
    )
    add_every(summary, "have the controllers read it each time, as 30s")
    leases = add_command(
        commands, "leases", cli_commands.set_lease_expiry, "who removes endpoints whose leases expire"
    )
    leases.add_argument("--ended-by", choices=("stewards", "service"), required=True)
    add_command(commands, "tasks", cli_commands.list_tasks, "the controllers' tasks and their states")
    add_command(commands, "forget", cli_commands.forget_task, "delete the record of a task", takes_id=True)
    add_command(commands, "owners", cli_commands.list_claims, "who holds which claim, by which epoch")
    add_command(commands, "hold", cli_commands.suspend_claim, "have nobody take a claim", takes_id=True)
    add_command(commands, "let-go", cli_commands.resume_claim, "have a claim taken again", takes_id=True)
    hand_over = add_command(
        commands,
        "hand-over",
        cli_commands.hand_over_claim,
        "hand a claim over to another controller",
        takes_id=True,
    )
    hand_over.add_argument("to", help="the id of a controller")


def add_registry_commands(commands: Subparsers) -> None:
    """Commands about a registry's store and role."""
    backup = add_command(commands, "backup", cli_commands.back_up, "back up the registry's store")
    add_every(backup, "have the controllers make one each time, as 10m or 6h")
    promote = add_command(commands, "promote", cli_commands.promote, "have a replica accept writes")
    promote.add_argument(
        "--force", action="store_true", help="though the registry that it replicates still answers"
    )


def build_parser() -> argparse.ArgumentParser:
    """All commands and their options."""
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
    """Run the command; see the module for its exit status."""
    options = build_parser().parse_args()
    try:
        options.run(options)
    except CallError as error:
        print(f"orchidhatch.client: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, BrokenPipeError):
        # The reader of the output has gone: closing the stream keeps Python from reporting that on exit.
        sys.stderr.close()
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
