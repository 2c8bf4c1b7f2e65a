"""Load balancing: what the choice of a server costs."""

from dataclasses import replace

import pytest

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.candidates import MAX_COMPARED_SERVERS
from orchidhatch.gateway.slow_start import SlowStart
from tests.helpers import SETTINGS, World, of, servers


def test_choice_computes_weights_only_of_compared_servers(monkeypatch: pytest.MonkeyPatch) -> None:
    weighed = []
    weight = SlowStart.weight

    def counting_weight(slow_start: SlowStart, server: object) -> float:
        weighed.append(server)
        return weight(slow_start, server)

    world = World(replace(SETTINGS, gateway_count=200), servers(200))
    monkeypatch.setattr(SlowStart, "weight", counting_weight)
    assert of(SendAttempt, world.ask("a"))
    assert len(weighed) <= MAX_COMPARED_SERVERS
