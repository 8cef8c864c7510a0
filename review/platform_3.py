"""Stand-ins of the platform for the scripts of the third review: the platform that starts the programs, clients, targets and the operator.

They speak what the pages PROTOCOL and DEPLOY describe. All addresses are loopback addresses.
"""

import http.client
import json
import os
import random
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SYN, ACK, FIN, RST, BOUNCED = 8, 1, 128, 4, 16
HEADER = struct.Struct(">IIHH4s4sHBBII")
HEARTBEAT_MS = 770
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6,
          "ConfigApplyMs": 3000, "RecoveryS": 12, "FlowStrayMs": 2000, "MaxFlowS": 60}
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}


class Record:
    """The events of a run, in record.txt beside the script."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def add(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")

    def flush(self):
        self._file.flush()


class Packet:
    """One packet of a flow, as the page PROTOCOL lays it out."""

    def __init__(self, src, sport, dst, dport, flags=0, seq=0, ack=0, data=b"", raw=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.raw = flags, seq, ack, data, raw

    @staticmethod
    def decode(raw):
        seq, ack, sport, dport, src, dst, length, flags, _pad, _echo, _sum = HEADER.unpack(raw[:32])
        return Packet(socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, flags, seq, ack, raw[32:32 + length], raw)

    def encode(self):
        head = HEADER.pack(self.seq & 0xffffffff, self.ack & 0xffffffff, self.sport, self.dport, socket.inet_aton(self.src),
                           socket.inet_aton(self.dst), len(self.data), self.flags, 0, 0, 0x5eed5eed)
        return head + self.data


def render(text, fields):
    """Fills in a settings template: values, and sections over lists of plain values."""

    def value(path, entry):
        if path == ".":
            return entry
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return ""
        return str(found).lower() if isinstance(found, bool) else found

    def section(match):
        entries = fields[match.group(1)]
        out = ""
        for index, entry in enumerate(entries):
            body = match.group(2).replace("{{,}}", "," if index + 1 < len(entries) else "")
            out += re.sub(r"{{([\w.]+)}}", lambda name, entry=entry: str(value(name.group(1), entry)), body)
        return out

    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, text)
    return re.sub(r"{{([\w.]+)}}", lambda name: str(value(name.group(1), None)), text)


class Node:
    """A machine of the system that runs one program."""

    def __init__(self, platform, name, kind, ip, zone):
        self.platform, self.name, self.kind, self.ip, self.zone = platform, name, kind, ip, zone
        self.service, self.process, self.bootstrap = "", None, True
        self.settings = platform.folder / f"{name}.toml"
        self.disk = platform.folder / f"{name}.disk"

    def fields(self):
        return {"Ip": self.ip, "Zone": self.zone, "Region": "loopback", "Seeds": self.platform.seeds(), "InternalPortRange": [7720, 7735],
                "Listen": {"DatagramAddr": f"{self.ip}:8172", "ReadyAddr": f"{self.ip}:8167", "outbound": f"{self.ip}:8173",
                           "Control": f"{self.ip}:8166"},
                "app": f"{self.ip}:8080", "Service": self.service, "HeartbeatMs": HEARTBEAT_MS, "DataDir": str(self.disk),
                "Bootstrap": self.bootstrap, "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS}

    def write_settings(self):
        template = (ROOT / "deploy" / f"{self.kind}.toml").read_text(encoding="utf-8")
        temporary = self.settings.with_suffix(".next")
        temporary.write_text(render(template, self.fields()), encoding="utf-8")
        temporary.replace(self.settings)

    def start(self):
        self.write_settings()
        log = open(self.platform.folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "JUJUBEQUAY_NODE_FILE": str(self.settings)}
        self.process = subprocess.Popen([ROOT / "target" / f"jjq-platform-{self.kind}"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        self.bootstrap = False
        self.platform.record.add(f"platform: started {self.name} at {self.ip}")

    def signal(self, number):
        self.platform.record.add(f"platform: sent {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()


class Platform:
    """Starts the machines and ends them. Each instance uses loopback addresses of its own."""

    def __init__(self, record, balancers=1, agents=1, controls=5, zones=("zone-a", "zone-b", "zone-c", "zone-d")):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="jujubequay-review-"))
        self.net = self._free_net()
        self.controls = [Node(self, f"core-{i}", "control", f"{self.net}.{10 + i}", zones[i % len(zones)]) for i in range(controls)]
        self.balancers = [Node(self, f"edge-{i}", "balancer", f"{self.net}.{30 + i}", zones[i % len(zones)]) for i in range(balancers)]
        self.agents = [Node(self, f"side-{i}", "agent", f"{self.net}.{50 + i}", zones[i % len(zones)]) for i in range(agents)]
        self.extra = []

    @staticmethod
    def _free_net():
        for _ in range(100):
            net = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                try:
                    probe.bind((f"{net}.10", 7720))
                    return net
                except OSError:
                    continue
        raise OSError("no free loopback addresses were found")

    def nodes(self):
        return self.controls + self.balancers + self.agents + self.extra

    def seeds(self):
        return [f"{node.ip}:8166" for node in self.controls[:3]]

    def start(self):
        for node in self.nodes():
            node.start()

    def log_of(self, node):
        path = self.folder / f"{node.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def ended_by_themselves(self):
        return [node.name for node in self.nodes() if node.process is not None and node.process.poll() not in (None, -signal.SIGKILL, -signal.SIGTERM)]

    def stop(self):
        for node in self.nodes():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Sends configurations, as often as it takes, and reads them back."""

    def __init__(self, platform):
        self.platform, self.record = platform, platform.record

    def call(self, ip, method, path, body=None, timeout=1.0):
        """One call, without following redirects. Returns the status, the body and the Location; status 0 if there is no answer."""
        connection = http.client.HTTPConnection(ip, 8166, timeout=timeout)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body is not None else {})
            answer = connection.getresponse()
            return answer.status, answer.read(), answer.getheader("Location", "")
        except (OSError, http.client.HTTPException):
            return 0, b"", ""
        finally:
            connection.close()

    def follow(self, ip, method, path, body=None):
        for _ in range(3):
            status, answer, location = self.call(ip, method, path, body)
            target = re.match(r"http://([\d.]+):8166/", location)
            if status != 307 or not target:
                break
            ip = target.group(1)
        return status, answer

    def replace(self, configuration, seconds=20, nodes=None):
        """Sends a configuration until it is acknowledged. Returns the time of the acknowledgement, or None."""
        body = json.dumps(configuration)
        deadline = time.monotonic() + seconds
        attempt = 0
        while time.monotonic() < deadline:
            candidates = nodes or self.platform.controls
            node = candidates[attempt % len(candidates)]
            attempt += 1
            status, answer = self.follow(node.ip, "POST", "/jujubequay/Config.Replace", body)
            if status == 200:
                self.record.add(f"operator: version {configuration['Version']} acknowledged by way of {node.name}")
                return time.monotonic()
            self.record.add(f"operator: version {configuration['Version']} at {node.name}: status {status} {answer[:120]!r}")
            if status in (400, 409, 412, 413, 422):
                return None
            time.sleep(0.2)
        return None

    def fetch(self, node):
        status, answer = self.follow(node.ip, "GET", "/jujubequay/Config.Fetch")
        return status, (json.loads(answer) if status == 200 else None)


def route(name, address, port, service, kind="idempotent"):
    return {"Name": name, "Hostname": address, "PathPrefix": f"/{port}/", "RouteType": kind, "TimeoutMs": 1500, "AimMs": 150, "Priority": 1,
            "Service": service, "MaxAttempts": 2}


def configuration(version, routes, services):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 2000, "Protocol": "h1", "Tls": False} for name in services],
            "Limits": dict(LIMITS)}


class Target:
    """A server of a service beside an agent. It accepts each flow, runs each request once, answers it and sends heartbeats."""

    def __init__(self, platform, node, service, target_id, capacity=3):
        self.platform, self.record, self.node, self.service, self.id, self.capacity = platform, platform.record, node, service, target_id, capacity
        self.flows, self.runs, self.sequence, self.state = {}, [], 0, "ready"
        self.last_ping_at = None
        self._random = random.Random(target_id)
        self._stopped = threading.Event()
        self._threads = []

    def start(self, first_ping_after=0.0, pings=True):
        self.born = int(time.time() * 1000)
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((self.node.ip, 8080))
        self._tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._tcp.bind((self.node.ip, 8080))
        self._tcp.listen(16)
        self.record.add(f"target {self.id}: started, service {self.service}, at {self.node.ip}:8080")
        self._threads = [threading.Thread(target=self._serve, daemon=True)]
        if pings:
            self._threads.append(threading.Thread(target=self._ping_regularly, args=(first_ping_after,), daemon=True))
        for thread in self._threads:
            thread.start()

    def crash(self):
        """Ends at once, without a word, and forgets its flows."""
        if not self._threads:
            return
        self._stopped.set()
        for thread in self._threads:
            thread.join(3)
        self._threads = []
        self._udp.close()
        self._tcp.close()
        self.record.add(f"target {self.id}: crashed")

    def statement(self):
        return {"Service": self.service, "Address": f"{self.node.ip}:8080", "Zone": self.node.zone, "Version": "v1", "Capacity": self.capacity,
                "State": self.state, "WarmupLeftMs": 0, "Sequence": self.sequence, "born": self.born}

    def post(self, call, body=None):
        connection = http.client.HTTPConnection(self.node.ip, 8166, timeout=1.0)
        try:
            connection.request("POST", f"/jujubequay/Instances.{call}/{self.id}", json.dumps(body or self.statement()),
                               {"Content-Type": "application/json"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def ping(self):
        self.sequence += 1
        status = self.post("Heartbeat")
        self.last_ping_at = time.monotonic()
        self.record.add(f"target {self.id}: heartbeat {self.sequence} ({self.state}) answered with {status}")
        return status

    def _ping_regularly(self, first_after):
        wait = first_after
        while not self._stopped.wait(wait):
            self.ping()
            wait = HEARTBEAT_MS / 1000

    def _serve(self):
        while not self._stopped.is_set():
            readable, _, _ = select.select([self._udp, self._tcp], [], [], 0.02)
            if self._tcp in readable:
                connection, _ = self._tcp.accept()
                connection.close()
            if self._udp in readable:
                raw, _ = self._udp.recvfrom(4096)
                self._handle(Packet.decode(raw))

    def _send(self, packet, flags, seq, ack, data=b""):
        answer = Packet(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data)
        self._udp.sendto(answer.encode(), (self.node.ip, 8173))

    def _handle(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"seq": self._random.getrandbits(32), "next": packet.seq + 1, "sent": 1, "open": False, "answer": b""}
            if not flow["open"]:
                self.record.add(f"target {self.id} ({self.service}): SYN of {packet.src}:{packet.sport} to {packet.dst}:{packet.dport}")
                self._send(packet, SYN | ACK, flow["seq"], flow["next"])
            return
        matches = flow is not None and (flow["open"] or packet.ack == (flow["seq"] + 1) & 0xffffffff)
        if not matches:
            self.record.add(f"target {self.id} ({self.service}): bounced a packet of {packet.src}:{packet.sport}")
            raw = bytearray(packet.raw)
            raw[22] |= BOUNCED
            raw[23] = 0
            self._udp.sendto(bytes(raw), (self.node.ip, 8173))
            return
        if not flow["open"]:
            flow["open"] = True
            self.record.add(f"target {self.id} ({self.service}): flow of {packet.src}:{packet.sport} is open")
        if packet.data and packet.seq == flow["next"] & 0xffffffff:
            flow["next"] += len(packet.data)
            head = packet.data.decode("latin-1")
            request_id = re.search(r"Jujubequay-Request-Id: (\S+)", head).group(1)
            self.runs.append((request_id, f"{packet.dst}:{packet.dport}", time.monotonic()))
            self.record.add(f"target {self.id} ({self.service}): ran request {request_id} of route {packet.dst}:{packet.dport}")
            body = f"{request_id} {self.service}"
            flow["answer"] = (f"HTTP/1.1 200 OK\r\nJujubequay-Response-Signature: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
                              f"{body}").encode()
            self._send(packet, ACK, flow["seq"] + flow["sent"], flow["next"], flow["answer"])
            flow["sent"] += len(flow["answer"])
        elif packet.data:
            self._send(packet, ACK, flow["seq"] + flow["sent"] - len(flow["answer"]), flow["next"], flow["answer"])
        elif packet.flags & FIN:
            self._send(packet, FIN | ACK, flow["seq"] + flow["sent"], packet.seq + 1)
            del self.flows[key]


class Flow:
    """A flow of a client: opens it, sends requests on it, one at a time, and closes it."""

    def __init__(self, client, port, destination, balancer):
        self.client, self.port, self.destination, self.balancer = client, port, destination, balancer
        self.seq, self.ack, self.state, self.inbox = random.getrandbits(31), 0, "closed", []
        self.reset_at = None

    def send(self, flags, seq=None, ack=None, data=b"", via=None):
        packet = Packet(self.client.ip, self.port, self.destination[0], self.destination[1], flags, self.seq if seq is None else seq,
                        self.ack if ack is None else ack, data)
        self.client.socket.sendto(packet.encode(), ((via or self.balancer).ip, 8172))

    def open(self):
        """Sends a SYN and its copies. True if the flow has opened at a target, as far as the client can see."""
        start = time.monotonic()
        for copy, due in enumerate((0.0, 0.2, 0.6)):
            if self._wait(start + due):
                break
            self.send(SYN, ack=copy)
        self._wait(start + 1.4)
        if self.state == "answered":
            self.state = "open"
            self.seq += 1
            self.send(ACK)
        return self.state == "open"

    def _wait(self, until):
        while time.monotonic() < until and self.state == "closed":
            self.client.poll(min(0.01, max(0.0, until - time.monotonic())))
        return self.state != "closed"

    def request(self, request_id, seconds=1.5):
        """Sends one request and retransmits it. Returns the answer, "reset" or "none"."""
        data = f"GET /x HTTP/1.1\r\nHost: x\r\nJujubequay-Request-Id: {request_id}\r\n\r\n".encode()
        self.client.record.add(f"client {self.client.ip}:{self.port}: sent request {request_id} to {self.destination[0]}:{self.destination[1]}")
        self.inbox.clear()
        deadline, pause, next_send = time.monotonic() + seconds, 0.2, 0.0
        while time.monotonic() < deadline and not self.inbox and self.state == "open":
            if time.monotonic() >= next_send:
                self.send(ACK, data=data)
                next_send, pause = time.monotonic() + pause, min(1.6, 2 * pause)
            self.client.poll(0.01)
        if self.state == "reset":
            result = "reset"
        else:
            result = self.inbox[0].decode("latin-1") if self.inbox else "none"
        self.seq += len(data)
        self.client.record.add(f"client {self.client.ip}:{self.port}: request {request_id}: {result.splitlines()[0]}")
        return result

    def close(self):
        if self.state == "open":
            self.send(FIN | ACK)
        self.client.flows.pop(self.port, None)

    def take(self, packet):
        if packet.flags & RST:
            self.client.record.add(f"client {self.client.ip}:{self.port}: reset in state {self.state}")
            self.state, self.reset_at = "reset", time.monotonic()
        elif packet.flags & SYN and self.state == "closed":
            self.ack, self.state = packet.seq + 1, "answered"
        elif packet.data and packet.seq == self.ack & 0xffffffff:
            self.ack += len(packet.data)
            self.inbox.append(packet.data)
            self.client.record.add(f"client {self.client.ip}:{self.port}: got {packet.data.splitlines()[-1].decode('latin-1')!r}")
            self.send(ACK)


class Client:
    """A client with an address of its own."""

    def __init__(self, platform, number=0):
        self.platform, self.record = platform, platform.record
        self.ip = f"{platform.net}.{200 + number}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, 8172))
        self.flows, self._next_port = {}, 20000

    def flow(self, destination, balancer):
        self._next_port += 1
        flow = self.flows[self._next_port] = Flow(self, self._next_port, destination, balancer)
        return flow

    def poll(self, seconds):
        while select.select([self.socket], [], [], seconds)[0]:
            packet = Packet.decode(self.socket.recvfrom(4096)[0])
            flow = self.flows.get(packet.dport)
            if flow is not None:
                flow.take(packet)
            seconds = 0

    def wait(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.poll(min(0.02, max(0.0, until - time.monotonic())))


def trouble():
    """False if the script shall run without the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def wait_until(condition, seconds, pause=0.05):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(pause)
    return False


def is_ready(node):
    connection = http.client.HTTPConnection(node.ip, 8167, timeout=0.5)
    try:
        connection.request("GET", "/jujubequay/ready")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
