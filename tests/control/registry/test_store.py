"""The registry's store: what is acknowledged is durable, in whole, and what is damaged is not served."""

import random
import shutil
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from orchidhatch.control.errors import ConflictError, CorruptStoreError, StoreError
from orchidhatch.control.registry import endpoints
from orchidhatch.control.registry.endpoints import (
    ChangeLifecycle,
    Endpoint,
    RegisterEndpoint,
    RemoveEndpoint,
)
from orchidhatch.control.registry.store import Store, Write

ROOT = Path(__file__).parents[3]


def entry(number: int, started_ms: int = 0, **changes: object) -> Endpoint:
    made = Endpoint(f"s-{number}", f"127.0.0.1:{7000 + number}", "a", "m2", 3, "SERVING", 1.0, started_ms)
    return replace(made, **changes)


def one(store: Store, write: Write) -> Endpoint:
    [outcome] = store.apply([write])
    if isinstance(outcome, ConflictError):
        raise outcome
    return outcome


def what_is_in(store: Store) -> tuple[object, ...]:
    return store.identity, store.term, store.generation, dict(store.entries), dict(store.history)


def test_reopened_store_has_what_was_written(path: Path) -> None:
    store = Store(path, create=True)
    assert store.generation == 0
    for number in range(5):
        assert one(store, RegisterEndpoint(entry(number))).version == number + 1
    one(store, ChangeLifecycle("s-1", "DRAINING"))
    one(store, RemoveEndpoint("s-2"))
    before = what_is_in(store)
    store.close()
    again = Store(path)
    assert what_is_in(again) == before and again.generation == 7
    assert again.entries["s-1"].lifecycle == "DRAINING" and "s-2" not in again.entries


def test_each_write_of_a_batch_has_its_outcome(path: Path) -> None:
    store = Store(path, create=True)
    outcomes = store.apply(
        [
            RegisterEndpoint(entry(1)),
            ChangeLifecycle("s-9", "DRAINING"),
            ChangeLifecycle("s-1", "DRAINING"),
            RegisterEndpoint(entry(2), if_version=4),
            RemoveEndpoint("s-1"),
            RegisterEndpoint(entry(1)),
        ]
    )
    assert [getattr(outcome, "version", None) for outcome in outcomes] == [1, None, 2, None, 3, 4]
    assert str(outcomes[1]) == "s-9 is not listed" and str(outcomes[3]) == "s-2 is at version 0, not 4"
    assert list(store.entries) == ["s-1"] and store.entries["s-1"].incarnation == 4


def test_write_of_an_outdated_version_is_rejected(path: Path) -> None:
    store = Store(path, create=True)
    seen = one(store, RegisterEndpoint(entry(1), if_version=0)).version
    one(store, ChangeLifecycle("s-1", "DRAINING", if_version=seen))
    with pytest.raises(ConflictError, match="at version 2, not 1"):
        one(store, ChangeLifecycle("s-1", "SERVING", if_version=seen))
    with pytest.raises(ConflictError, match="at version 2, not 0"):
        one(store, RegisterEndpoint(entry(1), if_version=0))
    assert store.entries["s-1"].lifecycle == "DRAINING" and store.generation == 2


def test_write_of_an_earlier_incarnation_is_rejected(path: Path) -> None:
    store = Store(path, create=True)
    old = one(store, RegisterEndpoint(entry(1, started_ms=100)))
    new = one(store, RegisterEndpoint(entry(1, started_ms=200, address="127.0.0.1:9")))
    with pytest.raises(ConflictError, match="another life"):
        one(store, RemoveEndpoint("s-1", incarnation=old.incarnation))
    with pytest.raises(ConflictError, match="later start of s-1 is already registered"):
        one(store, RegisterEndpoint(entry(1, started_ms=100)))
    assert store.entries["s-1"] == new and new.incarnation == 2
    one(store, RemoveEndpoint("s-1", incarnation=new.incarnation))
    assert not store.entries


@pytest.mark.parametrize(
    "write",
    [
        RegisterEndpoint(entry(1, lifecycle="DELETED")),
        RegisterEndpoint(entry(1, lifecycle="odd")),
        ChangeLifecycle("s-1", "DELETED"),
        RemoveEndpoint("s-1"),
    ],
)
def test_rejected_write_changes_nothing(path: Path, write: Write) -> None:
    store = Store(path, create=True)
    before = what_is_in(store)
    with pytest.raises(ConflictError):
        one(store, write)
    assert what_is_in(store) == before


def test_full_list_registers_no_more(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoints, "MAX_ENDPOINTS", 2)
    store = Store(path, create=True)
    for number in (1, 2):
        one(store, RegisterEndpoint(entry(number)))
    with pytest.raises(ConflictError, match="2 entries"):
        one(store, RegisterEndpoint(entry(3)))
    one(store, RegisterEndpoint(entry(2)))


def test_changes_before_the_history_are_not_known(path: Path) -> None:
    store = Store(path, create=True, max_history=4)
    for number in (1, 2, 3):
        one(store, RegisterEndpoint(entry(number)))
    assert [found.id for found in store.changes_after(0)] == ["s-1", "s-2", "s-3"] and store.changes_after(
        3
    ) == []
    one(store, ChangeLifecycle("s-1", "DRAINING"))
    one(store, RemoveEndpoint("s-2"))
    for found in (store, None):
        found = found or (store.close() or Store(path, max_history=4))
        assert len(found.history) == 4 and found.changes_after(0) is None and found.changes_after(6) is None
        assert found.changes_after(-1) is None
        assert [(one.id, one.lifecycle) for one in found.changes_after(2)] == [
            ("s-3", "SERVING"),
            ("s-1", "DRAINING"),
            ("s-2", "DELETED"),
        ]


def test_store_in_use_is_not_opened(path: Path) -> None:
    store = Store(path, create=True)
    with pytest.raises(StoreError, match="locked"):
        Store(path)
    one(store, RegisterEndpoint(entry(1)))
    store.close()
    assert Store(path).generation == 1


def test_missing_store_is_made_only_on_request(path: Path) -> None:
    with pytest.raises(StoreError, match="there is no store"):
        Store(path)
    assert not path.exists()
    path.touch()
    with pytest.raises(StoreError, match="there is no store"):
        Store(path)
    store = Store(path, create=True)
    identity = store.identity
    store.close()
    assert Store(path, create=True).identity == identity


# --- faults ---


def test_commit_to_a_full_disk_fails_and_reads_go_on(path: Path) -> None:
    store = Store(path, create=True)
    one(store, RegisterEndpoint(entry(1)))
    before = what_is_in(store)
    [(pages,)] = store.db.execute("PRAGMA page_count").fetchall()
    store.db.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(StoreError, match=r"cannot write list\.db: .*full"):
        store.apply([RegisterEndpoint(entry(number)) for number in range(2, 500)])
    assert what_is_in(store) == before and not store.db.in_transaction
    store.db.execute("PRAGMA max_page_count = 100000")
    assert one(store, RegisterEndpoint(entry(2))).version == 2


def test_commit_to_a_read_only_file_fails(path: Path) -> None:
    store = Store(path, create=True)
    one(store, RegisterEndpoint(entry(1)))
    store.db.execute("PRAGMA query_only = 1")
    with pytest.raises(StoreError, match="readonly"):
        store.apply([RemoveEndpoint("s-1")])
    assert list(store.entries) == ["s-1"] and store.generation == 1


WRITER = """
import sys
from pathlib import Path
from orchidhatch.control.registry.endpoints import ChangeLifecycle, RegisterEndpoint
from orchidhatch.control.registry.store import Store
from tests.control.registry.test_store import entry
store = Store(Path(sys.argv[1]), create=True)
while True:
    number = store.generation
    store.apply([RegisterEndpoint(entry(number % 7, number)), ChangeLifecycle(f"s-{number % 7}", "DRAINING")])
    print(store.generation, flush=True)
"""


def expected(generation: int) -> dict[str, Endpoint]:
    """What the writer above has written by then."""
    entries: dict[str, Endpoint] = {}
    for incarnation in range(1, generation + 1, 2):
        made = entry((incarnation - 1) % 7, incarnation - 1, version=incarnation, incarnation=incarnation)
        entries[made.id] = replace(made, lifecycle="DRAINING", version=incarnation + 1)
    return entries


def test_killed_process_leaves_whole_batches(path: Path) -> None:
    """All that were acknowledged."""
    chance = random.Random(4)
    last = 0
    for _ in range(12):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(path)], cwd=ROOT, text=True, stdout=subprocess.PIPE
        )
        for _ in range(chance.randrange(1, 40)):
            last = int(writer.stdout.readline())
        writer.send_signal(signal.SIGKILL)  # wherever it is by now
        writer.wait()
        last = max([last, *map(int, writer.stdout.read().split())])
        store = Store(path)
        assert store.generation in (last, last + 2) and store.entries == expected(store.generation)
        store.close()


def copy(path: Path, to: Path, wal: bytes | None = None, main: bytes | None = None) -> Path:
    to.mkdir(exist_ok=True)
    found = to / path.name
    found.write_bytes(path.read_bytes() if main is None else main)
    log = Path(f"{path}-wal")
    Path(f"{found}-wal").write_bytes(log.read_bytes() if wal is None else wal)
    return found


def written(path: Path) -> tuple[Store, list[dict[str, Endpoint]]]:
    """A store with some writes, still open and with all of them in its log; the entries by generation."""
    store = Store(path, create=True)
    states = [{}]
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.db.execute("PRAGMA wal_autocheckpoint = 0")
    for number in range(6):
        for write in (RegisterEndpoint(entry(number)), ChangeLifecycle(f"s-{number // 2}", "DRAINING")):
            one(store, write)
            states.append(dict(store.entries))
    one(store, RemoveEndpoint("s-0"))
    states.append(dict(store.entries))
    return store, states


def test_cut_log_gives_a_whole_earlier_state(path: Path, tmp_path: Path) -> None:
    store, states = written(path)
    log = Path(f"{path}-wal").read_bytes()
    lengths = {*range(0, len(log), 509), *range(len(log) - 60, len(log) + 1)}
    seen = set()
    for length in sorted(lengths):
        shutil.rmtree(tmp_path / "cut", ignore_errors=True)
        found = Store(copy(path, tmp_path / "cut", wal=log[:length]))
        assert found.entries == states[found.generation] and found.identity == store.identity
        assert len(found.history) == found.generation
        seen.add(found.generation)
        found.close()
    assert seen == set(range(len(states)))


@given(st.data())
def test_flipped_bit_is_found_or_harmless(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    folder = tmp_path_factory.mktemp("flip")
    store, states = written(folder / "list.db")
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    main = bytearray((folder / "list.db").read_bytes())
    at = data.draw(st.integers(0, len(main) - 1))
    main[at] ^= 1 << data.draw(st.integers(0, 7))
    try:
        found = Store(copy(folder / "list.db", folder / "copy", wal=b"", main=bytes(main)))
    except StoreError as error:
        assert "\n" not in str(error)
        assert (folder / "copy" / "list.db").read_bytes() == bytes(main)  # kept as it is
    else:  # the byte was in no page that is in use
        assert what_is_in(found) == what_is_in(store) and found.entries == states[-1]
        found.close()


def test_flipped_bit_in_the_schema_is_found(path: Path) -> None:
    """The case that the test of random bits rarely draws: the text of a table's definition is no UTF-8."""
    store, _ = written(path)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    main = bytearray(path.read_bytes())
    definition = b"CREATE TABLE book (kind TEXT NOT "
    main[main.index(definition) + len(definition)] ^= 0x80
    path.write_bytes(main)
    with pytest.raises(StoreError):
        Store(path)


@pytest.mark.parametrize(
    "text",
    [b'"lifecycle": "SERVING"', b"record TEXT NOT NULL, digest TEXT NOT NULL"],
    ids=["value", "schema"],
)
def test_unreadable_content_is_damage_not_a_failing_disk(path: Path, text: bytes) -> None:
    """Guards against a damaged store that no rebuild replaces, as it is taken for one that cannot be read."""
    store, _ = written(path)
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    main = bytearray(path.read_bytes())
    main[main.index(text) + 1] ^= 0x80
    path.write_bytes(main)
    with pytest.raises(CorruptStoreError):
        Store(path)


def test_store_that_cannot_be_read_is_not_called_damaged(tmp_path: Path) -> None:
    """Guards against a sound store set aside, as the disk failed while it was opened."""
    with pytest.raises(StoreError, match="cannot open") as raised:
        Store(tmp_path / "missing" / "list.db", create=True)
    assert not isinstance(raised.value, CorruptStoreError)


def test_changed_value_is_rejected_in_one_line(path: Path) -> None:
    store, _ = written(path)
    store.close()
    main = path.read_bytes()
    assert main.count(b"127.0.0.1:7003") >= 1
    path.write_bytes(main.replace(b"127.0.0.1:7003", b"127.0.0.1:7004"))
    with pytest.raises(CorruptStoreError, match="do not match their digest"):
        Store(path)


@pytest.mark.parametrize(
    ("table", "change"),
    [
        ("meta", "UPDATE meta SET generation = generation - 1"),
        ("meta", "UPDATE meta SET term = term + 1"),
        ("meta", "DELETE FROM meta"),
        ("entries", "DELETE FROM entries WHERE id = 's-4'"),
        ("history", "DELETE FROM history WHERE generation = 5"),
        ("history", "DELETE FROM history WHERE generation > 8"),
        (
            "history",
            "UPDATE history SET record = replace(record, 'SERVING', 'DRAINING') WHERE generation = 1",
        ),
        ("form", "PRAGMA user_version = 9"),
    ],
)
def test_impossible_state_is_rejected(path: Path, table: str, change: str) -> None:
    store, _ = written(path)
    store.close()
    with sqlite3.connect(path) as db:
        db.execute(change)
    db.close()
    with pytest.raises(CorruptStoreError):
        Store(path)


def test_file_of_no_database_is_rejected(path: Path) -> None:
    path.write_bytes(b"nothing of the kind" * 300)
    with pytest.raises(CorruptStoreError, match="not a database"):
        Store(path)


def test_changes_of_an_earlier_store_are_not_known(path: Path) -> None:
    store = Store(path, create=True, first=1_000)
    assert store.generation == 1_000 and store.changes_after(999) is None and store.changes_after(1_000) == []
    assert one(store, RegisterEndpoint(entry(1))).version == 1_001
    assert store.changes_after(41) is None
    store.close()
    again = Store(path, create=True, first=5_000)  # it is there: nothing is begun anew
    assert again.generation == 1_001 and again.first == 1_000 and len(again.changes_after(1_000)) == 1
