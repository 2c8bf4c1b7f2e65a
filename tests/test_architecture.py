"""The direction of imports between the packages, and that no modules import each other in a circle."""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = "orchidhatch"
# What the modules of each package may import of the project's others. Modules at the top are commands only.
ALLOWED = {
    "gateway": {"gateway"},
    "streams": {"streams"},
    "proxy": {"gateway", "proxy", "streams"},
    "control": {"control", "streams"},
    "faults": {"gateway", "proxy", "control", "faults"},
    "": {"control", "faults"},
}


def module_of(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_of(path): path for path in (ROOT / PACKAGE).rglob("*.py")}


def package_of(module: str) -> str:
    """The folder below the project's package; "" for a module at the top."""
    parts = module.split(".")
    is_folder = len(parts) > 2 or (ROOT / PACKAGE / parts[-1]).is_dir()
    return parts[1] if len(parts) > 1 and is_folder else ""


def imports_of(path: Path) -> Iterator[str]:
    """The project's modules that a file imports anywhere, also for its annotations only."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: relative import"
            base = node.module or ""
            names = [f"{base}.{alias.name}" for alias in node.names]
            names = [name if name in MODULES else base for name in names]
        else:
            continue
        yield from (name for name in names if name in MODULES)


GRAPH = {module: set(imports_of(path)) for module, path in MODULES.items()}


def test_each_package_imports_only_what_its_layer_may() -> None:
    wrong = [
        f"{module} imports {other}"
        for module, others in GRAPH.items()
        for other in others
        if other != PACKAGE and package_of(other) not in ALLOWED[package_of(module)]
    ]
    assert wrong == []


def reachable(module: str) -> set[str]:
    found: set[str] = set()
    pending = [module]
    while pending:
        new = GRAPH[pending.pop()] - found
        found |= new
        pending += new
    return found


def test_no_modules_import_each_other_in_a_circle() -> None:
    assert {module for module in GRAPH if module in reachable(module)} == set()
