"""What a policy is: a document with a form, named by its digest, laid over a front door's own settings."""

import copy
import hashlib
import json
import math
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from orchidhatch.control.schemas import InvalidRequestError, no_constant, no_repeats

MOST_TEXT = 5000  # bytes of a document, so that it fits a record of the list service
MOST_PLANS, MOST_BANNED = 40, 150
DIGEST = 16  # hex digits that name a document

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$")]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Customer = Annotated[str, Meta(pattern=r"^[0-9a-f]{16}$")]


class InvalidPolicyError(Exception):
    """A document that cannot be a policy; the text is one plain line with key and reason."""


class Form(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, rename="kebab"):
    pass


class Plan(Form):
    """A plan's quota, open cap and ceiling by the settings' names; 0 means none, as there."""

    name: Name
    units_per_s: Amount
    burst: Amount
    max_out: Annotated[int, Meta(ge=0, le=100_000)] = 0
    never_over_rate: Amount = 0.0
    hard_burst: Amount = 0.0

    def flaw(self) -> str:
        """Why no front door could hold it; "" if it could."""
        if not all(map(math.isfinite, (self.units_per_s, self.burst, self.never_over_rate, self.hard_burst))):
            return "units-per-s: a finite number is needed"
        if self.units_per_s and self.burst < 1:
            return "burst: under 1 it never holds a request"
        if self.burst and not self.units_per_s:
            return "units-per-s: is needed where there is a burst"
        if self.never_over_rate and self.never_over_rate < self.units_per_s:
            return f"never-over-rate: {self.never_over_rate:g} cannot carry the quota of {self.units_per_s:g}"
        if bool(self.never_over_rate) != bool(self.hard_burst):
            return "hard-burst: goes with never-over-rate"
        if self.hard_burst and self.hard_burst < 1:
            return "hard-burst: under 1 it never holds a request"
        return ""


class LatencyObjective(Form):
    """A class's times."""

    name: Name
    on_time_ms: Annotated[int, Meta(ge=1, le=3_600_000)]
    deadline_ms: Annotated[int, Meta(ge=1, le=3_600_000)]

    def flaw(self) -> str:
        return "" if self.on_time_ms <= self.deadline_ms else "deadline-ms: is before on-time-ms"


class Policy(Form):
    """All of it. `retired` names plans of the policy before that are meant to be gone."""

    plans: Annotated[tuple[Plan, ...], Meta(min_length=1, max_length=MOST_PLANS)]
    classes: Annotated[tuple[LatencyObjective, ...], Meta(max_length=MOST_PLANS)] = ()
    banned: Annotated[tuple[Customer, ...], Meta(max_length=MOST_BANNED)] = ()
    retired: Annotated[tuple[Name, ...], Meta(max_length=MOST_PLANS)] = ()

    def text(self) -> str:
        """The same for the same policy, however it was written."""
        return msgspec.json.encode(self, order="sorted").decode()

    def digest(self) -> str:
        return document_digest(self.text())


def document_digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST]


def parse_document(text: str, source: str) -> Policy:
    """A JSON document, or a TOML one where the source's name says so."""
    try:
        if len(text.encode()) > MOST_TEXT:
            raise ValueError(f"is longer than {MOST_TEXT} bytes")
        values = (
            tomllib.loads(text)
            if source.endswith(".toml")
            else json.loads(text, parse_constant=no_constant, object_pairs_hook=no_repeats)
        )
        policy = msgspec.convert(values, Policy)
    except (
        ValueError,
        RecursionError,
        InvalidRequestError,
    ) as error:  # msgspec's, tomllib's, json's are ValueErrors
        raise InvalidPolicyError(f"{source}: {' '.join(str(error).split()):.200}") from error
    for what, named in (("plans", policy.plans), ("classes", policy.classes)):
        names = [one.name for one in named]
        if len(set(names)) < len(names):
            raise InvalidPolicyError(f"{source}: {what}: a name is given twice")
        for one in named:
            if flaw := one.flaw():
                raise InvalidPolicyError(f"{source}: {what}.{one.name}.{flaw}")
    if len(policy.text().encode()) > MOST_TEXT:
        raise InvalidPolicyError(f"{source}: is longer than {MOST_TEXT} bytes")
    return policy


def read_document_file(path: Path) -> Policy:
    try:
        return parse_document(path.read_text(), path.name)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidPolicyError(f"{path.name}: {' '.join(str(error).split()):.200}") from error


def check_after(policy: Policy, before: Policy | None, source: str) -> None:
    """A InvalidPolicyError where customers of the policy before would be left without their plan."""
    names = {plan.name for plan in policy.plans}
    for plan in before.plans if before else ():
        if plan.name not in names and plan.name not in policy.retired:
            raise InvalidPolicyError(
                f"{source}: plans.{plan.name}: its customers would have none; "
                "name it in `retired` if that is meant"
            )
    for name in policy.retired:
        if name in names:
            raise InvalidPolicyError(f"{source}: retired: {name} is a plan here")


def differences(before: Mapping[str, Any], after: Mapping[str, Any], path: str = "") -> Iterator[str]:
    """What changes from one document to the other, a line each."""
    for key in sorted({*before, *after}):
        old, new, at = before.get(key), after.get(key), f"{path}{key}"
        if named(old) or named(new):
            yield from differences(by_name(old or ()), by_name(new or ()), f"{at}.")
        elif isinstance(old, dict) and isinstance(new, dict):
            yield from differences(old, new, f"{at}.")
        elif old != new:
            yield f"{at}: {shown(old)} -> {shown(new)}"


def named(value: object) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def by_name(values: Any) -> dict[str, Any]:  # noqa: ANN401 - parts of a document
    return {value["name"]: {key: value[key] for key in value if key != "name"} for value in values}


def shown(value: object) -> str:
    return "-" if value in (None, "", []) else json.dumps(value)


def apply_policy(settings: Mapping[str, Any], policy: Policy) -> dict[str, Any]:
    """A front door's settings by the policy: what it does not name stays; who it retires is gone. The order
    of what stays is kept, as words between doors name plans by it."""
    made = copy.deepcopy(dict(settings))
    plans = {plan["name"]: plan for plan in made["plans"] if plan["name"] not in policy.retired}
    for plan in policy.plans:
        plans.setdefault(plan.name, {}).update(msgspec.to_builtins(plan))
    made["plans"] = list(plans.values())
    classes = {one["name"]: one for one in made["categories"]}
    for aim in policy.classes:
        if aim.name not in classes:
            raise InvalidPolicyError(f"classes.{aim.name}: the front door knows no such class")
        classes[aim.name] |= {"on-time-us": aim.on_time_ms * 1000, "deadline-us": aim.deadline_ms * 1000}
    made["banned"] = list(policy.banned)
    return made
