"""A gateway's configuration file, as a deployment writes it."""

import json
from pathlib import Path
from typing import Any

from tests.sockets import HOST


def write_gateway_config(folder: Path, **more: Any) -> Path:  # noqa: ANN401
    file = folder / "config.json"
    file.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"{HOST}:1",
                "discovery": f"{HOST}:1",
                "seed": "1",
                "settings": {
                    "me": 0,
                    "balancers": 1,
                    "plans": [{"name": "stor", "units-per-s": 10, "burst": 10}],
                    "categories": [{"name": "read", "on-time-us": 750_000, "deadline-us": 2_000_000}],
                },
                **more,
            }
        )
    )
    return file
