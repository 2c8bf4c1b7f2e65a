"""Requests to a customer's quota leader: how long a reply is awaited, and how often it is asked."""

from orchidhatch.gateway.times import S

LEADER_REPLY_TIMEOUT_US = 80_000
"""How long a reply of the quota leader is awaited, and how long a granted slot may stay unused."""

MAX_LEADER_REQUESTS = 2
"""How often a grant or a slot is requested before the leader counts as silent."""

LEADER_ANSWER_TTL_US = 10 * S
"""For how long an answer of the quota leader is used."""
