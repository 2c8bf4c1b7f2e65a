"""Time limits that bound how long a gateway may admit requests after its policy lease was last renewed.

All are in seconds. Each of them bounds one delay from the last renewal of the lease to the point where the
gateway admits no more requests. Policy changes rely on their sum, with a clock tolerance: ABSENT_AFTER_S.
"""

# How long a renewal permits the gateway to serve, counted from when the renewal was sent.
LEASE_S = 3.0
RENEWALS_PER_LEASE = 4
# How long a restarted agent waits for a registry before it takes its gateway out of service.
AGENT_START_GRACE_S = 1.0
# A gateway suspends admission if its agent is silent for this long; an endpoint watch has a line every 2 s.
AGENT_SILENCE_LIMIT_S = 5.0
# A gateway suspends admission if its event loop has stalled for this long.
STALL_LIMIT_S = 1.0
# How long after the activation time a gateway that still has the previous policy suspends admission.
SWITCH_MARGIN_S = 0.3
# From the management call that takes a gateway out of service until the gateway admits no requests: 1 s for
# the call and 1.5 s for the gateway to drain.
DRAIN_LIMIT_S = 2.5
# By which factor one machine's clock may run faster than another's.
CLOCK_RATE_TOLERANCE = 1.05
# No gateway admits a request this long after its last renewal, even if the gateway, its agent or the
# connection between them was stopped, killed or cut off.
ABSENT_AFTER_S = CLOCK_RATE_TOLERANCE * (
    LEASE_S + AGENT_START_GRACE_S + AGENT_SILENCE_LIMIT_S + STALL_LIMIT_S + DRAIN_LIMIT_S
)
# From a decision to its activation time; until then a gateway that it has not reached may still serve.
ACTIVATION_DELAY_S = ABSENT_AFTER_S
