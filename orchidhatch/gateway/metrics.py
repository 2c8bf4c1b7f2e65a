"""The module's figures for those on call: forms, which decide nothing."""

from typing import TYPE_CHECKING

from orchidhatch.gateway import interface as i
from orchidhatch.gateway.state import NEVER, Job, S

if TYPE_CHECKING:
    from orchidhatch.gateway.core import Gateway

FATES = ("told", "heard", "asked", "answered")  # messages to and from peers; asks, those answered


def line(gateway: "Gateway") -> str:
    """What they need first: the cap, what is out and held, and why requests were ended."""
    cap, routing, peers = gateway.cap, gateway.routing, gateway.words.tally
    ended = " ".join(f"{why}={count}" for why, count in sorted(gateway.tally.items()))
    known = " ".join(f"{how}={count}" for how, count in sorted(gateway.decided.items()))
    most = "lifted" if cap.n_past is None else f"{cap.n_past:.1f}/{cap.cc_us // S}s"
    means = ",".join(f"{mean / 1000:.0f}" for mean in routing.mean_us)
    return (
        f"cap {most} occupancy {cap.occup:.2f} rate {cap.rate:.0f}/s mean {means} ms"
        f" out {cap.out} held {len(gateway.held)} ({held_for(gateway)}) waiting {len(gateway.waits)}"
        f" up {len(routing.up)} suspect {routing.suspect()} ended: {ended or '-'}"
        f" decided: {known or '-'} old words {gateway.old_us // 1000} ms"
        f" peers: {' '.join(f'{what} {peers[what]}' for what in FATES)}"
    )


def census(gateway: "Gateway") -> i.Census:
    """How it is now; servers count as avoided by hand or by choice."""
    now, words, routing = gateway.desk.now, gateway.words, gateway.routing
    good = sum(now >= server.avoid_until and not server.on_trial for server in routing.up)
    listed = sum(server.entry.state is not i.ServerState.GONE for server in routing.servers.values())
    waits = [job.came_us for _, _, job in gateway.held] + [job.came_us for job in gateway.waits]
    return i.Census(
        listed,
        listed - good,
        len(waits),
        now - min(waits, default=now),
        sum(map(len, words.waiting.values())),
        now - min(words.since.values(), default=now),
        words.dropped,
        tuple(sorted(gateway.ended.items())),
    )


def waits_for(gateway: "Gateway", job: Job) -> str:
    """What a request that waits here waits for, by the names of the reasons for which requests are ended."""
    customer, now = job.customer, gateway.desk.now
    if job.decide_us < NEVER:
        return "word"
    if job.servers:
        return "again"
    if customer.plan.max_out and customer.at_open_cap(now):
        return "open_cap"
    if customer.plan.ceiling_rate and customer.ceiling < job.req.units:  # as it was last refilled
        return "ceiling"
    return "server" if gateway.allowance() else "cap"


def held_for(gateway: "Gateway") -> str:
    """What the held requests that were never sent wait for, beside a server and the cap."""
    firsts = [job for _, _, job in gateway.held if not job.servers]
    at_cap = sum(job.customer.at_open_cap(gateway.desk.now) for job in firsts)
    under = sum(job.customer.plan.ceiling_rate > 0 and job.customer.ceiling < job.req.units for job in firsts)
    return f"open cap {at_cap} ceiling {under}"
