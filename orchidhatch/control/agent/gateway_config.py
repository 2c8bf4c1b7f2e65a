"""The gateway's configuration file: its own settings combined with a policy, and replaced atomically.

The file also keeps the gateway's own settings, because the next policy is applied to them.
"""

import json
import os
from pathlib import Path
from typing import Any

import msgspec

from orchidhatch.control.policy.document import InvalidPolicyError, apply_policy, parse_document
from orchidhatch.control.policy.timing import AGENT_SILENCE_LIMIT_S


class PolicySection(msgspec.Struct):
    """The section of the file that names the gateway's policy; the field names are those of the file.

    `until_us` is when the gateway suspends admission by itself, in microseconds of the monotonic clock, 0 for
    never. `silent_ms` is the longest permitted silence of its agent. `base` is the gateway's own settings.
    """

    number: int
    digest: str
    until_us: int
    silent_ms: int
    base: Any


class GatewayConfigFile:
    """The configuration file of one gateway. Other programs may also replace it."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def is_managed(self) -> bool:
        """Return whether the file has a policy section."""
        try:
            return "policy" in json.loads(self.path.read_bytes())
        except (OSError, ValueError):
            return False

    def compose(self, document: str, digest: str, number: int, admission_limit_us: int) -> str:
        """Return the file's text for a decision's number and a document.

        A document and digest of "" stand for no policy. Raises InvalidPolicyError if the document does not
        match the settings or the current file is malformed.
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
        """Replace the file's text atomically. Raises OSError if it cannot be written."""
        temporary_file = self.path.with_suffix(".new")
        with temporary_file.open("w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        temporary_file.replace(self.path)
