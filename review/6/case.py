"""One command of a bad client holds the front door up for many seconds, and what the others sent is lost."""

import asyncio

from review.rig2 import rig as rig2

DIGITS = 60_000
"""With them the command's longest value stays under the protocol's 64 KiB."""


async def send_bad_command(rig: rig2.Rig, port: int) -> None:
    """Send one command whose `units` are not a number, and go."""
    units = "1" * DIGITS + "x"
    fields = f"c=job-search,t=stor,d=480,units={units},spread=1,first=0"
    _, writer = await asyncio.open_connection(rig2.HOST, port)
    writer.write(rig2.encode_command("SVC.QUERY", "00000000b4d65521", "badx1", fields))
    await writer.drain()
    rig.note(f"sent by a bad client: one command, its field list of {len(fields)} bytes")
    await asyncio.sleep(0.2)
    writer.close()


async def ask_others(rig: rig2.Rig, listen: int, management: int) -> None:
    """Ask PING and /healthcheck once and record what they get within 1 s; the rule does not go by it."""
    answer = "nothing"
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(rig2.HOST, listen)
            writer.write(rig2.encode_command("PING"))
            answer = (await reader.readline()).decode().strip()
            writer.close()
    except (OSError, TimeoutError):
        pass
    status, _ = await asyncio.to_thread(rig2.http_call, management, "GET", "/healthcheck", None, 1.0)
    rig.note(f"PING -> {answer}; /healthcheck -> {status or 'nothing'}")


async def case(rig: rig2.Rig) -> int:
    """Serve a load, and let one bad client send one command."""
    backends = [rig2.Backend(rig, f"s-{number}") for number in range(3)]
    for backend in backends:
        await backend.start()
    entries = [{**backend.entry(), "cell": 0, "weight": 1.0, "startedAtMs": 0} for backend in backends]
    discovery = rig2.Discovery(rig, entries)
    await discovery.start()
    listen, management = rig2.free_port(), rig2.free_port()
    config = rig2.gateway_config(listen, discovery.port, management=f"{rig2.HOST}:{management}")
    rig.start_gateway("door", rig.write_config("door", config))
    await rig.wait_http(management)

    client = rig2.Client(rig, listen)
    load = asyncio.ensure_future(client.load(per_s=20, lasts_s=15))
    await asyncio.sleep(4)
    if client.counts(0, 1e9)["served"] < 40:
        raise rig2.CannotRunError("the load is not served")
    bad_s = rig.now()
    if rig2.has_trouble():
        await send_bad_command(rig, listen)
    await asyncio.sleep(2)
    await ask_others(rig, listen, management)
    await load
    client.close()
    ran = rig.processes["door"].poll() is None

    before, after = client.counts(0, bad_s - 0.1), client.counts(bad_s - 0.1, 1e9)
    rig.say(f"requests before: {before}, from then on: {after}; the process runs: {ran}")
    return rig2.BROKEN if after["lost"] or not ran else rig2.HELD


if __name__ == "__main__":
    rig2.run_case(__file__, case)
