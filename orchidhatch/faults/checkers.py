"""What held and what broke, read off the events of a trial. Times are nanoseconds of the machine's clock.

A check says what is not excused by a fault on the way or in the process concerned; what is excused is stated
with each. Figures are told and decide nothing, but for those that a plan asks for.
"""

import bisect
import itertools
import re
import sqlite3
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from orchidhatch.faults.events import Event, of, story
from orchidhatch.faults.plan import Plan
from orchidhatch.faults.request_checkers import findings

MS, S = 1_000_000, 1_000_000_000
GRACE_NS = 500 * MS  # after its time a request's answer only earns nothing; later it is lost
DRAIN_NS = 250 * MS  # from the word of a drain to the last new attempt
WIDER_NS = 50 * MS  # by which the rules' times are longer on sockets
CEILING_NS = 150 * MS  # of a ceiling's rate, by which its slack is wider on sockets
NOTICE_NS = 100 * MS  # around a fault, as it is noted just before or after it takes hold
WAKE_NS = 500 * MS  # in which a process that stood still catches up
MOST_ATTEMPTS = 4
STATE = re.compile(r'"state": "(\w+)"')  # of a task, in its record
ORDER = ("asked", "marked", "out", "ending", "back")  # of a drain's states
# Past these the machine was too slow for a verdict: sends of the load, and the loop of all relays.
MOST_LATE_SEND_MS, MOST_LATE_RELAY_MS = 150.0, 250.0


@dataclass(frozen=True)
class Break:
    check: str
    about: str  # the request, write or process
    text: str


@dataclass
class Verdict:
    breaks: list[Break] = field(default_factory=list)
    slow: list[str] = field(default_factory=list)  # why nothing can be said
    skipped: list[str] = field(default_factory=list)  # what of the script could not be carried out
    figures: dict[str, float] = field(default_factory=dict)


@dataclass
class Attempt:
    """One as its backend saw it begin; its end is the first of its answer and the door's leaving."""

    request: str
    backend: str
    door: int
    begin: int
    end: int
    customer: str
    told_ms: int = 0
    port: int = 0


class Spans:
    """When a process or a way was not whole."""

    def __init__(self, db: sqlite3.Connection, last_ns: int) -> None:
        self.spans: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
        open_: dict[tuple[str, str], list[int]] = defaultdict(list)  # two may overlap
        down: dict[str, int] = {}
        for event in of(db, "fault", "undone", "exit", "ready", "signal"):
            if event.what == "fault" and event.told["kind"] == "reset":
                self.spans[event.about].append((event.at_ns, last_ns, "reset"))  # until it has struck
            elif event.what == "fault":
                open_[event.about, event.told["kind"]].append(event.at_ns)
            elif event.what == "undone":
                kind = event.told["kind"]
                self.spans[event.about].append((open_[event.about, kind].pop(0), event.at_ns, kind))
            elif event.what == "exit":
                down.setdefault(event.about, event.at_ns)
            elif event.what == "ready" and event.about in down:
                self.spans[event.about].append((down.pop(event.about), event.at_ns, "down"))
        for (about, kind), begins in open_.items():
            self.spans[about] += [(began, last_ns, kind) for began in begins]
        for about, began in down.items():
            self.spans[about].append((began, last_ns, "down"))

    def hit(self, about: str, begin: int, end: int, *kinds: str, margin: int = NOTICE_NS) -> bool:
        """Whether anything of these kinds (all, if none is named) was the matter with it in that time."""
        return any(
            b - margin < end and begin < e + margin and (not kinds or kind in kinds)
            for b, e, kind in self.spans.get(about, ())
        )


class Judge:
    """All checks over the events of one trial."""

    def __init__(self, db: sqlite3.Connection, plan: Plan) -> None:
        self.db, self.plan, self.verdict = db, plan, Verdict()
        self.last_ns = db.execute("SELECT coalesce(max(at_ns), 0) FROM events").fetchone()[0]
        begins = of(db, "begins")
        self.start_ns = begins[0].told["start_ns"] if begins else 0
        self.spans = Spans(db, self.last_ns)
        self.asks = {event.about: event for event in of(db, "ask")}
        self.ends: dict[str, list[Event]] = defaultdict(list)
        for event in of(db, "end"):
            self.ends[event.about].append(event)
        self.emptied: dict[str, list[int]] = defaultdict(list)  # from when until when, in turn
        for event in of(self.db, "emptied", "filled"):
            if (event.what == "filled") == (len(self.emptied[event.who]) % 2):
                self.emptied[event.who].append(event.at_ns)
        self.slots = {
            event.about: event.who for event in of(db, "serves") if event.who.startswith("backend-")
        }
        self.spoilt = {event.about for event in of(db, "spoilt")}
        self.attempts = list(self.read_attempts())
        self.by_request: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            self.by_request[attempt.request].append(attempt)

    def judge(self) -> Verdict:
        self.speed()
        for check in (
            self.exits,
            self.answers,
            self.overlaps,
            self.drains,
            self.caps,
            self.ceilings,
            self.writes,
            self.generations,
            self.forms,
            self.owners,
            self.effects,
            self.tasks,
            self.gaps,
            self.policies,
            self.promises,
        ):
            check()
        for found in findings(self):
            self.broke(found.check, found.about, found.text)
        self.figures()
        return self.verdict

    def broke(self, check: str, about: str, text: str) -> None:
        self.verdict.breaks.append(Break(check, about, text))

    def note_slow_start(self, calls: int, budget: float) -> None:
        """Keep the fullest window of a backend in slow start, as calls over its budget."""
        share = round(calls / budget, 3)
        self.verdict.figures["slow_start_share"] = max(
            share, self.verdict.figures.get("slow_start_share", 0.0)
        )

    def story(self, about: str) -> list[str]:
        return story(self.db, about, self.start_ns)

    # --- attempts ---

    def read_attempts(self) -> Iterator[Attempt]:
        """Each with the door whose way it came by, and the first of its ends."""
        opened: dict[tuple[str, int], list[tuple[int, str]]] = defaultdict(list)
        left: dict[tuple[str, int], list[int]] = defaultdict(list)
        for event in of(self.db, "opened", "left"):
            way, port = event.about, event.told["port"]
            if event.what == "opened":
                opened[way.partition(">")[2], port].append((event.at_ns, way))
            else:
                left[way, port].append(event.at_ns)
        overs: dict[tuple[str, str, int], list[int]] = defaultdict(list)
        for event in of(self.db, "over"):
            overs[event.about, event.told["backend"], event.told["port"]].append(event.at_ns)
        for event in of(self.db, "attempt"):
            port, backend = event.told["port"], event.told["backend"]
            ways = [(at, way) for at, way in opened[event.who, port] if at <= event.at_ns + WIDER_NS]
            opened_ns, way = ways[-1] if ways else (0, "")
            # A backend that stood still reads late what was given up before.
            was_left = any(opened_ns <= at <= event.at_ns for at in left[way, port])
            ends = [
                event.at_ns if was_left else self.last_ns,
                later(overs[event.about, backend, port], event.at_ns),
                later(left[way, port], event.at_ns),
                self.killed(event.who, event.at_ns),
            ]
            door = int(way.partition(">")[0].partition("-")[2]) if way else -1
            yield Attempt(
                event.about,
                backend,
                door,
                event.at_ns,
                min(ends),
                event.told["customer"],
                event.told.get("told_ms", 0),
                port,
            )

    def killed(self, process: str, after: int) -> int:
        """When it ended next: all connections to it break then."""
        return min(
            (b for b, _, kind in self.spans.spans.get(process, ()) if kind == "down" and b > after),
            default=self.last_ns,
        )

    def overlaps(self) -> None:
        """Attempts of a request never overlap, and are four at most, whatever fails. Excused: a backend that
        stood still begins late what was given up meanwhile, and in another order."""
        for request, attempts in self.by_request.items():
            if len(attempts) > MOST_ATTEMPTS:
                self.broke("attempts", request, f"{len(attempts)} attempts")
            for one, two in itertools.pairwise(attempts):
                if two.begin < one.end - WIDER_NS and not self.was_begun_late(one, two):
                    self.broke(
                        "attempts",
                        request,
                        f"that at {two.backend} began "
                        f"{(one.end - two.begin) / MS:.0f} ms before that at {one.backend} was over",
                    )
                    break

    def was_begun_late(self, *attempts: Attempt) -> bool:
        """Whether the backend of one of them stood still before it began it."""
        return any(
            self.spans.hit(
                self.slots.get(attempt.backend, ""),
                attempt.begin - WAKE_NS,
                attempt.begin,
                "stop",
                margin=NOTICE_NS,
            )
            for attempt in attempts
        )

    # --- answers ---

    def answers(self) -> None:
        """One final answer for each request taken, whole, its own, in time. Excused: the door was killed,
        ended or stopped meanwhile; the way from the clients was broken."""
        for request, ask in self.asks.items():
            ends, door = self.ends.get(request, []), f"door-{ask.told['door']}"
            way = f"clients>{door}"
            end = ends[0].at_ns if ends else self.last_ns
            if len(ends) > 1:
                self.broke("answers", request, f"{len(ends)} answers")
            excused = self.spans.hit(door, ask.at_ns, end, "down", "kill", "term") or self.spans.hit(
                way, ask.at_ns, end
            )
            stood = self.spans.hit(door, ask.at_ns, end, "stop", margin=WAKE_NS)
            if not ends:
                if not (excused or stood):
                    self.broke("answers", request, f"no answer of {door} by the end")
                continue
            self.one_answer(request, ask, ends[0], excused, stood)
        for event in of(self.db, "surplus"):
            self.broke("answers", event.about, f"an answer that nobody asked for: {event.told['reply']}")

    def one_answer(self, request: str, ask: Event, end: Event, excused: bool, stood: bool) -> None:
        how, text, door = end.told["how"], end.told["text"], f"door-{ask.told['door']}"
        if how == "served" and text.rpartition(":")[2] != request:
            self.broke("answers", request, f"served with the value of another: {text}")
        emptied = (
            bisect.bisect(self.emptied[door], ask.at_ns) % 2
            or bisect.bisect(self.emptied[door], end.at_ns) % 2
        )
        if how == "closed" and not (excused or emptied or self.was_shed_unread(ask)):
            self.broke("answers", request, f"{door} closed its connection without an answer {text}")
        if how == "cut" and not (excused or request in self.spoilt):
            self.broke("answers", request, f"{door} broke its answer off {text}")
        late = end.at_ns - ask.at_ns - self.plan.load.patience_ms * MS - GRACE_NS - WIDER_NS
        if late > 0 and not (excused or stood):
            self.broke("answers", request, f"{door} answered {late / MS:.0f} ms after the last moment")

    def was_shed_unread(self, ask: Event) -> bool:
        """Whether its connection was new while the gateway's accept failed for want of descriptors.

        The event loop then takes and closes what waits in the backlog, unread: by the operators' pages such a
        request has failed and is not lost.
        """
        gateway = f"door-{ask.told['door']}"
        return ask.told.get("new", False) and self.spans.hit(gateway, ask.at_ns, ask.at_ns, "accept")

    # --- drains ---

    def drains(self) -> None:
        """Nothing new at a drained or removed backend 250 ms after word reached the door. Excused: the door
        or the backend stood still since, or the way between them kept back what was sent in time."""
        told: dict[tuple[int, str], list[tuple[int, bool]]] = defaultdict(list)
        for news in of(self.db, "news"):
            door, states = int(news.about.partition("-")[2]), news.told["states"]
            for state, ids in states.items():
                for id_ in ids:
                    told[door, id_].append((news.at_ns, state == "SERVING"))
        slots = {event.about: event.who for event in of(self.db, "serves")}
        for attempt in self.attempts:
            words = told.get((attempt.door, attempt.backend), [])
            before = bisect.bisect_right(words, (attempt.begin, True)) - 1
            if before < 0 or words[before][1]:
                continue
            since, first = words[before][0], before  # drained since the first of the words that say so
            while first > 0 and not words[first - 1][1]:
                first -= 1
                since = words[first][0]
            slot, door = slots.get(attempt.backend, ""), f"door-{attempt.door}"
            way = f"{door}>{slot}"
            late = attempt.begin - since - DRAIN_NS - WIDER_NS
            if late > 0 and not (
                self.spans.hit(door, since, attempt.begin, "stop", margin=WAKE_NS)
                or self.spans.hit(
                    slots.get(attempt.backend, ""), since - S, attempt.begin, "stop", margin=WAKE_NS
                )
                or self.spans.hit(way, since - S, attempt.begin)
            ):
                self.broke(
                    "drains",
                    attempt.request,
                    f"{door} sent to {attempt.backend} {late / MS:.0f} ms after the last moment",
                )

    # --- quotas ---

    def caps(self) -> None:
        """Attempts out at once for a customer over all doors: few beyond its cap, as words are late."""
        plans = {plan.plan: plan for plan in self.plan.load.customers if plan.max_out}
        beyond = count = 0
        worst = ""
        for customer, attempts in self.by_customer(plans).items():
            most = plans[customer[1]].max_out
            ends: list[int] = []
            for attempt in sorted(attempts, key=lambda one: one.begin):
                ends = [end for end in ends if end > attempt.begin + WIDER_NS]
                count += 1
                if len(ends) >= most:
                    beyond += 1
                    worst = worst or attempt.request
                ends.append(attempt.end)
        share = beyond / count if count else 0.0
        self.verdict.figures["beyond_cap_share"] = round(share, 4)
        if share > self.plan.holds.beyond_cap:
            self.broke(
                "caps",
                worst,
                f"{beyond} of {count} attempts began beyond an open cap; "
                f"{self.plan.holds.beyond_cap:g} of them at most may",
            )

    def by_customer(self, plans: dict[str, object]) -> dict[tuple[str, str], list[Attempt]]:
        found: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            ask = self.asks.get(attempt.request)
            if ask and ask.told["plan"] in plans:
                found[attempt.customer, ask.told["plan"]].append(attempt)
        return found

    def ceilings(self) -> None:
        """A customer's ceiling over all doors together: its store never under what the slack allows."""
        plans = {plan.plan: plan for plan in self.plan.load.customers if plan.ceiling_rate}
        for (customer, name), attempts in self.by_customer(plans).items():
            plan = plans[name]
            slack = max(1.0, 0.1 * plan.ceiling_burst) + plan.ceiling_rate * CEILING_NS / S
            level, at, known = plan.ceiling_burst, 0, set[str]()
            for attempt in sorted(attempts, key=lambda one: one.begin):
                if attempt.request in known:
                    continue
                known.add(attempt.request)
                level = min(plan.ceiling_burst, level + plan.ceiling_rate * (attempt.begin - at) / S) - 1.0
                at = attempt.begin
                if level < -slack:
                    self.broke(
                        "ceilings", attempt.request, f"customer {customer} is {-level:.1f} under its ceiling"
                    )
                    break

    # --- the list ---

    def writes(self) -> None:
        """What was acknowledged is there: in the list of the highest term, unless an earlier term
        acknowledged it before the promotion; and no earlier term acknowledges after it."""
        lists = [event for event in of(self.db, "list") if event.about.startswith("registry-")]
        if not lists:
            return
        last = max(lists, key=lambda event: term_of(event.told["store"]))
        promoted = [event.at_ns for event in of(self.db, "promote") if event.told["status"] == 200]
        asked = {event.about: event for event in of(self.db, "write")}
        leaving = {event.told["id"] for event in asked.values() if event.told["method"] == "DELETE"}
        for event in [event for event in of(self.db, "answer") if event.told["status"] == 200]:
            term, write, id_ = term_of(event.told["store"]), asked[event.about], event.told["id"]
            if promoted and term < term_of(last.told["store"]) and event.at_ns > promoted[-1]:
                self.broke("writes", event.about, f"acknowledged by term {term} after another was promoted")
                continue
            gone = write.told["method"] == "DELETE"
            if promoted and term < term_of(last.told["store"]):
                continue  # the follower may not have heard it
            if id_ in leaving and not gone:
                continue  # it was to leave again, answered or not
            if id_.startswith("w-") and (id_ in last.told["listed"]) == gone:
                self.broke("writes", event.about, f"acknowledged, and not in the list of {last.about}")

    def generations(self) -> None:
        """What a door is told only goes forward, whichever agent or service it comes from."""
        highest: dict[str, int] = {}
        for news in of(self.db, "news"):
            if news.told["generation"] < highest.get(news.about, 0):
                self.broke(
                    "generations",
                    news.about,
                    f"told generation {news.told['generation']} after {highest[news.about]}",
                )
            highest[news.about] = max(highest.get(news.about, 0), news.told["generation"])

    # --- claims ---

    def owners(self) -> None:
        """One holder an epoch, and epochs that only rise."""
        highest: dict[str, Event] = {}
        for event in of(self.db, "claim"):
            before = highest.get(event.about)
            if before and event.told["epoch"] < before.told["epoch"]:
                self.broke(
                    "owners", event.about, f"at epoch {event.told['epoch']} after {before.told['epoch']}"
                )
            elif (
                before
                and event.told["epoch"] == before.told["epoch"]
                and event.told["life"] not in ("", before.told["life"])
            ):
                self.broke("owners", event.about, f"two holders by epoch {event.told['epoch']}")
            if event.told["holder"]:
                highest[event.about] = event

    def effects(self) -> None:
        """At each receiver no effect of a lower epoch after one of a higher, none of an owner's own after a
        later one on the same backend, and no task goes back."""
        highest: dict[tuple[str, str], int] = {}
        states: dict[tuple[str, str], int] = {}
        numbers: dict[tuple[str, str], int] = {}
        for event in of(self.db, "effect"):
            told, receiver = event.told, event.about if event.who == "trial" else event.who
            key = receiver, told["claim"]
            if told["epoch"] < highest.get(key, 0):
                self.broke(
                    "effects",
                    event.about,
                    f"{told['act']} in the name of {told['claim']} at epoch "
                    f"{told['epoch']} after {highest[key]}",
                )
            highest[key] = max(highest.get(key, 0), told["epoch"])
            act = receiver, told["on"]
            if told.get("number", 0) < numbers.get(act, 0):
                self.broke(
                    "effects", event.about, f"{told['act']} is number {told['number']} after {numbers[act]}"
                )
            numbers[act] = max(numbers.get(act, 0), told.get("number", 0))
            state = STATE.search(told.get("text", ""))
            if told["act"] == "putrecord" and state and state[1] in ORDER:
                task, place = (event.who, told["on"]), ORDER.index(state[1])
                if place < states.get(task, 0) != len(ORDER) - 1:  # one that was over may be asked for again
                    self.broke("effects", event.about, f"{told['on']} went back to {state[1]}")
                states[task] = place

    def tasks(self) -> None:
        for event in of(self.db, "task"):
            if self.plan.holds.tasks_done and not event.told["done"]:
                self.broke("tasks", event.about, "was not done by the end")

    def gaps(self) -> None:
        """How long a claim had no owner that could act: from a fault of its holder until another has it."""
        held: dict[str, list[Event]] = defaultdict(list)
        for event in of(self.db, "claim"):
            held[event.about].append(event)
        found: dict[str, list[float]] = defaultdict(list)
        for fault in of(self.db, "fault"):
            holder, kind = fault.about.partition(">")[0], fault.told["kind"]
            if not holder.startswith("steward-") or kind not in ("kill", "stop", "cut", "term"):
                continue
            for events in held.values():
                before = [event for event in events if event.at_ns <= fault.at_ns]
                after = next((event for event in events[len(before) :] if event.told["holder"]), None)
                # One that came back in time lost nothing, and is no gap.
                if before and after and before[-1].told["holder"] == holder != after.told["holder"]:
                    found[kind].append((after.at_ns - fault.at_ns) / S)
        for kind, gaps in found.items():
            self.verdict.figures[f"ownerless_{kind}_s"] = round(statistics.median(gaps), 3)

    # --- policies ---

    def policies(self) -> None:
        """No request is let in by a policy that was never decided, and no two policies are gone by at once
        for longer than a switch may take."""
        decisions = [event for event in of(self.db, "decided")]
        ins = of(self.db, "let-in")
        since: dict[str, int] = {}
        for event in decisions:
            since.setdefault(event.about, event.at_ns)
        for event in ins:
            if event.told["policy"] != "-" and event.at_ns < since.get(event.told["policy"], 1 << 62):
                self.broke(
                    "policies",
                    event.about,
                    f"{event.who} let it in by {event.told['policy']}, which was not decided by then",
                )
        steps = [step for step in itertools.pairwise(decisions) if step[0].about != step[1].about]
        if decisions and decisions[0].about != "-":
            steps.insert(0, (Event(0, "trial", "decided", "-", {}), decisions[0]))
        windows = [self.switch(new, decisions, ins) for _, new in steps]
        if found := [window for window in windows if window is not None]:
            self.verdict.figures["switch_window_s"] = round(max(found), 4)
        self.verdict.figures["decisions"] = len(steps)

    def switch(self, new: Event, decisions: list[Event], ins: list[Event]) -> float | None:
        """How long requests were still let in by others after the first by the new one, in seconds; None
        where nobody was by it. What comes once a decision after it may be in force is left out."""
        until = min(
            (
                event.at_ns + event.told["now"]["moveMs"] * MS
                for event in decisions
                if event.at_ns > new.at_ns and event.about != new.about
            ),
            default=self.last_ns + 1,
        )
        after = [event for event in ins if new.at_ns <= event.at_ns < until]
        first = next((event for event in after if event.told["policy"] == new.about), None)
        late = [
            event
            for event in after
            if first and event.told["policy"] != new.about and event.at_ns > first.at_ns
        ]
        if not first:
            return None
        window_s = max((event.at_ns - first.at_ns for event in late), default=0) / S
        if window_s > self.plan.holds.switch_s:
            last = max(late, key=lambda event: event.at_ns)
            self.broke(
                "policies",
                last.about,
                f"{last.who} let it in by {last.told['policy']} "
                f"{window_s:.3f} s after {first.who} let {first.about} in by {new.about}",
            )
        return window_s

    def promises(self) -> None:
        """An owner decides only once every door that may serve is ready, each change once, by numbers that
        rise; and in the end all go by it."""
        highest, changes = 0, set[str]()
        for event in of(self.db, "decided"):
            now = event.told["now"]
            if now["number"] <= highest or (now["change"] and now["change"] in changes):
                self.broke(
                    "promises",
                    event.about,
                    f"decided as {now['number']} after {highest}, for change {now['change'] or '-'}",
                )
            highest = max(highest, now["number"])
            changes.add(now["change"])
            if not now["change"]:
                continue  # decided once more by the list service itself, by what was decided before
            for door in event.told["doors"]:
                if door["state"] != "absent" and now["digest"] not in door.get("ready", ()):
                    self.broke("promises", event.about, f"decided while {door['name']} was not ready")
        for event in of(self.db, "door"):
            if self.plan.holds.doors_alike and not event.told["alike"]:
                self.broke(
                    "promises", event.about, f"does not serve by the last policy: {event.told['told']}"
                )
        if self.plan.holds.doors_alike and not of(self.db, "door"):
            self.broke("promises", "trial", "no list service knows which policy holds in the end")

    # --- processes ---

    def exits(self) -> None:
        for event in of(self.db, "exit"):
            if not event.told["meant"]:
                self.broke("exits", event.about, f"ended by itself with {event.told['code']}")
        for event in of(self.db, "unheeded"):
            self.broke("exits", event.about, "did not end when it was asked to")
        for event in of(self.db, "unready"):
            self.broke("exits", event.about, f"was not ready after its start: {event.told['why']}")

    def forms(self) -> None:
        for event in of(self.db, "syntax"):
            self.broke("forms", event.about, f"a backend was sent what is no command: {event.told['words']}")

    # --- figures ---

    def speed(self) -> None:
        for event in of(self.db, "shim"):
            if not event.told["built"]:
                self.verdict.skipped.append("no C compiler here: no system call was made to fail")
        for event in of(self.db, "relay"):
            self.verdict.figures |= {
                f"relay_late_{key}": round(value, 3) for key, value in event.told.items() if key != "ticks"
            }
            if event.told["most_ms"] > MOST_LATE_RELAY_MS:
                self.verdict.slow.append(f"the relays' loop stood still for {event.told['most_ms']:.0f} ms")
        late = sorted(ask.told["late_us"] / 1000 for ask in self.asks.values())
        if late:
            self.verdict.figures |= {
                "send_late_median_ms": late[len(late) // 2],
                "send_late_p99_ms": late[len(late) * 99 // 100],
                "send_late_most_ms": late[-1],
            }
            if late[len(late) * 99 // 100] > MOST_LATE_SEND_MS:
                self.verdict.slow.append(
                    f"one send in a hundred was late by {late[len(late) * 99 // 100]:.0f} ms"
                )

    def figures(self) -> None:
        ends = Counter(ends[0].told["how"] for ends in self.ends.values())
        latencies = HdrHistogram(1, 60_000_000, 3)  # microseconds
        for request, found in self.ends.items():
            if found[0].told["how"] == "served" and request in self.asks:
                latencies.record_value(max(1, (found[0].at_ns - self.asks[request].at_ns) // 1000))
        asked = max(1, len(self.asks))
        served = ends["served"] / asked
        self.verdict.figures |= {
            "asked": len(self.asks),
            "attempts": len(self.attempts),
            "served_share": round(served, 4),
            "busy_share": round(ends["busy"] / asked, 4),
            "failed_share": round(ends["failed"] / asked, 4),
            "closed": ends["closed"],
            "unsent": ends["unsent"],
            "faults": len(of(self.db, "fault")),
            "injected_calls": sum(event.told["count"] for event in of(self.db, "injected")),
            "left": ends["left"],
            "odd_clients": len(of(self.db, "odd")),
            "spoilt_answers": len(of(self.db, "spoilt")),
            "p50_ms": latencies.get_value_at_percentile(50) / 1000,
            "p99_ms": latencies.get_value_at_percentile(99) / 1000,
        }
        if self.asks and served < self.plan.holds.served:
            self.broke(
                "served",
                "trial",
                f"{served:.3f} of the requests were served; the plan wants {self.plan.holds.served:g}",
            )


def later(times: list[int], than: int) -> int:
    """The first of the times from then on; far away if there is none."""
    at = bisect.bisect_left(times, than)
    return times[at] if at < len(times) else 1 << 62


def term_of(store: str) -> int:
    term = store.rpartition(" ")[2]
    return int(term) if term.isdigit() else 0
