"""A new version sends the new flows of a route to another service, and those of a second route to one of its two
services only; then an entry is stopped and started."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from rig import BOUNDS, now, run_case  # noqa: E402

MOVED, SPLIT, PLAIN = ("198.18.0.1", 443), ("198.18.0.2", 443), ("198.18.0.3", 443)
FLOWS = 48
BEFORE = {MOVED: "core", SPLIT: {"core": 50, "label": 50}, PLAIN: "label"}
AFTER = {MOVED: "label", SPLIT: {"core": 100}, PLAIN: "label"}


async def scenario(rig, trouble):
    await rig.start()
    rig.publish_config(7, BEFORE, ["core", "label"])
    for number in range(6):
        await rig.add_host(f"host-{number}", "core" if number < 3 else "label", number)
    clients = [await rig.add_client(number) for number in range(4)]
    if not await rig.wait_ready():
        return None
    await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 1)
    start = now()
    flows = [asyncio.create_task(clients[i // 2 % 4].converse(f"f{i}", (MOVED, SPLIT)[i % 2], start + 18))
             for i in range(FLOWS)]
    await asyncio.sleep(3)
    rig.publish_config(9, AFTER, ["core", "label"])
    rig.record.write("configuration-acknowledged", version=9)
    await asyncio.sleep(5)
    new_flows = [await client.attempt(f"new-{i}", MOVED) for i, client in enumerate(clients)]
    if trouble:
        await rig.restart_entry(0)
    results = await asyncio.gather(*flows)
    if any(outcome != "answered" for outcome, _ in new_flows):
        return None
    broken = []
    for number, (outcomes, host) in enumerate(results):
        if outcomes[0] != "answered":
            return None
        if "reset-by-system" in outcomes:
            broken.append(f"FLOW: flow f{number} of the {('moved', 'split')[number % 2]} route, open at {host}, which runs "
                          f"and holds it, got a reset of the system in its request {len(outcomes)}")
    print(f"{len(results)} flows,", sum(len(outcomes) for outcomes, _ in results), "requests;",
          "new flows after the change went to", sorted({text.split(" by ")[-1] for _, text in new_flows}))
    return broken


run_case(Path(__file__).parent, scenario)
