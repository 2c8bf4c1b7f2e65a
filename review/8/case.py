"""Emptying a front door that an agent keeps to the policy: the agent has it take clients again."""

import asyncio

from review.rig2 import rig as rig2

MUST_SAY_NO_S = 4.0 + 0.05
"""How long after the call the front may hear a yes, with the slack on sockets."""


async def ping(port: int) -> str:
    """Ask PING on a new connection, as the front does, and return the answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(rig2.HOST, port)
            writer.write(rig2.encode_command("PING"))
            answer = (await reader.readline()).decode().strip()
            writer.close()
    except (OSError, TimeoutError) as error:
        return f"no answer: {type(error).__name__}"
    return answer


async def is_kept(management: int) -> bool:
    """Return whether the gateway serves by the policy in force."""
    status, value = await asyncio.to_thread(rig2.http_call, management, "GET", "/healthcheck")
    return status == 200 and "policy" in str(value)


async def case(rig: rig2.Rig) -> int:
    """Empty the front door, and ask it every 0.1 s as the front does."""
    registry, agent, listen, management = (rig2.free_port() for _ in range(4))
    rig.start_registry("registry", registry, "--create")
    await rig.wait_http(registry)
    backends = [rig2.Backend(rig, f"s-{number}") for number in range(3)]
    for backend in backends:
        await backend.start()
        await rig.call(registry, "POST", "/entries", backend.entry())
    config = rig.write_config(
        "door", rig2.gateway_config(listen, agent, management=f"{rig2.HOST}:{management}")
    )
    rig.start_agent("agent", agent, [registry], *rig.keeping(config, management))
    await rig.wait_http(agent)
    rig.start_gateway("door", config)
    await rig.wait_until(lambda: is_kept(management), "a gateway kept to the policy", 40)
    if await ping(listen) != "+PONG":
        raise rig2.CannotRunError("the front door does not take clients")

    client = rig2.Client(rig, listen)
    load = asyncio.ensure_future(client.load(per_s=10, lasts_s=3))
    await asyncio.sleep(1)
    called_s = rig.now()
    if rig2.has_trouble():
        status, _ = await rig.call(management, "POST", "/healthcheck/fail")
        if status != 200:
            raise rig2.CannotRunError("the call was refused")
    answers: list[tuple[float, str]] = []
    while rig.now() < called_s + 10:
        answers.append((rig.now() - called_s, await ping(listen)))
        rig.note(f"PING -> {answers[-1][1]}")
        await asyncio.sleep(0.1)
    await load
    client.close()

    late_yes = [at_s for at_s, answer in answers if at_s >= MUST_SAY_NO_S and answer == "+PONG"]
    rig.say(f"asked {len(answers)} times; yes later than {MUST_SAY_NO_S:g} s after the call: {len(late_yes)}")
    if not rig2.has_trouble():
        return rig2.HELD if late_yes else rig2.CANNOT_RUN
    return rig2.BROKEN if late_yes else rig2.HELD


if __name__ == "__main__":
    rig2.run_case(__file__, case)
