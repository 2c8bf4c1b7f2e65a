"""Policy documents: their schema and validation, their digest, and their application to gateway settings."""

import copy
import hashlib
import json
import math
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from orchidhatch.control.errors import InvalidRequestError
from orchidhatch.control.json_body import reject_constant, reject_duplicates

# A document must fit into a record of the registry.
MAX_DOCUMENT_BYTES = 5000
MAX_PLANS = 40
MAX_BANNED_CUSTOMERS = 150
# Hexadecimal digits of the SHA-256 that identify a document.
DIGEST_LENGTH = 16
MAX_ERROR_CHARACTERS = 200
# A smaller token bucket never holds enough units for a request.
MIN_BURST = 1
MICROSECONDS_PER_MILLISECOND = 1000

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$")]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
CustomerId = Annotated[str, Meta(pattern=r"^[0-9a-f]{16}$")]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class InvalidPolicyError(Exception):
    """An invalid policy document; the text is one line with the source, the key and the reason."""


class DocumentPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename="kebab"):
    """A part of a document; its keys are the attribute names with hyphens."""


class Plan(DocumentPart):
    """A plan's quota, concurrency slots and rate ceiling, named as in the settings; 0 means no limit."""

    name: Name
    units_per_s: Amount
    burst: Amount
    max_out: Annotated[int, Meta(ge=0, le=100_000)] = 0
    never_over_rate: Amount = 0.0
    hard_burst: Amount = 0.0

    def validation_error(self) -> str | None:
        """Return the invalid key and the reason, as `key: reason`; None if the part is valid."""
        amounts = (self.units_per_s, self.burst, self.never_over_rate, self.hard_burst)
        if not all(map(math.isfinite, amounts)):
            return "units-per-s: all amounts of a plan must be finite numbers"
        return self._quota_error() or self._ceiling_error()

    def _quota_error(self) -> str | None:
        if self.units_per_s and self.burst < MIN_BURST:
            return f"burst: must be at least {MIN_BURST}; a smaller bucket never holds a request"
        if self.burst and not self.units_per_s:
            return "units-per-s: is required if burst is given"
        return None

    def _ceiling_error(self) -> str | None:
        if self.never_over_rate and self.never_over_rate < self.units_per_s:
            return f"never-over-rate: {self.never_over_rate:g} is below the quota of {self.units_per_s:g}"
        if bool(self.never_over_rate) != bool(self.hard_burst):
            return "hard-burst: must be given if and only if never-over-rate is given"
        if self.hard_burst and self.hard_burst < MIN_BURST:
            return f"hard-burst: must be at least {MIN_BURST}; a smaller bucket never holds a request"
        return None


class LatencyObjective(DocumentPart):
    """The latency objective of a request class, and the deadline after which its requests are abandoned."""

    name: Name
    on_time_ms: Milliseconds
    deadline_ms: Milliseconds

    def validation_error(self) -> str | None:
        """Return the invalid key and the reason, as `key: reason`; None if the part is valid."""
        return (
            None if self.on_time_ms <= self.deadline_ms else "deadline-ms: must not be less than on-time-ms"
        )


class Policy(DocumentPart):
    """A complete document. `retired` names plans of the previous policy that are removed on purpose."""

    plans: Annotated[tuple[Plan, ...], Meta(min_length=1, max_length=MAX_PLANS)]
    classes: Annotated[tuple[LatencyObjective, ...], Meta(max_length=MAX_PLANS)] = ()
    banned: Annotated[tuple[CustomerId, ...], Meta(max_length=MAX_BANNED_CUSTOMERS)] = ()
    retired: Annotated[tuple[Name, ...], Meta(max_length=MAX_PLANS)] = ()

    def text(self) -> str:
        """Return the canonical JSON, which is the same for equal policies in any notation."""
        return msgspec.json.encode(self, order="sorted").decode()

    def digest(self) -> str:
        """Return the digest that identifies the policy."""
        return document_digest(self.text())


def document_digest(text: str) -> str:
    """Return the digest of a document's canonical text."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]


def parse_document(text: str, source: str) -> Policy:
    """Return the policy in a JSON text, or in a TOML text if the source's name ends in `.toml`.

    Raises InvalidPolicyError, which names the source, if the document is malformed or contradicts itself.
    """
    try:
        check_length(text, source)
        policy = msgspec.convert(decode_values(text, source), Policy)
    # The errors of msgspec, tomllib and json are subclasses of ValueError.
    except (ValueError, RecursionError, InvalidRequestError) as error:
        raise InvalidPolicyError(f"{source}: {one_line(error)}") from error
    check_items("plans", policy.plans, source)
    check_items("classes", policy.classes, source)
    check_length(policy.text(), source)
    return policy


def decode_values(text: str, source: str) -> Mapping[str, Any]:
    """Return the values in a JSON or TOML text."""
    if source.endswith(".toml"):
        return tomllib.loads(text)
    return json.loads(text, parse_constant=reject_constant, object_pairs_hook=reject_duplicates)


def check_length(text: str, source: str) -> None:
    """Raise InvalidPolicyError if a text is too long for a record."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise InvalidPolicyError(f"{source}: the document is longer than {MAX_DOCUMENT_BYTES} bytes")


def check_items(key: str, items: Sequence[Plan | LatencyObjective], source: str) -> None:
    """Raise InvalidPolicyError if two items have the same name, or if an item is invalid."""
    names = {item.name for item in items}
    if len(names) < len(items):
        raise InvalidPolicyError(f"{source}: {key}: a name is used more than once")
    for item in items:
        error = item.validation_error()
        if error is not None:
            raise InvalidPolicyError(f"{source}: {key}.{item.name}.{error}")


def one_line(error: Exception) -> str:
    """Return an error's text on one line, cut off after MAX_ERROR_CHARACTERS."""
    return " ".join(str(error).split())[:MAX_ERROR_CHARACTERS]


def read_document_file(path: Path) -> Policy:
    """Return the policy in a file; raises InvalidPolicyError if the file is unreadable or invalid."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidPolicyError(f"{path.name}: {one_line(error)}") from error
    return parse_document(text, path.name)


def check_successor(policy: Policy, previous: Policy | None, source: str) -> None:
    """Raise InvalidPolicyError if a policy drops plans of the previous one without retiring them.

    A policy must not retire a plan that it contains either.
    """
    names = {plan.name for plan in policy.plans}
    for plan in previous.plans if previous else ():
        if plan.name not in names and plan.name not in policy.retired:
            raise InvalidPolicyError(
                f"{source}: plans.{plan.name}: its customers would have no plan; "
                "list it in `retired` if that is intended"
            )
    for name in policy.retired:
        if name in names:
            raise InvalidPolicyError(f"{source}: retired: {name} is still a plan of the document")


def document_differences(
    before: Mapping[str, Any], after: Mapping[str, Any], path: str = ""
) -> Iterator[str]:
    """Yield one line for each difference between the JSON values of two documents."""
    for key in sorted({*before, *after}):
        old = before.get(key)
        new = after.get(key)
        key_path = f"{path}{key}"
        if has_named_items(old) or has_named_items(new):
            yield from document_differences(items_by_name(old), items_by_name(new), f"{key_path}.")
        elif isinstance(old, dict) and isinstance(new, dict):
            yield from document_differences(old, new, f"{key_path}.")
        elif old != new:
            yield f"{key_path}: {format_value(old)} -> {format_value(new)}"


def has_named_items(value: object) -> bool:
    """Return whether a value is a list of plans or classes."""
    return isinstance(value, list | tuple) and bool(value) and isinstance(value[0], dict)


def items_by_name(items: Sequence[Mapping[str, Any]] | None) -> dict[str, dict[str, Any]]:
    """Return the fields of each plan or class without the name, by its name."""
    return {
        item["name"]: {key: value for key, value in item.items() if key != "name"} for item in items or ()
    }


def format_value(value: object) -> str:
    """Return a value as printed for operators."""
    return "-" if value in (None, "", []) else json.dumps(value)


def apply_policy(settings: Mapping[str, Any], policy: Policy) -> dict[str, Any]:
    """Return a gateway's settings with a policy applied to them.

    Plans that the policy retires are removed; settings that it does not name are unchanged. The remaining
    plans keep their order, as messages between gateways identify plans by position. Raises InvalidPolicyError
    if the policy names a class that the gateway does not have.
    """
    applied = copy.deepcopy(dict(settings))
    plans = {plan["name"]: plan for plan in applied["plans"] if plan["name"] not in policy.retired}
    for plan in policy.plans:
        plans.setdefault(plan.name, {}).update(msgspec.to_builtins(plan))
    applied["plans"] = list(plans.values())
    classes = {request_class["name"]: request_class for request_class in applied["categories"]}
    for objective in policy.classes:
        if objective.name not in classes:
            raise InvalidPolicyError(f"classes.{objective.name}: the gateway has no such class")
        classes[objective.name] |= {
            "on-time-us": objective.on_time_ms * MICROSECONDS_PER_MILLISECOND,
            "deadline-us": objective.deadline_ms * MICROSECONDS_PER_MILLISECOND,
        }
    applied["banned"] = list(policy.banned)
    return applied
