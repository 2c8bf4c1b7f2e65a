"""The units and figures that more than one component of the decision core goes by."""

from orchidhatch.gateway.times import S

TICK_US = 20_000  # how often held requests and words are looked at: well under any aim
CC_PERIOD_US, MOST_PERIODS = S, 2  # the Call Control Period, and how many of them an OPPUI may be
# For each ready server, by all gateways: attempts a second when the cap engages, and out at once ever.
START_PER_SERVER, LEAST_OUT = 8, 2  # the second: for one gateway in any case
SMOOTH = 0.1  # weight of a new latency in a running mean
