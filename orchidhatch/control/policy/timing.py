"""Time limits that a policy change relies on: how long a gateway may go on admitting without its lease.

All are seconds. Each bounds one delay between the moment a gateway's lease can no longer be renewed and the
moment it admits no request; their sum is ABSENT_AFTER_S.
"""

# From the sending of a renewal: how long its answer entitles the gateway to serve.
LEASE_S = 3.0
RENEWALS_PER_LEASE = 4
# For an agent that was restarted: it waits so long for a registry before it takes its gateway out of service.
AGENT_START_GRACE_S = 1.0
# Where its agent is silent, a gateway suspends admission; its endpoint watch has a line every 2 s.
AGENT_SILENCE_LIMIT_S = 5.0
# How long a gateway's event loop may have stalled before it suspends admission.
STALL_LIMIT_S = 1.0
# After the activation time: when a gateway that was given no other policy suspends admission.
SWITCH_MARGIN_S = 0.3
# From the management call that takes a gateway out of service until it admits nobody: 1 s for the call and
# 1.5 s for the gateway to drain.
DRAIN_LIMIT_S = 2.5
# How much faster one machine's clock may run than another's.
CLOCK_RATE_TOLERANCE = 1.05
# So long after its last renewal no gateway admits a request, whether it, its agent or the connection between
# them was stopped, killed or cut off.
ABSENT_AFTER_S = CLOCK_RATE_TOLERANCE * (
    LEASE_S + AGENT_START_GRACE_S + AGENT_SILENCE_LIMIT_S + STALL_LIMIT_S + DRAIN_LIMIT_S
)
# From a decision to its activation time: until then a gateway that it has not reached may still serve.
ACTIVATION_DELAY_S = ABSENT_AFTER_S
