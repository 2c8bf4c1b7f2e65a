"""Which holder is to own which shard: even, without talking, and with few moves as holders come and go.

Rendezvous hashing with bounded load: each shard ranks the holders by a digest of both, and goes to the first
of them that has room, which is the mean share, rounded up.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence


def rank(shard: str, holder: str) -> bytes:
    return hashlib.blake2b(f"{shard} {holder}".encode(), digest_size=8).digest()


def assign_shards(
    shards: Iterable[str], holders: Sequence[str], barred: Mapping[str, str] | None = None
) -> dict[str, str]:
    """The owner of each shard; none where there are no holders. `barred`: a holder that a shard does not go
    to, unless it is the only one. The same for whoever knows the same."""
    shards, barred, names = sorted(shards), barred or {}, sorted(set(holders))
    if not names:
        return {}
    room = -(-len(shards) // len(names))
    load: Counter[str] = Counter()
    owners: dict[str, str] = {}
    # The shards whose first choice is clearest come first: what is moved on is then what cares least.
    wishes = [(shard, sorted(names, key=lambda name: rank(shard, name))) for shard in shards]
    for shard, wish in sorted(wishes, key=lambda pair: rank(pair[0], pair[1][0])):
        open_to = [name for name in wish if name != barred.get(shard)] or wish
        owner = next((name for name in open_to if load[name] < room), open_to[0])
        load[owner] += 1
        owners[shard] = owner
    return owners
