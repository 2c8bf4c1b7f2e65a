"""The commands of the operators' command line: each sends one or two requests and prints the result.

Each command function gets the parsed options and raises CallError if the command is refused.
"""

import argparse
import json
import sys
from typing import Any
from urllib.parse import quote

from orchidhatch.control.cli_messages import (
    ChangeLifecycle,
    ClaimList,
    Promotion,
    PutRecord,
    Record,
    RecordList,
    RegisterEndpoint,
    ReleaseClaim,
    RemoveEndpoint,
    body_of,
)
from orchidhatch.control.controller.task_records import (
    TASK_RECORD_PREFIX,
    BackupRecord,
    DrainEnd,
    LeaseExpiryRecord,
    SummaryRecord,
    encode_task_record,
    new_backup,
    new_drain,
    new_summary,
)
from orchidhatch.control.operator_client import CallError, call, call_for, watch_events
from orchidhatch.control.registry.backups import BackupSummary

ENDPOINT_FIELDS = (
    "instanceId",
    "hostPort",
    "zone",
    "machineType",
    "cell",
    "lifecycle",
    "weight",
    "startedAtMs",
    "version",
    "life",
)


def path_segment(name: str) -> str:
    """Return a name quoted as one segment of a path."""
    return quote(name, safe="")


def format_endpoint(endpoint: dict[str, Any]) -> str:
    """Return the fields in the registry's response, separated by tabs; the request determines which exist."""
    return "\t".join(str(endpoint[name]) for name in ENDPOINT_FIELDS if name in endpoint)


def print_watch_event(event: dict[str, Any]) -> None:
    """Print the whole list or the changes to it, one endpoint a line."""
    extent = "the whole list" if event["reset"] else "changes"
    print(f"generation {event['generation']}, {extent}:")
    for endpoint in event["instances"]:
        print(format_endpoint(endpoint))
    sys.stdout.flush()


# --- endpoints ---


def list_endpoints(options: argparse.Namespace) -> None:
    """Print the endpoint list."""
    print_watch_event(call(options.at, "GET", "/catalog/members"))


def watch_endpoints(options: argparse.Namespace) -> None:
    """Print the endpoint list and each change, until the registry ends the watch."""
    for event in watch_events(options.at, options.after):
        print_watch_event(event)


def show_endpoint(options: argparse.Namespace) -> None:
    """Print one endpoint with its version and incarnation."""
    print(format_endpoint(call(options.at, "GET", f"/entries/{path_segment(options.id)}")))


def register_endpoint(options: argparse.Namespace) -> None:
    """Register an endpoint and print it."""
    message = RegisterEndpoint(
        instance_id=options.id,
        host_port=options.address,
        zone=options.zone,
        machine_type=options.kind,
        cell=options.cell,
        weight=options.weight,
        started_at_ms=options.started_ms,
        lease_ms=options.lease_ms,
        if_version=options.if_version,
    )
    print(format_endpoint(call(options.at, "POST", "/entries", body_of(message))))


def drain_endpoint(options: argparse.Namespace) -> None:
    """Mark an endpoint as draining, or with --by have the controllers drain it."""
    if options.by:
        request_drain(options)
    else:
        change_lifecycle(options, "DRAINING")


def serve_endpoint(options: argparse.Namespace) -> None:
    """Mark an endpoint as serving."""
    change_lifecycle(options, "SERVING")


def change_lifecycle(options: argparse.Namespace, lifecycle: str) -> None:
    """Set an endpoint's lifecycle and print it."""
    body = body_of(ChangeLifecycle(lifecycle, options.if_version))
    path = f"/entries/{path_segment(options.id)}/lifecycle"
    print(format_endpoint(call(options.at, "POST", path, body)))


def renew_endpoint(options: argparse.Namespace) -> None:
    """Renew an endpoint's lease."""
    path = f"/entries/{path_segment(options.id)}/renew"
    call(options.at, "POST", path, {"life": options.life})
    print(f"{options.id} goes on")


def remove_endpoint(options: argparse.Namespace) -> None:
    """Remove an endpoint and print it as it was."""
    body = body_of(RemoveEndpoint(options.if_version))
    print(format_endpoint(call(options.at, "DELETE", f"/entries/{path_segment(options.id)}", body)))


# --- tasks ---


def put_task(at: str, name: str, message: PutRecord) -> None:
    """Write the record of a task and print its version."""
    path = f"/records/{TASK_RECORD_PREFIX}{path_segment(name)}"
    record = call_for(Record, at, "POST", path, body_of(message))
    print(f"asked for as {record.name}, version {record.version}")


def request_drain(options: argparse.Namespace) -> None:
    """Have the controllers drain an endpoint. Raises CallError if they are already draining it."""
    record_name = f"{TASK_RECORD_PREFIX}drain-{options.id}"
    records = call_for(RecordList, options.at, "GET", "/records").records
    existing = next((record for record in records if record.name == record_name), None)
    if existing and not json.loads(existing.text)["done"]:
        raise CallError(f"{options.id} is being drained already; see tasks")
    task = new_drain(options.id, round(options.by * 1000), DrainEnd(options.then))
    message = PutRecord(encode_task_record(task), if_version=existing.version if existing else 0)
    put_task(options.at, f"drain-{options.id}", message)


def request_repeated(options: argparse.Namespace, task: BackupRecord | SummaryRecord) -> None:
    """Have the controllers repeat a command; a second request restarts the task."""
    put_task(options.at, options.command, PutRecord(encode_task_record(task)))


def show_summary(options: argparse.Namespace) -> None:
    """Print the last summary of the fleet, or with --every have the controllers update it repeatedly."""
    if options.every:
        request_repeated(options, new_summary(round(options.every * 1000)))
        return
    record = call_for(Record, options.at, "GET", f"/records/{TASK_RECORD_PREFIX}summary")
    task = json.loads(record.text)
    for name, value in task.get("fleet", {"": "not yet read"}).items():
        print(f"{name}\t{value}")


def set_lease_expiry(options: argparse.Namespace) -> None:
    """Set whether the controllers or the registry itself remove endpoints with expired leases."""
    if options.ended_by == "stewards":
        put_task(options.at, "leases", PutRecord(encode_task_record(LeaseExpiryRecord())))
        return
    call(options.at, "POST", f"/records/{TASK_RECORD_PREFIX}leases", body_of(PutRecord("")))
    print("the list service ends them itself")


def list_tasks(options: argparse.Namespace) -> None:
    """Print each record with its text."""
    for record in call_for(RecordList, options.at, "GET", "/records").records:
        print(f"{record.name}\t{record.text}")


def forget_task(options: argparse.Namespace) -> None:
    """Delete the record of a task."""
    call(options.at, "POST", f"/records/{path_segment(options.id)}", body_of(PutRecord("")))
    print(f"{options.id} is forgotten")


# --- claims ---


def list_claims(options: argparse.Namespace) -> None:
    """Print each claim with its holder and epoch."""
    for claim in call_for(ClaimList, options.at, "GET", "/claims").claims:
        columns = (claim.name, claim.holder, claim.epoch, claim.handed_to, claim.suspended, claim.reason)
        print("\t".join(map(str, columns)))


def hand_over_claim(options: argparse.Namespace) -> None:
    """Release a claim on behalf of its holder, so that another controller can take it."""
    claims = call_for(ClaimList, options.at, "GET", "/claims").claims
    claim = next((claim for claim in claims if claim.name == options.id), None)
    if claim is None or not claim.holder:
        raise CallError(f"{options.id} is held by nobody")
    message = ReleaseClaim(options.to, claim.holder, claim.incarnation, claim.epoch)
    call(options.at, "POST", f"/claims/{path_segment(options.id)}/give", body_of(message))
    print(f"{options.id} goes from {claim.holder} to {options.to}")


def suspend_claim(options: argparse.Namespace) -> None:
    """Suspend a claim, so that no controller can take it."""
    call(options.at, "POST", f"/claims/{path_segment(options.id)}/hold", {"on": True})
    print(f"{options.id} is put aside")


def resume_claim(options: argparse.Namespace) -> None:
    """Resume a suspended claim, so that controllers can take it again."""
    call(options.at, "POST", f"/claims/{path_segment(options.id)}/hold", {"on": False})
    print(f"{options.id} is free to be taken")


# --- the registry ---


def back_up(options: argparse.Namespace) -> None:
    """Back up the registry's store, or with --every have the controllers do so repeatedly."""
    if options.every:
        request_repeated(options, new_backup(round(options.every * 1000)))
        return
    summary = call_for(BackupSummary, options.at, "POST", "/backup", {})
    print(f"{summary.file}: {summary.entries} entries, {summary.claims} claims, tried")


def promote(options: argparse.Namespace) -> None:
    """Have a replica accept writes in a new term."""
    promotion = call_for(Promotion, options.at, "POST", "/promote", {"force": options.force})
    print(
        f"term {promotion.term}, generation {promotion.generation}, {promotion.entries} entries;"
        f" last heard {promotion.lag_seconds:.1f} s ago, at generation {promotion.received_generation}"
    )
