"""What a check of a trial yields: violations, and the verdict over all of them."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Violation:
    """A case in which an invariant did not hold.

    `check` names the invariant, `about` the request, write or process concerned; `text` says what was seen.
    """

    check: str
    about: str
    text: str


@dataclass
class Verdict:
    """The outcome of a trial's checks.

    `too_slow` says why the machine was too slow for a verdict, `skipped` what of the script could not be
    carried out. `figures` are measurements by name.
    """

    violations: list[Violation] = field(default_factory=list)
    too_slow: list[str] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
