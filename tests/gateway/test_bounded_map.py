"""The bound of maps that remember names."""

from orchidhatch.gateway.bounded_map import forget_excess


def test_entries_when_at_the_limit_then_all_stay() -> None:
    entries = {"a": False, "b": True}
    forget_excess(entries, 2, ())
    assert entries == {"a": False, "b": True}


def test_entries_when_over_the_limit_then_the_oldest_false_ones_go_first() -> None:
    entries = {"a": True, "b": False, "c": False, "d": True}
    forget_excess(entries, 3, ())
    assert list(entries) == ["a", "c", "d"]


def test_entries_when_no_false_ones_are_left_then_the_oldest_true_one_goes() -> None:
    entries = {"a": True, "b": False, "c": True}
    forget_excess(entries, 1, ())
    assert entries == {"c": True}


def test_kept_entries_when_over_the_limit_then_they_stay() -> None:
    entries = {"a": False, "b": False, "c": True}
    forget_excess(entries, 0, {"a", "c"})
    assert entries == {"a": False, "c": True}
