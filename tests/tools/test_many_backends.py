"""The paired measurement of many backends: what is allowed, and a small run of it."""

import importlib.machinery
import importlib.util
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest

SCRIPT = Path(__file__).parents[2] / "scripts" / "many-backends"


def load_script() -> ModuleType:
    loader = importlib.machinery.SourceFileLoader("many_backends", str(SCRIPT))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("many_backends", loader))
    sys.modules["many_backends"] = module
    loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    ("name", "few", "most"),
    [
        ("cpu_s", 1.0, 1.4 + 0.02 + 0.12 * 3.2),
        ("peak_bytes", 20 << 20, (30 << 20) + (8 << 20) + 12.8 * (1 << 20)),
        ("descriptors", 50, 140),
        ("connections", 10, 65),
        ("list_bytes", 1000, 2000 + 64 * 1024 + 1600 * 1024),
    ],
)
def test_figures_are_held_against_the_operators_table(name: str, few: float, most: float) -> None:
    script = load_script()
    assert script.is_allowed(name, few, most, 3200) and not script.is_allowed(name, few, most * 1.01, 3200)


def test_share_served_is_held_from_below() -> None:
    script = load_script()
    assert script.is_allowed("share_served", 1.0, 0.85, 3200)
    assert not script.is_allowed("share_served", 1.0, 0.84, 3200)


def test_a_small_run_prints_each_figure_of_the_table() -> None:
    words = ["--few", "20", "--many", "40", "--seconds", "0.5", "--runs", "1"]
    done = subprocess.run([sys.executable, SCRIPT, *words], capture_output=True, text=True, check=False)
    for name in load_script().ALLOWANCES:
        assert name in done.stdout, done.stderr
