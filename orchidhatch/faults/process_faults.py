"""Faults of processes: ends, stops, failing system calls, stepped clocks, stores that go back."""

import asyncio
import shutil
import signal
from pathlib import Path

from orchidhatch.faults.fleet import Fleet
from orchidhatch.faults.gateway_settings import DEADLINE_US
from orchidhatch.faults.plan import Fault
from orchidhatch.faults.processes import Process, TrialError
from orchidhatch.faults.registry_writer import RegistryWriter
from orchidhatch.faults.system_calls import SHARE_SLOTS, Slot
from orchidhatch.faults.tcp_relay import TcpRelay

MIN_FILE_BYTES = 4096
"""That files may have on a full disk where a plan names no size."""
OLD_ADDRESS_CLOSES_S = 1.5
"""After a new configuration, as on the operators' page."""
RELOAD_INTERVAL_S = 0.3
"""Between configurations in a row."""
KILL_AFTER_TERM_S = min(3.0, DEADLINE_US / 1e6) + 0.7
"""SIGKILL after SIGTERM at the earliest: the longest deadline, as 3 s where it is longer, and 0.7 s."""
NEW_CONNECTIONS_S = 0.3
"""For which new connections go on coming after SIGTERM."""
SERIES_INTERVAL_S = 0.15
STOP_IN_SHUTDOWN_S = 0.4
SIGNAL_SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP, signal.SIGHUP)
LISTEN_DELAY_S = 0.025
"""Until a relay that was told to listen does."""
ERROR_TEXT_LENGTH = 300
SLOT_OF_KIND = {
    "accept": Slot.ACCEPT,
    "socket": Slot.SOCKET,
    "connect": Slot.CONNECT,
    "short": Slot.SHORT_IO,
    "disk": Slot.DISK,
    "wall": Slot.WALL_STEP_MS,
}
STORE_FILES = {"registry": "list.db", "agent": "cache.db"}
"""The store of a process, by its kind."""
SQLITE_SUFFIXES = ("", "-wal", "-shm")


class ProcessFaults:
    """Carries out the faults of single processes; each method returns when the fault is undone."""

    def __init__(self, fleet: Fleet, writer: RegistryWriter) -> None:
        self.fleet = fleet
        self.recorder = fleet.recorder
        self.writer = writer
        self.tasks: list[asyncio.Task[None]] = []

    async def end(self, fault: Fault, process: Process) -> None:
        """Kill or terminate the process; start it again after a while, if the fault has an end."""
        if not process.runs():
            return
        await process.end(signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM)
        if fault.lasts:
            await asyncio.sleep(fault.lasts)
            await self.start(process)

    async def shut_down(self, fault: Fault, process: Process) -> None:
        """Shut a gateway down as the operators' platform does, with more signals in a series; start it again.

        New connections go on coming for a moment, clients keep the open ones until the end.
        """
        if not process.runs():
            return
        ending = asyncio.ensure_future(process.end_by_deadline(KILL_AFTER_TERM_S))
        signalling = asyncio.ensure_future(self._send_series(process, round(fault.size)))
        await asyncio.sleep(NEW_CONNECTIONS_S)
        process.reached(False)
        await ending
        signalling.cancel()
        if fault.lasts:
            await asyncio.sleep(fault.lasts)
            await self.start(process)

    async def _send_series(self, process: Process, count: int) -> None:
        """Send further signals to a process that is shutting down: SIGHUP, SIGTERM, and stops."""
        for number in range(count):
            await asyncio.sleep(SERIES_INTERVAL_S)
            what = SIGNAL_SERIES[number % len(SIGNAL_SERIES)]
            if what is not signal.SIGSTOP:
                process.send(what)
                continue
            stop = Fault(at=0.0, kind="stop", who=process.name, lasts=STOP_IN_SHUTDOWN_S)
            self.fleet.note_fault(stop, process.name)
            await self.stop(stop, process)
            self.fleet.note_fault_end(stop, process.name)

    async def start(self, process: Process) -> None:
        """Start the process, unless another fault has; that one ends it meanwhile is that fault's matter."""
        if process.runs():
            return
        process.start()
        try:
            await process.wait_ready()
        except TrialError as error:
            if process.due:
                self.recorder.note("unready", process.name, why=str(error)[-ERROR_TEXT_LENGTH:])

    async def stop(self, fault: Fault, process: Process) -> None:
        """Stop the process by a signal, and let it go on."""
        process.send(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        process.send(signal.SIGCONT)

    async def fill_disk(self, fault: Fault, process: Process) -> None:
        """Bound the size of the process's files."""
        process.bound_files(int(fault.size) or MIN_FILE_BYTES)
        await asyncio.sleep(fault.lasts)
        process.bound_files(None)

    async def step_clock(self, fault: Fault, process: Process) -> None:
        """Step the monotonic clock of a process that was started with a clock of its own."""
        file = self.fleet.folder / f"{process.name}.clock"
        file.write_text(str(round(fault.size * 1000)))
        if fault.lasts:
            await asyncio.sleep(fault.lasts)
            file.write_text("0")

    async def fail_system_calls(self, fault: Fault, process: Process) -> None:
        """Have system calls of the process fail for a while; its wall clock stays stepped for as long."""
        control = self.fleet.shim_controls.by_process.get(process.name)
        if control is None:  # there is no C compiler here, which the trial's events say
            return
        slot = SLOT_OF_KIND[fault.kind]
        control.set(slot, round(fault.size * 1000))
        await asyncio.sleep(fault.lasts)
        control.set(slot, 0)
        if slot in SHARE_SLOTS:
            self.recorder.note("injected", process.name, kind=fault.kind, count=control.injected(slot))

    async def reload(self, fault: Fault, process: Process) -> None:
        """Give new configurations in a row, each with another address of discovery; the old one closes."""
        for _ in range(max(1, round(fault.size))):
            if not process.runs():
                return
            old, new = self.fleet.network.discovery_relays(process.name)
            new.listen_again()
            await asyncio.sleep(LISTEN_DELAY_S)
            self.fleet.gateway_config_files.move_discovery(process.name)
            process.send(signal.SIGHUP)
            old.refuse()
            self.tasks.append(asyncio.ensure_future(self._close_old_address(process.name, old)))
            await asyncio.sleep(RELOAD_INTERVAL_S)

    async def _close_old_address(self, gateway: str, old: TcpRelay) -> None:
        """Close the connections of an address that was moved away from, unless it is named again by then."""
        await asyncio.sleep(OLD_ADDRESS_CLOSES_S)
        if self.fleet.network.discovery_relays(gateway)[0] is not old:
            old.break_connections()

    async def malform_replies(self, fault: Fault, process: Process) -> None:
        """Have some of a backend's replies be malformed, come twice, never end, or break off."""
        file = self.fleet.folder / f"{process.name}.spoil"
        file.write_text(str(fault.size))
        await asyncio.sleep(fault.lasts)
        file.write_text("0")

    async def restore_old_store(self, fault: Fault, process: Process) -> None:
        """Start the process, after a while, from a copy of its store that is that much older."""
        kind = process.name.partition("-")[0]
        store = process.folder / STORE_FILES[kind]
        backup_folder = process.folder / "old"
        await process.end()
        copy_store(store, backup_folder)
        await self.start(process)
        await asyncio.sleep(fault.lasts)
        await process.end()
        copy_store(backup_folder / store.name, store.parent)
        await self.start(process)

    async def replace_backend(self, fault: Fault, process: Process) -> None:
        """Put a new machine in its place, under another id and address; the old one leaves at once."""
        backend = self.fleet.backends.ids[process.name]
        await self.writer.write(backend, "DELETE", f"/entries/{backend}", None)
        await process.end()
        await self.fleet.backends.add(int(process.name.partition("-")[2]))
        await self.start(self.fleet.processes[process.name])


def copy_store(store: Path, folder: Path) -> None:
    """Copy a store at rest, the file and its log, in place of what is in the folder."""
    folder.mkdir(exist_ok=True)
    for suffix in SQLITE_SUFFIXES:
        source = Path(f"{store}{suffix}")
        target = folder / f"{store.name}{suffix}"
        target.unlink(missing_ok=True)
        if source.exists():
            shutil.copy(source, target)
