"""The list of tests that fail for a known fault: KNOWN-RED.txt, one `test | cause | issue` on each line."""

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_ENTRIES = 3
FIELD_COUNT = 3
FIELD_SEPARATOR = " | "


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test by its pytest node, why it fails, and the issue that it belongs to."""

    test: str
    cause: str
    issue: str


def read_known_failures(path: Path = KNOWN_RED) -> list[KnownFailure]:
    """The entries of the list; none where there is no file. Raises ValueError for a malformed list."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise ValueError(f"{path.name} lists {len(lines)} tests; {MAX_ENTRIES} at most may be listed")
    return [parse_known_failure(line) for line in lines]


def parse_known_failure(line: str) -> KnownFailure:
    """One entry. Raises ValueError where a field is missing or empty."""
    fields = [field.strip() for field in line.split(FIELD_SEPARATOR)]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise ValueError(f"not of the form 'test{FIELD_SEPARATOR}cause{FIELD_SEPARATOR}issue': {line!r}")
    return KnownFailure(*fields)
