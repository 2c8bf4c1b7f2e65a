"""HTTP calls to the program's own services, from a loop that must not wait for them."""

import asyncio
import http.client
import json
from collections.abc import Mapping
from typing import Any

Address = tuple[str, int]
PATIENCE_S = 2.0
NONE: Mapping[str, str] = {}


def call_now(
    at: Address,
    method: str,
    path: str,
    value: object = None,
    within_s: float = PATIENCE_S,
    headers: Mapping[str, str] = NONE,
) -> tuple[int, Any, str]:
    """Status, the value and the store's name; an OSError or HTTPException where no answer comes."""
    connection = http.client.HTTPConnection(*at, timeout=within_s)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        text = answer.read()
        try:
            found = json.loads(text) if text else None
        except ValueError:
            found = text.decode(errors="replace")
        return answer.status, found, answer.headers.get("Orchidhatch-Store", "")
    finally:
        connection.close()


async def call(
    at: Address,
    method: str,
    path: str,
    value: object = None,
    within_s: float = PATIENCE_S,
    headers: Mapping[str, str] = NONE,
) -> tuple[int, Any, str]:
    """As call_now; a status of 0 where no answer comes."""
    try:
        return await asyncio.to_thread(call_now, at, method, path, value, within_s, headers)
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error), ""
