"""The times that a change of policy rests on, in seconds, and what each of them is for."""

LEASE_S = 3.0  # from a renewal's sending: for so long a door may serve by what its answer said
RENEWALS = 4  # in the time of a lease
GRACE_S = 1.0  # for an agent that was started anew to hear the list service before it holds its door out
SILENT_S = 5.0  # of its agent, after which a door bars itself: its watch has a line every 2 s
LAPSE_S = 1.0  # that a door may have stood still for without barring itself
LATE_S = 0.3  # after the moment a door that was put under no other policy bars itself
EMPTY_S = 2.5  # from the call that holds a door out until it lets nobody in: 1 s for the call, 1.5 s to empty
DRIFT = 1.05  # clocks that differ in their pace
# After so long without a renewal no door lets anybody in, whether it, its agent, or the way between them was
# stopped, killed or cut off; and so from a decision to its moment.
OUT_S = DRIFT * (LEASE_S + GRACE_S + SILENT_S + LAPSE_S + EMPTY_S)
