"""Assignment of shards to holders: even, without coordination, and with few moves as holders come and go.

This is rendezvous hashing with bounded load. Each shard ranks the holders by a hash of shard and holder, and
is assigned to the first one below its capacity, which is the mean number of shards per holder, rounded up.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence


def rank(shard: str, holder: str) -> bytes:
    """Return a shard's rank of a holder; the lowest is preferred."""
    return hashlib.blake2b(f"{shard} {holder}".encode(), digest_size=8).digest()


def ranked_holders(shard: str, holders: Iterable[str]) -> list[str]:
    """Return the holders in the shard's order of preference."""
    return sorted(holders, key=lambda holder: rank(shard, holder))


def assign_shards(
    shards: Iterable[str], holders: Sequence[str], excluded: Mapping[str, str] | None = None
) -> dict[str, str]:
    """Return the owner of each shard, or an empty dict if there are no holders.

    All controllers compute the same result from the same arguments. `excluded` maps a shard to a holder that
    it is not assigned to unless there is no other one.
    """
    excluded = excluded or {}
    holder_names = sorted(set(holders))
    if not holder_names:
        return {}
    preferences = {shard: ranked_holders(shard, holder_names) for shard in sorted(shards)}
    capacity = -(-len(preferences) // len(holder_names))
    load: Counter[str] = Counter()
    owners: dict[str, str] = {}
    # Shards with the strongest first preference come first, so that those with the weakest one overflow.
    for shard in sorted(preferences, key=lambda shard: rank(shard, preferences[shard][0])):
        ranked = preferences[shard]
        candidates = [name for name in ranked if name != excluded.get(shard)] or ranked
        owner = next((name for name in candidates if load[name] < capacity), candidates[0])
        load[owner] += 1
        owners[shard] = owner
    return owners
