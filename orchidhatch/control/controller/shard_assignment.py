"""Which holder is to own which shard: evenly, without coordination, with few moves as holders come and go.

Rendezvous hashing with bounded load: each shard ranks the holders by a hash of both, and goes to the first of
them that has capacity, which is the mean number of shards, rounded up.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence


def rank(shard: str, holder: str) -> bytes:
    """How much a shard prefers a holder; the lowest comes first."""
    return hashlib.blake2b(f"{shard} {holder}".encode(), digest_size=8).digest()


def ranked_holders(shard: str, holders: Iterable[str]) -> list[str]:
    """The holders in the shard's order of preference."""
    return sorted(holders, key=lambda holder: rank(shard, holder))


def assign_shards(
    shards: Iterable[str], holders: Sequence[str], excluded: Mapping[str, str] | None = None
) -> dict[str, str]:
    """The owner of each shard; empty where there are no holders. Whoever knows the same computes the same.

    `excluded` has a holder by shard that the shard does not go to, unless it is the only one.
    """
    excluded = excluded or {}
    names = sorted(set(holders))
    if not names:
        return {}
    preferences = {shard: ranked_holders(shard, names) for shard in sorted(shards)}
    capacity = -(-len(preferences) // len(names))
    load: Counter[str] = Counter()
    owners: dict[str, str] = {}
    # The shards whose first choice is clearest come first: those that overflow are then the least particular.
    for shard in sorted(preferences, key=lambda shard: rank(shard, preferences[shard][0])):
        ranked = preferences[shard]
        candidates = [name for name in ranked if name != excluded.get(shard)] or ranked
        owner = next((name for name in candidates if load[name] < capacity), candidates[0])
        load[owner] += 1
        owners[shard] = owner
    return owners
