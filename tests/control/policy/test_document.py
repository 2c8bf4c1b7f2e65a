"""Policy documents: which are valid, how they are named, and how one is applied."""

import json
from typing import Any

import pytest

from orchidhatch.control.policy.display import print_differences
from orchidhatch.control.policy.document import (
    InvalidPolicyError,
    apply_policy,
    check_successor,
    document_differences,
    document_digest,
    parse_document,
)
from tests.control.policy.helpers import DIGEST_A, DIGEST_B, DOCUMENT_A, DOCUMENT_B, LOW_BURST, PLAN


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"plans": []}, "plans"),
        ({"plans": [PLAN, PLAN]}, "used more than once"),
        ({"colour": 1}, "colour"),
        ({"plans": [{**PLAN, "units-per-s": -1}]}, "units-per-s"),
        ({"plans": [{**PLAN, "burst": 0.5}]}, "burst"),
        ({"plans": [{**PLAN, "rate": 1}]}, "rate"),
        ({"plans": [{**PLAN, "units-per-s": "10"}]}, "units-per-s"),
        ({"plans": [{**PLAN, "never-over-rate": 5, "hard-burst": 5}]}, "is below the quota"),
        ({"plans": [{**PLAN, "never-over-rate": 50}]}, "hard-burst"),
        ({"banned": ["b4d6"]}, "banned"),
        ({"plans": [{**PLAN, "units-per-s": 0}]}, "is required if"),
        ({"banned": ["0" * 16] * 151}, "banned"),
        (
            {"classes": [{"name": "read", "on-time-ms": 9, "deadline-ms": 5}]},
            "must not be less than on-time-ms",
        ),
        ({"plans": [{**PLAN, "name": "x" * 41}]}, "name"),
        ({"plans": {"stor": PLAN}}, "plans"),
    ],
)
def test_invalid_document_is_rejected_by_key_and_reason(change: Any, reason: str) -> None:  # noqa: ANN401
    with pytest.raises(InvalidPolicyError, match=reason) as error:
        parse_document(json.dumps({**LOW_BURST, **change}), "p.json")
    assert "\n" not in str(error.value) and str(error.value).startswith("p.json: ")


@pytest.mark.parametrize(
    "text",
    [
        '{"plans": [{"name": "a", "units-per-s": NaN, "burst": 1}]}',
        '{"plans": 1, "plans": 2}',
        "[" * 100_000,
        '{"plans": [{"name": "a", "units-per-s": 1e999, "burst": 1}]}',
        "x" * 9000,
        "\x00",
        "\ud800",
    ],
)
def test_text_of_no_document_is_rejected(text: str) -> None:
    for source in ("p.json", "p.toml"):
        with pytest.raises(InvalidPolicyError, match=source):
            parse_document(text, source)


def test_equal_documents_have_one_digest() -> None:
    toml = '[[plans]]\nburst = 20\nname = "stor"\n"units-per-s" = 10\n'
    assert parse_document(toml, "p.toml").digest() == DIGEST_A == document_digest(DOCUMENT_A) != DIGEST_B


def test_applied_policy_changes_only_what_it_names() -> None:
    document = {
        "plans": [{**PLAN, "name": "new"}, PLAN],
        "retired": ["old"],
        "banned": ["0" * 16],
        "classes": [{"name": "read", "on-time-ms": 5, "deadline-ms": 9}],
    }
    policy = parse_document(json.dumps(document), "p.json")
    settings = {
        "me": 3,
        "plans": [
            {"name": "old", "burst": 1},
            {"name": "stor", "burst": 9, "overrun-cost": 0.8},
            {"name": "kept", "burst": 2},
        ],
        "categories": [{"name": "read", "points": 2.0, "on-time-us": 1, "deadline-us": 1}],
    }
    applied = apply_policy(settings, policy)
    assert [plan["name"] for plan in applied["plans"]] == ["stor", "kept", "new"] and applied["me"] == 3
    assert applied["plans"][0]["burst"] == 20 and applied["plans"][0]["overrun-cost"] == 0.8
    assert settings["plans"][1]["burst"] == 9
    read_class = {"name": "read", "points": 2.0, "on-time-us": 5000, "deadline-us": 9000}
    assert applied["categories"] == [read_class]
    assert applied["banned"] == ["0" * 16]
    with pytest.raises(InvalidPolicyError, match="no such class"):
        apply_policy({**settings, "categories": []}, policy)


def test_successor_must_retire_a_plan_it_drops() -> None:
    before = parse_document(DOCUMENT_A, "p.json")
    after = parse_document(DOCUMENT_A.replace("stor", "other"), "p.json")
    with pytest.raises(InvalidPolicyError, match="stor: its customers"):
        check_successor(after, before, "p.json")
    document = json.loads(DOCUMENT_A.replace("stor", "other"))
    retiring = parse_document(json.dumps({**document, "retired": ["stor"]}), "p.json")
    check_successor(retiring, before, "p.json")
    check_successor(after, None, "p.json")


def test_successor_must_not_retire_a_plan_it_has() -> None:
    policy = parse_document(json.dumps({**LOW_BURST, "retired": ["stor"]}), "p.json")
    with pytest.raises(InvalidPolicyError, match="retired: stor is still a plan of the document"):
        check_successor(policy, None, "p.json")


def test_differences_name_the_plan_and_the_key() -> None:
    lines = list(document_differences(json.loads(DOCUMENT_A), json.loads(DOCUMENT_B)))
    assert lines == ["plans.stor.burst: 20.0 -> 40.0"]


def test_differences_of_policies_name_the_plan_and_the_key(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against whole lists of plans where one has changed: policies hold tuples, not lists."""
    print_differences(parse_document(DOCUMENT_A, "a.json"), parse_document(DOCUMENT_B, "b.json"))
    assert capsys.readouterr().out == "plans.stor.burst: 20.0 -> 40.0\n"
