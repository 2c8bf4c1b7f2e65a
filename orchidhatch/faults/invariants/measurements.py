"""Figures of a trial: how fast the machine was, and what clients got."""

from collections import Counter
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

from orchidhatch.faults.invariants.trial_record import TrialRecord
from orchidhatch.faults.invariants.violations import Verdict, Violation

SERVED_CHECK = "served"
MAX_LATE_SEND_MS = 150.0
"""Of the load's sends, in the 99th percentile: past this the machine was too slow for a verdict."""
MAX_LATE_RELAY_MS = 250.0
"""For which the loop of all links stood still: past this the machine was too slow for a verdict."""
MAX_LATENCY_US = 60_000_000
LATENCY_DIGITS = 3


def measure_machine(trial: TrialRecord, verdict: Verdict) -> None:
    """Say in the verdict whether the machine was fast enough, and what could not be carried out."""
    for event in trial.events("shim"):
        if not event.payload["built"]:
            verdict.skipped.append("no C compiler here: no system call was made to fail")
    for event in trial.events("relay"):
        for name, value in event.payload.items():
            if name != "ticks":
                trial.figures[f"relay_late_{name}"] = round(value, 3)
        if event.payload["most_ms"] > MAX_LATE_RELAY_MS:
            verdict.too_slow.append(f"the relays' loop stood still for {event.payload['most_ms']:.0f} ms")
    late_ms = sorted(sent.payload["late_us"] / 1000 for sent in trial.requests.values())
    if not late_ms:
        return
    p99_ms = late_ms[len(late_ms) * 99 // 100]
    trial.figures["send_late_median_ms"] = late_ms[len(late_ms) // 2]
    trial.figures["send_late_p99_ms"] = p99_ms
    trial.figures["send_late_most_ms"] = late_ms[-1]
    if p99_ms > MAX_LATE_SEND_MS:
        verdict.too_slow.append(f"one send in a hundred was late by {p99_ms:.0f} ms")


def measure_service(trial: TrialRecord) -> None:
    """Measure what clients got, and how soon."""
    outcomes = Counter(answers[0].payload["how"] for answers in trial.answers.values())
    latencies = latency_histogram(trial)
    sent = max(1, len(trial.requests))
    trial.figures |= {
        "asked": len(trial.requests),
        "attempts": len(trial.attempts),
        "served_share": round(outcomes["served"] / sent, 4),
        "busy_share": round(outcomes["busy"] / sent, 4),
        "failed_share": round(outcomes["failed"] / sent, 4),
        "closed": outcomes["closed"],
        "unsent": outcomes["unsent"],
        "faults": len(trial.events("fault")),
        "injected_calls": sum(event.payload["count"] for event in trial.events("injected")),
        "left": outcomes["left"],
        "odd_clients": len(trial.events("odd")),
        "spoilt_answers": len(trial.events("spoilt")),
        "p50_ms": latencies.get_value_at_percentile(50) / 1000,
        "p99_ms": latencies.get_value_at_percentile(99) / 1000,
    }


def latency_histogram(trial: TrialRecord) -> HdrHistogram:
    """The times to an answer of the requests that were served, in microseconds."""
    latencies = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)
    for request, answers in trial.answers.items():
        answer = answers[0]
        if answer.payload["how"] == "served" and request in trial.requests:
            latency_us = (answer.at_ns - trial.requests[request].at_ns) // 1000
            latencies.record_value(max(1, latency_us))
    return latencies


def check_served(trial: TrialRecord) -> Iterator[Violation]:
    """As many requests are served as the plan wants."""
    if not trial.requests:
        return
    served = sum(answers[0].payload["how"] == "served" for answers in trial.answers.values())
    share = served / len(trial.requests)
    wanted = trial.plan.holds.served
    if share < wanted:
        text = f"{share:.3f} of the requests were served; the plan wants {wanted:g}"
        yield Violation(SERVED_CHECK, "trial", text)
