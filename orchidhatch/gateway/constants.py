"""Constants that several components of the decision core share."""

from orchidhatch.gateway.times import S

TICK_US = 20_000
"""The interval at which queued requests are checked: a small fraction of any latency objective."""

CALL_CONTROL_PERIOD_US = S
"""The paper's CCperiod, of which a control period has one or more (Somoza, section 2)."""

MAX_CALL_CONTROL_PERIODS = 2
"""Maximum number of call control periods in a control period."""

MAX_CONTROL_PERIOD_US = MAX_CALL_CONTROL_PERIODS * CALL_CONTROL_PERIOD_US

ATTEMPTS_PER_SERVER = 8
"""Attempts of all gateways per usable server: the limit in flight, and N per second when it engages."""

MIN_IN_FLIGHT_LIMIT = 2
"""Lower bound of a gateway's limit of attempts in flight, however many gateways share the servers."""
