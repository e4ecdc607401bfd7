"""Trial of the FLOW report on strazca-lb: a route goes to another service and another route loses one of its two. Then two
agents of the new service restart, the third one is stopped, and two entries restart, one after the other.

Run it after the build of the deploy file; to try another version, put it into the same folder of a checkout of that one.
Flows at the upstream of the stopped agent are counted apart: they can't go on. Exit code as in review/N/run.sh.
"""
import asyncio
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "review" / "standin"))
import rig as stand_ins  # noqa: E402
from rig import BOUNDS, now, run_case  # noqa: E402

MOVED, SPLIT, PLAIN = ("198.18.0.1", 443), ("198.18.0.2", 443), ("198.18.0.3", 443)
BEFORE = {MOVED: "core", SPLIT: {"core": 50, "label": 50}, PLAIN: "label"}
AFTER = {MOVED: "label", SPLIT: {"core": 100}, PLAIN: "label"}
FLOWS, STOPPED = 48, 5  # the last host's agent is stopped
STRAY_S, STRAY_PACKETS = 2.0, 3  # flow_ms of the site, packets that reach others meanwhile
LIMIT_S = 3.0  # of a request: a flow without an answer is used for as long

arrivals = {}  # by flow: (time, host, whether the host holds it) of packets other than SYNs


def note_packets():
    handle = stand_ins.Host.on_datagram

    def on_datagram(self, raw):
        packet = stand_ins.Packet(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if not packet.flags & stand_ins.SYN:
            arrivals.setdefault(key, []).append((now(), self.name, bool(flow and flow["open"])))
        handle(self, raw)
    stand_ins.Host.on_datagram = on_datagram


def strayed(items):
    """Whether for STRAY_S packets of the flow reached other hosts and none its own."""
    own = [time for time, _, is_held in items if is_held]
    for start, end in zip(own, own[1:] + [own[-1] + LIMIT_S] if own else []):
        others = [time for time, _, is_held in items if not is_held and start < time < end]
        if end - start >= STRAY_S and any(
                sum(time <= other <= time + STRAY_S for other in others) >= STRAY_PACKETS for time in others):
            return True
    return False


async def scenario(rig, trouble):
    note_packets()
    await rig.start()
    rig.publish_config(7, BEFORE, ["core", "label"])
    for number in range(6):
        await rig.add_host(f"host-{number}", "core" if number < 3 else "label", number)
    clients = [await rig.add_client(number) for number in range(4)]
    if not await rig.wait_ready():
        return None
    await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 1)
    start = now()
    flows = [asyncio.create_task(clients[i // 2 % 4].converse(f"f{i}", (MOVED, SPLIT)[i % 2], start + 18, limit_s=LIMIT_S))
             for i in range(FLOWS)]
    await asyncio.sleep(3)
    rig.publish_config(9, AFTER, ["core", "label"])
    await asyncio.sleep(5)
    if trouble:
        for number in (3, 4):
            rig.signal(f"agent-{number}", signal.SIGTERM)
            rig.processes[f"agent-{number}"].wait()
            rig.start_process("agent", rig.hosts[number].ip, number, rig.hosts[number].service)
        rig.signal(f"agent-{STOPPED}", signal.SIGSTOP)
        await asyncio.sleep(0.5)
        await rig.restart_entry(0)
        await asyncio.sleep(1.5)
        await rig.restart_entry(1)
    results = await asyncio.gather(*flows)
    stopped = f"host-{STOPPED}" if trouble else None
    sound = [outcomes for outcomes, host in results if host != stopped]
    stray_at = [next((host for _, host, is_held in items if is_held), None)
                for items in arrivals.values() if strayed(items)]
    print(f"{len(results)} flows, {len(sound)} at upstreams whose agent runs. Of these: reset",
          sum("reset-by-system" in outcomes for outcomes in sound), "timed out",
          sum("timeout" in outcomes for outcomes in sound), "strayed", sum(host != stopped for host in stray_at))
    print("at the other one: timed out", sum("timeout" in outcomes for outcomes, host in results if host == stopped),
          "strayed", sum(host == stopped for host in stray_at))
    broken = [f"FLOW: packets of a flow at {host} reached only others" for host in stray_at if host != stopped]
    return broken + ["FLOW: a flow was reset by the system" for outcomes in sound if "reset-by-system" in outcomes]


with tempfile.TemporaryDirectory() as folder:
    run_case(folder, scenario)
