"""The gateway's configuration file: composed of its own settings and a policy, and replaced atomically.

The gateway's own settings are kept beside the policy in the file, so that the next policy is applied to them.
"""

import json
import os
from pathlib import Path
from typing import Any

import msgspec

from orchidhatch.control.policy.document import InvalidPolicyError, apply_policy, parse_document
from orchidhatch.control.policy.timing import AGENT_SILENCE_LIMIT_S


class PolicySection(msgspec.Struct):
    """The part of the file that says which policy the gateway is under; field names are the file's.

    `until_us` is when the gateway suspends admission by itself, by the monotonic clock, 0 for never.
    `silent_ms` is for how long its agent may be silent. `base` are its own settings.
    """

    number: int
    digest: str
    until_us: int
    silent_ms: int
    base: Any


class GatewayConfigFile:
    """One gateway's configuration file. Other programs may replace it too."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def is_managed(self) -> bool:
        """Whether the file puts the gateway under a policy."""
        try:
            return "policy" in json.loads(self.path.read_bytes())
        except (OSError, ValueError):
            return False

    def compose(self, document: str, digest: str, number: int, admission_limit_us: int) -> str:
        """The file's text for a decision's number and a document, "" with a digest of "" for none.

        Raises InvalidPolicyError where the document does not fit, or the present file is malformed.
        """
        try:
            values = json.loads(self.path.read_bytes())
            base = values.get("policy", {}).get("base") or values["settings"]
            values["settings"] = apply_policy(base, parse_document(document, digest)) if digest else base
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            raise InvalidPolicyError(f"the gateway's configuration is malformed: {error!r:.120}") from error
        section = PolicySection(
            number=number,
            digest=digest,
            until_us=admission_limit_us,
            silent_ms=round(AGENT_SILENCE_LIMIT_S * 1000),
            base=base,
        )
        values["policy"] = msgspec.to_builtins(section)
        return json.dumps(values)

    def replace(self, text: str) -> None:
        """Put a new text in place of the old, either whole or not at all. Raises OSError."""
        incomplete = self.path.with_suffix(".new")
        with incomplete.open("w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        incomplete.replace(self.path)
