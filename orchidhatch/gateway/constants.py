"""Constants that several components of the decision core share."""

from orchidhatch.gateway.times import S

TICK_US = 20_000
"""How often queued requests are looked at: a small part of any latency objective."""

CALL_CONTROL_PERIOD_US = S
"""CCperiod, of which a control period has one or more (Somoza, section 2)."""

MAX_CALL_CONTROL_PERIODS = 2
"""Call control periods that a control period may have."""

MAX_CONTROL_PERIOD_US = MAX_CALL_CONTROL_PERIODS * CALL_CONTROL_PERIOD_US

ATTEMPTS_PER_SERVER = 8
"""Attempts of all gateways per usable server: in flight at most, and admitted a second when N engages."""

MIN_IN_FLIGHT_LIMIT = 2
"""A gateway's limit of attempts in flight is never lower, however many gateways share the servers."""
