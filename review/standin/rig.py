"""Stand-ins for a small deployment on loopback: the platform (store, routers, settings files), hosts and clients.

Written from the users' pages (PROTOCOL.md, DEPLOY.md). Everything runs on one asyncio loop; the programs under test are
separate processes, started with the commands and the environment of the deploy file and with settings files made from
its template.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST, BOUNCED = 16, 64, 128, 32, 1
HEAD = struct.Struct(">B5s4s4sHHIIIIH")
SUM_KEY = b"key of the two ends"
PORTS = {"packets": 8172, "ready": 8167, "control": 8166, "outbound": 8162, "app": 8165, "store": 8169,
         "internal": (7720, 7735), "metrics": 9464}
HEARTBEAT_S = 0.77
BOUNDS = {"drain_ms": 3000, "config_apply_ms": 3000, "stability_window_ms": 4000, "grace_s": 6, "flow_ms": 2000,
          "flow_max_s": 60}


def now():
    return time.monotonic()


# ---------------------------------------------------------------------------------------------------------------------
# Packets
# ---------------------------------------------------------------------------------------------------------------------
def keyed_sum(flags, dst, src, sport, dport, seq, ack, data):
    covered = struct.pack(">B4s4sHHIIH", flags & ~BOUNCED, dst, src, sport, dport, seq, ack, len(data)) + data
    return zlib.crc32(SUM_KEY + covered)


def make_packet(flags, src, sport, dst, dport, seq, ack, data=b""):
    src, dst = socket.inet_aton(src), socket.inet_aton(dst)
    total = keyed_sum(flags, dst, src, sport, dport, seq, ack, data)
    return HEAD.pack(flags, bytes(5), dst, src, sport, dport, seq, ack, total, 0, len(data)) + data


class Packet:
    def __init__(self, raw):
        (self.flags, self.pad, dst, src, self.sport, self.dport, self.seq, self.ack, self.sum, self.echo,
         length) = HEAD.unpack(raw[:HEAD.size])
        self.data = raw[HEAD.size:]
        self.src, self.dst = socket.inet_ntoa(src), socket.inet_ntoa(dst)
        self.genuine = length == len(self.data) and self.sum == keyed_sum(
            self.flags, dst, src, self.sport, self.dport, self.seq, self.ack, self.data)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, address):
        if len(raw) >= HEAD.size:
            self.handler(raw)


async def open_udp(address, handler):
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(lambda: Udp(handler), local_addr=address)
    return protocol.transport


# ---------------------------------------------------------------------------------------------------------------------
# Record of a run
# ---------------------------------------------------------------------------------------------------------------------
class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def write(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now() - self.start:9.3f} {what} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------------------------------------
# Store
# ---------------------------------------------------------------------------------------------------------------------
class Store:
    """Reads, ranges and watches; keeps the history of writes for history_s."""
    PAGE_ITEMS = 500
    PAGE_BYTES = 1 << 20

    def __init__(self, record, history_s=20.0):
        self.record = record
        self.history_s = history_s
        self.revision = 1000
        self.items = {}
        self.history = []  # (time, event)
        self.lost_up_to = 0  # newest revision that the history no longer has
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        assert len(key) <= 200 and len(raw) <= 1048576
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(raw).decode(), "rev": self.revision, "created": created,
                "lease": 0}
        self.items[key] = item
        self.note(item)
        return now()  # when the store acknowledges the write

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "rev": self.revision, "removed": True})

    def note(self, event):
        self.history.append((now(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def trim(self):
        while self.history and now() - self.history[0][0] > self.history_s:
            self.lost_up_to = self.history.pop(0)[1]["rev"]

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                target = line.split()[1].decode()
                while (await reader.readline()).strip():
                    pass
                status, body = await self.answer(target)
                raw = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(raw)}"
                             "\r\n\r\n".encode() + raw)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query, encoding="latin-1").items()}
        if parts.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if parts.path == "/-/kv-range":
            return 200, self.page(query["prefix"], query.get("after", ""))
        if parts.path == "/-/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        return 404, {}

    def page(self, prefix, after):
        page, size, more = [], 0, False
        for key in sorted(key for key in self.items if key.startswith(prefix) and key > after):
            item = self.items[key]
            if page and (len(page) >= self.PAGE_ITEMS or size + len(item["value"]) > self.PAGE_BYTES):
                more = True
                break
            page.append(item)
            size += len(item["value"])
        return {"items": page, "has_more": more, "store_revision": self.revision}

    async def watch(self, prefix, after, wait_s):
        deadline = now() + wait_s
        while True:
            self.trim()
            if after < self.lost_up_to:
                return 410, {}
            events = [event for _, event in self.history if event["rev"] > after and event["key"].startswith(prefix)]
            if events or now() >= deadline:
                size = sum(len(event.get("value", "")) for event in events)
                if size > 1 << 20:
                    self.record.write("store-answers-watch", prefix=prefix, after=after, events=len(events), bytes=size)
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - now())
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------------------------------------------------------------
# Host
# ---------------------------------------------------------------------------------------------------------------------
class Host:
    """An application host beside an agent. Requests and answers fit into one packet each."""

    def __init__(self, rig, name, ip, zone, service, slots=4, work_s=0.02):
        self.rig, self.name, self.ip, self.zone, self.service = rig, name, ip, zone, service
        self.slots, self.work_s = slots, work_s
        self.state, self.seq_no, self.born = "ready", 0, int(time.time() * 1000)
        self.flows = {}
        self.running = 0
        self.idle_timeout_s = 12.0  # an ended flow is kept for as long
        self.on_run = None  # hook(host, flow, request)

    async def start(self):
        self.socket = await open_udp((self.ip, PORTS["app"]), self.on_datagram)
        self.publish()
        self.beat = asyncio.create_task(self.heartbeat())

    def publish(self):
        return self.rig.store.put("servers/" + self.name, {
            "service": self.service, "address": f"{self.ip}:{PORTS['app']}", "zone": self.zone, "version": "1.0",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq_no": self.seq_no, "born": self.born})

    async def heartbeat(self):  # an entry of which only seq_no changes is no event
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.seq_no += 1
            for key in [key for key, flow in self.flows.items()
                        if flow["ended"] and now() - flow["used"] > self.idle_timeout_s]:
                del self.flows[key]

    def drain(self):
        self.state = "draining"
        acked = self.publish()
        self.rig.record.write("draining-acknowledged", host=self.name, revision=self.rig.store.revision)
        return acked

    def send(self, raw):
        self.socket.sendto(raw, (self.ip, PORTS["outbound"]))

    def reply(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        self.send(make_packet(flags, dst, dport, src, sport, seq, ack, data))

    def on_datagram(self, raw):
        packet = Packet(raw)
        if not packet.genuine or (packet.flags & SYN and packet.flags & ACK):
            self.rig.record.write("host-got-forged-packet", host=self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if not flow or (flow["ended"] and flow["client_seq"] != packet.seq):
                flow = self.flows[key] = {"seq": random.getrandbits(30), "client_seq": packet.seq, "open": False,
                                          "ended": False, "syn_at": now(), "used": now(), "requests": {}}
                self.rig.record.write("host-takes-syn", host=self.name, client=f"{packet.src}:{packet.sport}",
                                      state=self.state)
            if not flow["open"]:
                self.reply(key, SYN | ACK, flow["seq"], (packet.seq + 1) & 0xffffffff)
            return
        if not flow or (not flow["open"] and packet.ack != (flow["seq"] + 1) & 0xffffffff):
            self.send(bytes([raw[0] | BOUNCED]) + bytes(5) + raw[6:])
            return
        flow["used"] = now()
        if packet.flags & RST:
            self.flows.pop(key)
            return
        if not flow["open"]:
            flow["open"] = True
            flow["next"] = (packet.seq) & 0xffffffff
            flow["out"] = (flow["seq"] + 1) & 0xffffffff
        if flow["ended"]:
            if packet.data:
                self.reply(key, RST, flow["out"], 0)
            elif packet.flags & FIN:
                self.reply(key, ACK, flow["out"], (packet.seq + 1) & 0xffffffff)
            return
        if packet.data:
            self.on_data(key, flow, packet)
        if packet.flags & FIN:
            flow["ended"] = True
            self.reply(key, ACK | FIN, flow["out"], (packet.seq + len(packet.data) + 1) & 0xffffffff)

    def on_data(self, key, flow, packet):
        end = (packet.seq + len(packet.data)) & 0xffffffff
        known = flow["requests"].get(packet.seq)
        self.reply(key, ACK, flow["out"], end)
        if known is not None:  # a retransmission
            if known:
                self.send(known)
            return
        flow["requests"][packet.seq] = b""
        request = re.search(rb"Request-Id: (\S+)", packet.data).group(1).decode()
        self.running += 1
        self.rig.record.write("host-runs", host=self.name, service=self.service, request=request, state=self.state)
        if self.on_run:
            self.on_run(self, flow, request)
        asyncio.get_running_loop().call_later(self.work_s, self.answer, key, flow, packet.seq, end, request)

    def answer(self, key, flow, seq, end, request):
        self.running -= 1
        if self.flows.get(key) is not flow:
            return
        body = f"answer to {request} by {self.name}"
        data = (f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.name}\r\nRequest-Id: {request}\r\nContent-Length: {len(body)}"
                f"\r\n\r\n{body}").encode()
        src, sport, dst, dport = key
        flags = ACK | FIN if self.state == "draining" else ACK
        raw = make_packet(flags, dst, dport, src, sport, flow["out"], end, data)
        flow["out"] = (flow["out"] + len(data)) & 0xffffffff
        flow["requests"][seq] = raw
        self.send(raw)

    def stop(self):
        self.beat.cancel()
        self.socket.close()


# ---------------------------------------------------------------------------------------------------------------------
# Client
# ---------------------------------------------------------------------------------------------------------------------
class Client:
    """One client address. Opens a flow for each request, from a new port."""

    def __init__(self, rig, ip):
        self.rig, self.ip = rig, ip
        self.flows = {}  # by own port
        self.next_port = random.randint(10000, 20000)

    async def start(self):
        self.socket = await open_udp((self.ip, PORTS["packets"]), self.on_datagram)

    def on_datagram(self, raw):
        packet = Packet(raw)
        flow = self.flows.get(packet.dport)
        if flow:
            flow.put_nowait(packet)

    def send(self, flow_id, flags, seq, ack, data=b""):
        port, route = flow_id
        raw = make_packet(flags, self.ip, port, route[0], route[1], seq, ack, data)
        entry = self.rig.entry_for((self.ip, port) + tuple(route))
        if entry:
            self.socket.sendto(raw, entry)

    def take_port(self):
        self.next_port += 1
        return self.next_port

    async def attempt(self, request, route, limit_s=3.0, port=None):
        """Returns (outcome, text). Outcomes: answered, not-opened, refused, reset, timeout."""
        port = port or self.take_port()
        flow_id, inbox = (port, route), asyncio.Queue()
        self.flows[port] = inbox
        started = now()
        self.rig.record.write("client-sends", request=request, client=f"{self.ip}:{port}", route=f"{route[0]}:{route[1]}")
        try:
            outcome, text = await self.exchange(flow_id, inbox, request, started, limit_s)
        finally:
            self.flows.pop(port, None)
        self.rig.record.write("client-ends", request=request, outcome=outcome, ms=round((now() - started) * 1000))
        return outcome, text

    async def handshake(self, flow_id, inbox, seq, started):
        """Returns the SYN+ACK, "refused" or None."""
        for copy, ends in enumerate((0.2, 0.6, 1.4)):
            self.send(flow_id, SYN, seq, copy)
            while now() < started + ends:
                try:
                    packet = await asyncio.wait_for(inbox.get(), max(0.001, started + ends - now()))
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    return "refused"
                if packet.genuine and packet.flags & SYN and packet.flags & ACK and packet.ack == seq + 1:
                    return packet
        return None

    async def request(self, flow_id, inbox, request, seq, ack, until):
        """Sends a request on an open flow. Returns the outcome, the packet of the answer and the next sequence."""
        data = f"GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: {request}\r\n\r\n".encode()
        delay = 0.2
        while now() < until:
            self.send(flow_id, ACK, seq, ack, data)
            repeat_at = min(now() + delay, until)
            delay = min(delay * 2, 1.6)
            while now() < repeat_at:
                try:
                    packet = await asyncio.wait_for(inbox.get(), max(0.001, repeat_at - now()))
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    # A client takes a reset of the system near its last ack, and one of the flow's host.
                    near = (packet.seq - ack + 76800) % 2**32 <= 2 * 76800
                    if packet.sum == 0 and near:
                        return "reset-by-system", packet, seq
                    if packet.sum != 0 and packet.genuine:
                        return "reset-by-host", packet, seq
                if packet.genuine and packet.data and packet.seq == ack:
                    return "answered", packet, seq + len(data)
        return "timeout", None, seq + len(data)

    async def exchange(self, flow_id, inbox, request, started, limit_s):
        seq = random.getrandbits(30)
        opened = await self.handshake(flow_id, inbox, seq, started)
        if opened is None or opened == "refused":
            return opened or "not-opened", ""
        outcome, packet, seq = await self.request(flow_id, inbox, request, seq + 1, opened.seq + 1, started + limit_s)
        if outcome == "answered":
            self.send(flow_id, ACK | FIN, seq, packet.seq + len(packet.data) + bool(packet.flags & FIN))
            return outcome, packet.data.decode()
        return outcome, ""

    async def converse(self, name, route, until, pause_s=0.4, limit_s=3.0, port=None):
        """Keeps one flow open for many requests. Returns (outcomes, host): the flow ends at the first that is not
        "answered"."""
        port = port or self.take_port()
        flow_id, inbox = (port, route), asyncio.Queue()
        self.flows[port] = inbox
        seq, host, outcomes = random.getrandbits(30), None, []
        opened = await self.handshake(flow_id, inbox, seq, now())
        if opened is None or opened == "refused":
            return [opened or "not-opened"], None
        seq, ack = seq + 1, opened.seq + 1
        while now() < until:
            request = f"{name}-{len(outcomes) + 1}"
            self.rig.record.write("client-sends", request=request, client=f"{self.ip}:{port}",
                                  entry=self.rig.entry_for((self.ip, port) + tuple(route))[0])
            outcome, packet, seq = await self.request(flow_id, inbox, request, seq, ack, now() + limit_s)
            outcomes.append(outcome)
            self.rig.record.write("client-ends", request=request, outcome=outcome)
            if outcome == "reset-by-system" and not self.rig.holds(host, (self.ip, port) + tuple(route)):
                outcomes[-1] = "reset-after-loss"
            if outcome != "answered":
                break
            host = re.search(r"Server-Stamp: (\S+)", packet.data.decode()).group(1)
            ack = packet.seq + len(packet.data)
            self.send(flow_id, ACK, seq, ack)
            if packet.flags & FIN:
                outcomes.append("closed-by-host")
                break
            await asyncio.sleep(pause_s)
        else:
            self.send(flow_id, ACK | FIN, seq, ack)
        self.flows.pop(port, None)
        return outcomes, host


# ---------------------------------------------------------------------------------------------------------------------
# Deployment
# ---------------------------------------------------------------------------------------------------------------------
class Rig:
    ZONES = ("zone-a", "zone-b", "zone-c")

    def __init__(self, folder, entries=4):
        self.folder = Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.temp = tempfile.TemporaryDirectory()
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        wire = tomllib.loads((ROOT / "deploy/wire.toml").read_text())
        self.ready_path = wire.get("calls", {}).get("GET /-/readiness", "GET /-/readiness").split()[1]
        self.net = self.free_network()
        self.entry_ips = [f"{self.net}.{10 + i}" for i in range(entries)]
        self.store = Store(self.record)
        self.store_address = (f"{self.net}.7", PORTS["store"])
        self.processes = {}
        self.in_rotation = {}
        self.hosts, self.clients = [], []
        self.failures = []

    @staticmethod
    def free_network():
        while True:
            net = f"127.{random.randint(64, 200)}.{random.randint(1, 250)}"
            try:
                for last in (7, 10, 11, 12, 13, 30, 31, 32, 33):
                    for port in (8172, 8167, 7720, 8169):
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue

    def settings(self, role, ip, number, service=None):
        low, high = PORTS["internal"]
        listen = {"packets": f"{ip}:{PORTS['packets']}", "ready": f"{ip}:{PORTS['ready']}"}
        if role == "entry":
            listen["control"] = f"{ip}:{PORTS['control']}"
        else:
            listen["outbound"] = f"{ip}:{PORTS['outbound']}"
        fields = {"node_name": f"{role}-{number}", "ip": ip, "zone": self.ZONES[number % 3], "listen": listen,
                  "internal_ports": [low, high],
                  "seeds": [f"{seed}:{PORTS['control']}" for seed in self.entry_ips[:3]],
                  "limits": {"link_mbps": 1000.0}, "platform": {"address": "%s:%d" % self.store_address}}
        if role == "agent":
            fields["app"], fields["service"] = f"{ip}:{PORTS['app']}", service
        return fields

    def fill(self, template, fields):
        def value(match):
            found = fields
            for part in match.group(1).split("."):
                if isinstance(found, list):
                    found = found[int(part)]
                else:
                    found = found.get(part) if isinstance(found, dict) else None
            if found is None:
                return ""
            return ",".join(map(str, found)) if isinstance(found, list) else str(found)
        return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)

    def start_process(self, role, ip, number, service=None):
        name, setup = f"{role}-{number}", self.deploy["roles"][role]
        path = Path(self.temp.name) / f"{name}.settings"
        path.write_text(self.fill((ROOT / setup["template"]).read_text(), self.settings(role, ip, number, service)))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        for key, text in setup["env"].items():
            environment[key] = str(path) if text == "/etc/wasabicroft/boot.yaml" else text
        log = open(Path(self.temp.name) / f"{name}.log", "ab")
        process = subprocess.Popen(setup["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        log.close()
        self.processes[name] = process
        self.record.write("process-started", name=name, pid=process.pid)

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.write("signal", name=name, signal=signal.Signals(number).name)

    def holds(self, name, ends):
        """Whether the host of this name has the flow open."""
        flow = next((host.flows.get(ends) for host in self.hosts if host.name == name), None)
        return bool(flow and flow["open"] and not flow["ended"])

    async def restart_entry(self, number):
        """As in a rolling restart: SIGTERM, the process ends within grace_s, a new one starts."""
        name = f"entry-{number}"
        self.signal(name, signal.SIGTERM)
        deadline = now() + BOUNDS["grace_s"]
        while self.processes[name].poll() is None and now() < deadline:
            await asyncio.sleep(0.05)
        if self.processes[name].poll() is None:
            self.processes[name].kill()
        self.processes[name].wait()
        self.start_process("entry", self.entry_ips[number], number)

    async def add_host(self, name, service, number, **options):
        ip = f"{self.net}.{30 + number}"
        host = Host(self, name, ip, self.ZONES[number % 3], service, **options)
        self.start_process("agent", ip, number, service)
        await host.start()
        self.hosts.append(host)
        return host

    async def add_client(self, number):
        client = Client(self, f"{self.net}.{100 + number}")
        await client.start()
        self.clients.append(client)
        return client

    async def start(self):
        await self.store.start(self.store_address)
        for number, ip in enumerate(self.entry_ips):
            self.start_process("entry", ip, number)
            self.in_rotation[ip] = 0
        self.router = asyncio.create_task(self.probe_entries())

    def publish_config(self, version, routes, services, idle_ms=15000, timeout_ms=3000):
        """routes: by address, the service of new flows, or the weights of several services."""
        def target(services):
            if isinstance(services, str):
                return {"service": services}
            return {"split": [{"service": name, "weight": weight} for name, weight in services.items()]}
        return self.store.put("op/config", {
            "version": version, "limits": {"idle_timeout_ms": idle_ms}, "services": [
                {"name": name, "health_path": "/health"} for name in services],
            "routes": [{"name": f"r{i}", "host": address[0], "prefix": f"/{address[1]}/", "type": "safe",
                        "timeout_ms": timeout_ms, "slo_ms": 500, "priority": 1, "max_attempts": 1} | target(services)
                       for i, (address, services) in enumerate(routes.items())]})

    async def probe_entries(self):
        """Two missed probes take an entry out of rotation until it answers 200 again."""
        while True:
            for ip, answer in zip(self.entry_ips, await asyncio.gather(*map(self.probe, self.entry_ips))):
                self.in_rotation[ip] = 2 if answer else max(0, self.in_rotation[ip] - 1)
            await asyncio.sleep(0.5)

    async def probe(self, ip):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, PORTS["ready"]), 0.4)
            writer.write(f"GET {self.ready_path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def entry_for(self, ends):
        """Rendezvous hash: only the flows of a node that leaves move."""
        ready = [ip for ip in self.entry_ips if self.in_rotation[ip] > 0]
        if 2 * len(ready) < len(self.entry_ips):
            ready = self.entry_ips
        best = max(ready, key=lambda ip: hashlib.md5(repr((ends, ip)).encode()).digest())
        return best, PORTS["packets"]

    async def wait_ready(self, limit_s=15.0):
        deadline = now() + limit_s
        while now() < deadline:
            if all(count > 0 for count in self.in_rotation.values()):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        for host in self.hosts:
            host.stop()
        for name, process in self.processes.items():
            if process.poll() is not None:
                self.record.write("process-ended-early", name=name, code=process.returncode)
            else:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in Path(self.temp.name).glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.record.close()
        self.temp.cleanup()


def run_case(folder, scenario, entries=4):
    """Runs scenario(rig, trouble), which returns a list of broken promises, or None if the case could not run.

    Ends the program with 10 if a promise was broken, 0 if none was, 2 if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def body():
        rig = Rig(folder, entries)
        try:
            broken = await asyncio.wait_for(scenario(rig, trouble), 110)
        except Exception as error:  # the case could not run
            rig.record.write("could-not-run", error=repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            rig.stop()
        if broken is None:
            print("could not run")
            return 2
        for line in broken[:10]:
            print("BROKEN:", line)
        print(f"{len(broken)} violations, trouble={int(trouble)}")
        return 10 if broken else 0
    raise SystemExit(asyncio.run(body()))
