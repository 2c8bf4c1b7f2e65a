"""The architecture page names each module of the gateway, and no module that is gone."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "orchidhatch"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
MAX_PAGE_LINES = 200


def modules_section() -> set[str]:
    """The modules that the section on modules names."""
    section = PAGE.partition("\n## Modules\n")[2].partition("\n## ")[0]
    return set(re.findall(r"`([a-z_]+)`", section))


def test_architecture_page_names_each_module_of_the_gateway() -> None:
    modules = {path.stem for folder in ("gateway", "proxy") for path in (PACKAGE / folder).glob("[!_]*.py")}
    assert modules - modules_section() == set()


def test_architecture_page_names_only_modules_that_exist() -> None:
    existing = {path.relative_to(PACKAGE).as_posix() for path in PACKAGE.rglob("*.py")}
    tests = {path.relative_to(ROOT).as_posix() for path in (ROOT / "tests").rglob("*.py")}
    named = set(re.findall(r"`([\w/]+\.py)`", PAGE))
    assert [name for name in sorted(named) if not any(path.endswith(name) for path in existing | tests)] == []
    folders = {path.name for path in PACKAGE.rglob("*") if path.is_dir()}
    assert modules_section() - {Path(path).stem for path in existing} - folders == set()


def test_architecture_page_is_one_page() -> None:
    assert len(PAGE.splitlines()) <= MAX_PAGE_LINES
