"""Parses settings and load reports from the texts of the simulator, the configuration file and servers."""

import math
from collections.abc import Iterable, Mapping

from orchidhatch.gateway.attempts import LoadReport
from orchidhatch.gateway.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

ABSENT = "-"
"""The text that stands for an absent value."""

DEFAULT_IDLE_US = 30_000_000

IDEMPOTENCIES = {
    "read_like": Idempotency.SAFE,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.UNSAFE,
}
# The fields of a load report by the names that the simulator uses, and by those that servers use.
REPORT_FIELDS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "inflight": "inflight",
    "queue": "queue",
    "util": "util",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}


class SettingTexts:
    """The settings of a gateway as texts by path; unknown paths are ignored."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str = "") -> str:
        """Return the text at the path, or the default if it is absent."""
        value = self.values.get(path, ABSENT)
        return default if value == ABSENT else value

    def number(self, path: str, default: float = 0.0) -> float:
        """Return the finite number at the path. Raises ValueError for any other text."""
        text = self.text(path, str(default))
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            raise ValueError(f"{path} is '{text:.40}', expected a finite number")
        return value

    def whole(self, path: str, default: int = 0) -> int:
        """Return the number at the path, truncated to an integer. Raises ValueError for any other text."""
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        """Return whether the text at the path is "true" or "1"."""
        return self.text(path, "false") in ("true", "1")


def read_class(texts: SettingTexts, prefix: str) -> RequestClass:
    """Return the request class whose settings paths start with `prefix`."""
    return RequestClass(
        latency_objective_us=texts.whole(f"{prefix}.on-time-us"),
        deadline_us=texts.whole(f"{prefix}.deadline-us"),
        priority_weight=texts.number(f"{prefix}.points", 1.0),
        late_priority_weight=texts.number(f"{prefix}.late-worth"),
        idempotency=IDEMPOTENCIES[texts.text(f"{prefix}.idempotency", "read_like")],
        dedup_scope=DeduplicationScope(texts.text(f"{prefix}.group", "all")),
        dedup_window_us=texts.whole(f"{prefix}.window-us"),
        streamed=texts.flag(f"{prefix}.streamed"),
    )


def read_plan(texts: SettingTexts, prefix: str) -> Plan:
    """Return the plan whose settings paths start with `prefix`."""
    return Plan(
        rate=texts.number(f"{prefix}.units-per-s"),
        burst=texts.number(f"{prefix}.burst"),
        max_in_flight=texts.whole(f"{prefix}.max-out"),
        priority_factor=texts.number(f"{prefix}.value-factor", 1.0),
        over_quota_weight=texts.number(f"{prefix}.extra-worth"),
        over_quota_cost=texts.number(f"{prefix}.overrun-cost"),
        ceiling_rate=texts.number(f"{prefix}.never-over-rate"),
        ceiling_burst=texts.number(f"{prefix}.hard-burst"),
        ceiling_slack=texts.number(f"{prefix}.hard-slack"),
    )


def read_settings(seed: int, texts: SettingTexts) -> Settings:
    """Return a gateway's settings. Raises ValueError or KeyError for an invalid value."""
    classes = range(texts.whole("categories.count"))
    plans = range(texts.whole("plans.count"))
    return Settings(
        seed=seed,
        gateway_index=texts.whole("me"),
        gateway_count=texts.whole("balancers", 1),
        classes=tuple(read_class(texts, f"categories.{number}") for number in classes),
        plans=tuple(read_plan(texts, f"plans.{number}") for number in plans),
        zone=texts.whole("zone"),
        max_attempts=texts.whole("ceilings.max-attempts", 1),
        max_retry_after_us=(
            texts.whole("ceilings.max-retry-after-us") if texts.flag("ceilings.retry-after") else 0
        ),
        may_hedge=texts.flag("ceilings.parallel-tries"),
        may_probe=texts.flag("ceilings.may-probe"),
        may_cancel=texts.flag("ceilings.may-cancel"),
        may_gossip=texts.flag("ceilings.peers"),
        may_use_counter=texts.flag("extra.counter"),
        must_subscribe=texts.text("registry-mode") == "subscribe",
        settles_units=texts.flag("extra.trued-up"),
        peer_messages_per_s=texts.number("extra.mail-per-s"),
        cross_zone_price=texts.number("prices.cross-zone"),
        waste_price=texts.number("prices.waste"),
        late_fail_price=texts.number("prices.late-fail"),
        message_price=texts.number("prices.peer"),
        probe_price=texts.number("prices.probe"),
        answer_grace_us=texts.whole("obligations.grace-to-answer-us"),
        poll_within_us=texts.whole("obligations.ask-within-us"),
        cold_capacity=texts.number("obligations.cold-from", 1.0),
        warm_up_us=texts.whole("obligations.warm-within-us"),
        overload_multiple=texts.number("obligations.fall-multiple", 1.0),
        overload_time_us=texts.whole("obligations.fall-us", 1),
        conn_idle_us=texts.whole("ceilings.conn-idle-us", DEFAULT_IDLE_US),
        banned_customers=frozenset(filter(None, texts.text("banned").split(","))),
    )


def read_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """Return a load report from names and values; unknown names and absent values are skipped.

    Raises ValueError if a value is not a number.
    """
    return LoadReport(
        **{
            REPORT_FIELDS[name]: float(value)
            for name, value in values
            if name in REPORT_FIELDS and value not in ("", "-")
        }
    )
