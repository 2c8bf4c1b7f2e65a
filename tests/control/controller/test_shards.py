"""How controllers share the shards out among themselves."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from orchidhatch.control.controller.shard_assignment import assign_shards
from orchidhatch.control.controller.shards import SHARDS, OwnedShards
from orchidhatch.control.registry.service import Registry
from tests.control.controller.helpers import new_controller, start_controller
from tests.control.registry.helpers import address_of
from tests.control.test_cli import client
from tests.sockets import refusing_address


async def test_release_without_reply_is_repeated_before_a_take(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    async with running_registry() as registry:
        first = await start_controller(registry, "controller-1")
        second = await start_controller(registry, "controller-2")
        assert not second.owned_shards.names()  # nothing is free yet

        owners = assign_shards(SHARDS, [first.session.holder, second.session.holder])
        shard = next(shard for shard, owner in owners.items() if owner == second.session.holder)
        first.registry_client.registries = [refusing_address()]
        await first.balancer.release(shard, first.owned_shards.epoch_of(shard))
        first.registry_client.registries = [address_of(registry)]
        first.registry_client.current_index = 0
        assert registry.store.claims_table.claims[shard].holder == first.session.holder

        await first.balancer.rebalance()
        await second.balancer.rebalance()
        assert not first.owned_shards.names() & second.owned_shards.names()
        assert first.owned_shards.names() | second.owned_shards.names() == set(SHARDS)
        assert len(first.owned_shards) == len(second.owned_shards) == len(SHARDS) // 2
        holders = {claim.name: claim.holder for claim in registry.store.claims_table.claims.values()}
        assert all(holders[shard] == second.session.holder for shard in second.owned_shards.names())


async def test_handed_over_shard_stays_with_its_controller(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    async with running_registry() as registry:
        first = await start_controller(registry, "controller-1")
        second = await start_controller(registry, "controller-2")
        await first.balancer.rebalance()
        await second.balancer.rebalance()
        shard = min(second.owned_shards.names())
        status, output, _ = await client(address_of(registry), "hand-over", shard, "controller-1")
        assert status == 0 and "from controller-2 to controller-1" in output
        for controller in (second, first, second, first):
            await controller.session.renew()
            await controller.balancer.rebalance()
        assert shard in first.owned_shards and shard not in second.owned_shards


async def test_rebalance_without_a_session_takes_nothing(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    async with running_registry() as registry:
        controller = new_controller(registry, "controller-1")
        await controller.balancer.rebalance()
        assert not controller.owned_shards.names() and not registry.store.claims_table.claims


async def test_suspended_shard_is_not_released(
    running_registry: Callable[[], AbstractAsyncContextManager[Registry]],
) -> None:
    async with running_registry() as registry:
        first = await start_controller(registry, "controller-1")
        owners = assign_shards(SHARDS, ["controller-1", "controller-2"])
        suspended, other = [shard for shard, owner in owners.items() if owner == "controller-2"][:2]
        assert (await client(address_of(registry), "hold", suspended))[0] == 0
        second = await start_controller(registry, "controller-2")
        await first.balancer.rebalance()
        await second.balancer.rebalance()
        assert suspended in first.owned_shards and suspended not in second.owned_shards
        assert other not in first.owned_shards and other in second.owned_shards


def test_owned_shard_without_its_epoch_is_dropped() -> None:
    """The registry has it at another epoch, or not at all."""
    owned = OwnedShards()
    for number, shard in enumerate(SHARDS[:3]):
        owned.add(shard, epoch=number)
    owned.session_renewed({SHARDS[0]: 0, SHARDS[1]: 9})
    assert owned.names() == {SHARDS[0]} and owned.epoch_of(SHARDS[1]) is None
