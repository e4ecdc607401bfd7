"""Clients use their source ports again after 40 s; meanwhile a host drains."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from rig import BOUNDS, now, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
PORTS, PAUSE_S = 10, 0.4
REUSE_S = 40  # a port is used again when its last flow has been closed at both ends for so long


async def scenario(rig, trouble):
    await rig.start()
    rig.publish_config(7, {ROUTE: "core"}, ["core"], idle_ms=12000)
    for number in range(4):
        await rig.add_host(f"host-{number}", "core", number)
    clients = [await rig.add_client(number) for number in range(10)]
    if not await rig.wait_ready():
        return None
    await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 1)
    broken, sent, answered, draining = [], {}, 0, {}

    def on_run(host, flow, request):
        acked = draining.get(host.name)
        if acked and flow["syn_at"] - acked > BOUNDS["drain_ms"] / 1000 and sent[request] > acked:
            broken.append(f"DRAIN: request {request} ran at {host.name}, {flow['syn_at'] - acked:.2f} s after the store "
                          "acknowledged that it drains")
    for host in rig.hosts:
        host.on_run = on_run

    async def use_ports(client, name):
        nonlocal answered
        for port in range(20000, 20000 + PORTS):
            request = f"{name}-{port}"
            sent[request] = now()
            outcome, _ = await client.attempt(request, ROUTE, port=port)
            answered += outcome == "answered"
            await asyncio.sleep(PAUSE_S)

    start = now()
    await asyncio.gather(*(use_ports(client, f"first-c{number}") for number, client in enumerate(clients)))
    await asyncio.sleep(max(0.0, start + REUSE_S - 5 - now()))
    if trouble:
        draining[rig.hosts[1].name] = rig.hosts[1].drain()
    await asyncio.sleep(max(0.0, start + REUSE_S - now()))
    await asyncio.gather(*(use_ports(client, f"second-c{number}") for number, client in enumerate(clients)))
    print(f"{len(sent)} requests sent, {answered} answered")
    if answered < len(sent) / 2:
        return None
    return broken


run_case(Path(__file__).parent, scenario)
