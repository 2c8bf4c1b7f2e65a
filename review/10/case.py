"""Replacing the process of a front door that an agent keeps to the policy: the new one never says yes."""

import asyncio
import socket

from review.rig2 import rig as rig2

READY_WITHIN_S = 30.0 + 0.05
"""How long a front door may take to be ready, with the slack on sockets."""


async def is_kept(management: int) -> bool:
    """Return whether the gateway serves by the policy in force."""
    status, value = await asyncio.to_thread(rig2.http_call, management, "GET", "/healthcheck")
    return status == 200 and "policy" in str(value)


async def health_status(rig: rig2.Rig, management: int) -> int:
    """Ask a process whether it is ready to serve; return the status of its answer, 0 if there was none."""
    status, value = await asyncio.to_thread(rig2.http_call, management, "GET", "/healthcheck")
    rig.note(f"healthcheck at {management} -> {status} {str(value).strip()}")
    return status


async def case(rig: rig2.Rig) -> int:
    """Start `run` again beside the serving process, and wait for its yes."""
    registry, agent, management, new_management = (rig2.free_port() for _ in range(4))
    listening = socket.socket()
    listening.bind((rig2.HOST, 0))
    listening.listen(1024)
    listen = listening.getsockname()[1]
    rig.start_registry("registry", registry, "--create")
    await rig.wait_http(registry)
    backends = [rig2.Backend(rig, f"s-{number}") for number in range(3)]
    for backend in backends:
        await backend.start()
        await rig.call(registry, "POST", "/entries", backend.entry())
    config = rig.write_config("door", rig2.gateway_config(listen, agent))
    rig.start_agent("agent", agent, [registry], *rig.keeping(config, management))
    await rig.wait_http(agent)
    rig.start_gateway("old", config, listening, PROXY_MANAGEMENT=f"{rig2.HOST}:{management}")
    await rig.wait_until(lambda: is_kept(management), "a gateway kept to the policy", 40)

    client = rig2.Client(rig, listen)
    load = asyncio.ensure_future(client.load(per_s=10, lasts_s=READY_WITHIN_S + 6))
    await asyncio.sleep(4)
    asked = management
    started_s = rig.now()
    if rig2.has_trouble():
        rig.start_gateway("new", config, listening, PROXY_MANAGEMENT=f"{rig2.HOST}:{new_management}")
        asked = new_management
    ready_s = None
    answers = 0
    while rig.now() < started_s + READY_WITHIN_S + 1 and ready_s is None:
        status = await health_status(rig, asked)
        answers += status > 0
        if status == 200:
            ready_s = rig.now() - started_s
        await asyncio.sleep(0.5)
    await load
    client.close()
    listening.close()

    newest = "new" if rig2.has_trouble() else "old"
    if ready_s is None and (rig.processes[newest].poll() is not None or not answers):
        raise rig2.CannotRunError("the process asked does not run, or has no management address")
    rig.say(f"requests before: {client.counts(0, started_s)}, after: {client.counts(started_s, 1e9)}")
    rig.say(f"ready after: {'never' if ready_s is None else f'{ready_s:.1f} s'}")
    return rig2.BROKEN if ready_s is None else rig2.HELD


if __name__ == "__main__":
    rig2.run_case(__file__, case)
