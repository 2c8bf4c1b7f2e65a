"""Phrases in error texts that a process on the other end, also of another version, acts by.

They must stay in these texts; the rest of a text is for people only.
"""

CLAIM_SIGN = "claim "  # a fence holds: whoever asked has lost the claim
OTHER_INCARNATION_SIGN = "another life"  # another process runs under the same name: register again
READ_ONLY_SIGN = "takes no writes"  # a replica: ask another registry
FENCED_SIGN = "fenced"  # this registry was replaced: ask another one
NOT_WRITABLE_SIGNS = (READ_ONLY_SIGN, FENCED_SIGN)
