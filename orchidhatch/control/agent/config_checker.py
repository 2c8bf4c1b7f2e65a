"""Checks a gateway's configuration with the gateway's own program before the configuration is installed."""

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path

from orchidhatch.control.agent.gateway_process import CONFIG_VARIABLE
from orchidhatch.control.policy.document import InvalidPolicyError

CHECK_TIMEOUT_S = 20.0
MAX_ERROR_CHARACTERS = 200


class ConfigChecker:
    """Runs a command that validates the configuration file named by PROXY_CONFIG."""

    def __init__(self, command: Sequence[str], config_file: Path) -> None:
        self._command = command
        self._candidate_file = config_file.with_suffix(".tried")

    async def check(self, config_text: str) -> None:
        """Check a configuration text with the command.

        Raises InvalidPolicyError, with the end of the command's error output, if the command rejects the text
        or takes too long, and OSError if the text cannot be written or the command cannot be started.
        """
        self._candidate_file.write_text(config_text)
        process = await asyncio.create_subprocess_exec(
            *self._command,
            env={**os.environ, CONFIG_VARIABLE: str(self._candidate_file)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                _, errors = await process.communicate()
        except TimeoutError:
            raise InvalidPolicyError(f"the configuration check took over {CHECK_TIMEOUT_S:g} s") from None
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if process.returncode:
            text = " ".join(errors.decode(errors="replace").split())
            raise InvalidPolicyError(
                text[-MAX_ERROR_CHARACTERS:] or "the configuration check failed without an error message"
            )
