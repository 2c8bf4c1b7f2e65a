"""Plans of trials, and the scripts that seeds draw from them."""

from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidhatch.faults import load
from orchidhatch.faults import plan as plans

ROOT = Path(__file__).parents[2]


@given(st.integers(0, 2**64))
def test_seed_determines_faults_and_arrivals(seed: int) -> None:
    plan = plans.read_plan(ROOT / "trials/words.toml")
    script = plans.draw(plan, seed)
    assert script == plans.draw(plan, seed) != plans.draw(plan, seed + 1)
    assert len(script.faults) == len(plan.faults) + plan.chance.count
    assert [fault.at for fault in script.faults] == sorted(fault.at for fault in script.faults)
    assert msgspec.json.decode(msgspec.json.encode(script), type=plans.Script) == script
    for fault in script.faults:
        names = plan.links() if fault.kind in plans.LINK_KINDS else plan.processes()
        assert plans.matching(fault.who, names)
    some = msgspec.structs.replace(plan.load, customers=plan.load.customers[1:])
    requests = load.arrivals(some, 2.0, plan.doors, seed)
    assert requests == load.arrivals(some, 2.0, plan.doors, seed)
    assert len({request.id for request in requests}) == len(requests)
    assert all((request.gateway - request.first) % plan.doors < request.spread for request in requests)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ("doors = 30", "40 that fit"),
        ("doors = nan", "doors"),
        ("wheels = 4", "wheels"),
        ("seconds = -1.0", "seconds"),
        ("seconds = nan", "seconds"),
        ("seconds = inf", "seconds"),
        ('faults = [{at=1.0, kind="kill", who="door-7"}]', "door-7"),
        ("registries = 0", "registries"),
        ('faults = [{at=1.0, kind="cut", who="door-0"}]', "there is none"),
        ("faults = [{at=1.0}]", "faults"),
        ('faults = [{at=1.0, kind="burn", who="door-0"}]', "burn"),
        ("chance = {count = 3}", "no kind"),
        ("load = {customers = [{plan='a', spread = 3}]}", "larger than the 2 doors"),
        ("seconds", "after a key"),
    ],
)
def test_impossible_plan_is_rejected_with_its_reason(tmp_path: Path, change: str, why: str) -> None:
    values = {"name": '"x"', "seconds": "5.0", "doors": "2"}
    values.pop(change.partition(" ")[0], None)
    path = tmp_path / "x.toml"
    path.write_text("\n".join(f"{key} = {value}" for key, value in values.items()) + f"\n{change}\n")
    with pytest.raises(plans.PlanError) as caught:
        plans.read_plan(path)
    assert why in str(caught.value) and "\n" not in str(caught.value)
