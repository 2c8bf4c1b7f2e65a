"""All checks over the events of one trial, and the verdict."""

import sqlite3

from orchidhatch.faults.invariants import (
    answers,
    attempts,
    drains,
    endpoint_list,
    measurements,
    ownership,
    policies,
    processes,
    quotas,
    requests,
)
from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.violations import Verdict
from orchidhatch.faults.plan import Plan

CHECKS = (
    processes.check_exits,
    answers.check_answers,
    attempts.check_attempts,
    drains.check_drains,
    quotas.check_open_caps,
    quotas.check_ceilings,
    endpoint_list.check_writes,
    endpoint_list.check_generations,
    processes.check_commands,
    ownership.check_owners,
    ownership.check_effects,
    ownership.check_tasks,
    policies.check_policies,
    policies.check_promises,
    requests.check_stated_deadlines,
    requests.check_departed_clients,
    requests.check_repeats,
    requests.check_guards,
    requests.check_incomplete_clients,
    requests.check_slow_start,
    measurements.check_served,
)
"""Each takes a trial's record and yields its violations, in the order in which they are reported."""


def check_trial(db: sqlite3.Connection, plan: Plan) -> tuple[Verdict, TrialRecord]:
    """Run all checks over the events of a trial; the verdict, and the record that it was read from."""
    trial = TrialRecord(db, plan)
    verdict = Verdict(figures=trial.figures)
    measurements.measure_machine(trial, verdict)
    for check in CHECKS:
        verdict.violations += check(trial)
    ownership.measure_ownerless_times(trial)
    measurements.measure_service(trial)
    return verdict, trial
