"""Which holder owns which shard."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.control.controller.shard_assignment import assign_shards
from orchidhatch.control.controller.shards import SHARDS


@given(st.integers(1, 40), st.integers(0, 2**32))
def test_shares_stay_even_and_few_shards_move(count: int, seed: int) -> None:
    """As holders come and go."""
    generator = random.Random(seed)
    all_holders = [f"controller-{generator.getrandbits(32):x}" for _ in range(count + 1)]
    some_holders = all_holders[:count]
    before = assign_shards(SHARDS, some_holders)
    after = assign_shards(SHARDS, all_holders)
    for owners, holders in ((before, some_holders), (after, all_holders)):
        assert set(owners) == set(SHARDS) and set(owners.values()) <= set(holders)
        assert max(Counter(owners.values()).values()) <= -(-len(SHARDS) // len(holders))
    if count > 1:  # what the new holder takes over, and what moves as the capacity of each shrinks
        assert sum(before[shard] != after[shard] for shard in SHARDS) <= len(SHARDS) * 2 / 3
    assert assign_shards(reversed(SHARDS), all_holders[::-1]) == after
    first_two = all_holders[:2]
    other = all_holders[1] if len(set(first_two)) > 1 else all_holders[0]
    assert assign_shards(SHARDS, first_two, dict.fromkeys(SHARDS, all_holders[0])) == dict.fromkeys(
        SHARDS, other
    )
