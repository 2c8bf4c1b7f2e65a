"""Phrases in error texts by which a client, possibly of another version, recognizes the cause.

These phrases must not change; the rest of an error text is for people only.
"""

CLAIM_SIGN = "claim "  # a fence rejected the request: its sender has lost the claim
OTHER_INCARNATION_SIGN = "another life"  # another process uses the same name: register again
READ_ONLY_SIGN = "takes no writes"  # a replica: ask another registry
FENCED_SIGN = "fenced"  # this registry was replaced: ask another one
NOT_WRITABLE_SIGNS = (READ_ONLY_SIGN, FENCED_SIGN)
