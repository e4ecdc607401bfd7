"""Clients use their source ports again after 40 s; the entries are stopped and started in turn, twice."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from rig import BOUNDS, now, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
FLOWS = 48


async def scenario(rig, trouble):
    await rig.start()
    rig.publish_config(7, {ROUTE: "core"}, ["core"], idle_ms=12000)
    for number in range(4):
        await rig.add_host(f"host-{number}", "core", number)
    clients = [await rig.add_client(number) for number in range(4)]
    if not await rig.wait_ready():
        return None
    await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 1)

    async def roll():
        for number in range(len(rig.entry_ips)):
            await rig.restart_entry(number)
            await asyncio.sleep(1.5)
    start = now()
    places = [(clients[i % 4], 20000 + i) for i in range(FLOWS)]
    first = await asyncio.gather(*(client.attempt(f"first-{port}", ROUTE, port=port) for client, port in places))
    await asyncio.sleep(max(0.0, start + 20 - now()))
    if trouble:
        await roll()
    await asyncio.sleep(max(0.0, start + 40 - now()))
    flows = [asyncio.create_task(client.converse(f"second-{port}", ROUTE, now() + 18, port=port))
             for client, port in places]
    await asyncio.sleep(2)
    if trouble:
        await roll()
    results = await asyncio.gather(*flows)
    if any(outcome != "answered" for outcome, _ in first):
        return None
    broken = []
    for (client, port), (outcomes, host) in zip(places, results):
        if "reset-by-system" in outcomes and host:
            broken.append(f"FLOW: the flow of {client.ip}:{port}, open at {host}, which runs and holds it, got a reset of "
                          f"the system in its request {len(outcomes)}")
    print(f"{len(results)} flows,", sum(len(outcomes) for outcomes, _ in results), "requests;", "other ends:",
          sorted({outcomes[-1] for outcomes, _ in results}))
    return broken


run_case(Path(__file__).parent, scenario)
