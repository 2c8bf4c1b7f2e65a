"""The controller's command, and its former name."""

import sys

import pytest

from orchidhatch import controller, steward


@pytest.mark.parametrize("module", [controller, steward])
def test_help_of_both_names_tells_the_alias(
    module: object, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["x", "--help"])
    with pytest.raises(SystemExit, match="0"):
        module.main()
    text = " ".join(capsys.readouterr().out.split())
    assert text.startswith("usage: orchidhatch.controller ")
    assert "orchidhatch.steward is an alias of this command" in text
