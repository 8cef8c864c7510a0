"""Stand-ins for the clients, the targets and the platform, and a small deployment of the project's programs on loopback."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import sys
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent

HEAD = struct.Struct(">IIHHIIHBBII")  # seq, ack, sport, dport, src, dst, len, flags, pad, echo, sum
ACK, RST, SYN, BOUNCED, FIN = 1, 4, 8, 16, 128

HEARTBEAT_MS = 770
ZONES = ["zone-a", "zone-b", "zone-c"]


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", pad=0, echo=0, checksum=1):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq % 2**32, ack % 2**32, data
        self.pad, self.echo, self.checksum = pad, echo, checksum

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, sport, dport, src, dst, length, flags, pad, echo, checksum = HEAD.unpack_from(raw)
        if length != len(raw) - HEAD.size:
            return None
        return Packet(ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, raw[HEAD.size :], pad, echo, checksum)

    def encode(self):
        head = HEAD.pack(
            self.seq, self.ack, self.sport, self.dport, ip_number(self.src), ip_number(self.dst), len(self.data), self.flags, self.pad, self.echo, self.checksum
        )
        return head + self.data


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text):
        print(f"{time.monotonic() - self._start:8.3f} {text}", file=self._file, flush=True)


class UdpSocket(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self._receive = receive
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self._receive(data)

    def error_received(self, exc):
        pass  # a process that is down; the sender retransmits

    @staticmethod
    async def bind(address, receive):
        _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(lambda: UdpSocket(receive), local_addr=address)
        return protocol

    def send(self, raw, address):
        self.transport.sendto(raw, address)

    def close(self):
        self.transport.close()


async def http(address, method, path, body=None, timeout=1.0):
    """Sends one request. Returns the status and the body, or (0, b"") without an answer in time."""
    payload = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n"
            if payload:
                head += "Content-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
            await writer.drain()
            head, _, content = (await reader.read()).partition(b"\r\n\r\n")
            return int(head.split(b" ", 2)[1]), content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


class Host:
    """A machine of the deployment: its role, addresses and the process that runs there."""

    def __init__(self, role, number, ip, settings):
        self.role, self.number, self.ip, self.settings = role, number, ip, settings
        self.name = f"{role}-{number}"
        self.process = None


class Deployment:
    """Starts the programs with the commands and the settings templates of deploy/system.toml."""

    def __init__(self, record, controls=3, balancers=2, agents=2, services=None, tolerated=1):
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="jujubequay-review-"))
        self.roles = self.read_roles((ROOT / "deploy/system.toml").read_text())
        self.network = random.randrange(64, 120)
        ports = self._free_ports(6)
        self.datagram_port, self.ready_port, self.control_port, self.outbound_port, self.app_port, self.internal_port = ports
        self.hosts = {}
        self.targets = []
        seeds = [f"{self.address('control', n)}:{self.control_port}" for n in range(1, min(controls, 3) + 1)]
        for role, count in (("control", controls), ("balancer", balancers), ("agent", agents)):
            for number in range(1, count + 1):
                ip = self.address(role, number)
                fields = {
                    "Ip": ip,
                    "Zone": ZONES[number % len(ZONES)],
                    "Region": "loopback",
                    "Seeds": seeds,
                    "Bootstrap": True,
                    "InternalPortRange": [self.internal_port, self.internal_port + 15],
                    "HeartbeatMs": HEARTBEAT_MS,
                    "FaultTolerance": {"Machines": tolerated, "Zones": 0, "Regions": 0},
                    "DataDir": str(self.directory / f"{role}-{number}.disk"),
                    "Listen": {
                        "DatagramAddr": f"{ip}:{self.datagram_port}",
                        "ReadyAddr": f"{ip}:{self.ready_port}",
                        "Control": f"{ip}:{self.control_port}",
                        "outbound": f"{ip}:{self.outbound_port}",
                    },
                    "app": f"{ip}:{self.app_port}",
                    "Service": (services or ["service-a"])[(number - 1) % len(services or ["service-a"])],
                }
                host = Host(role, number, ip, fields)
                self.hosts[host.name] = host

    def address(self, role, number):
        return f"127.{self.network}.{ {'control': 1, 'balancer': 2, 'agent': 3, 'client': 4, 'route': 5}[role] }.{number}"

    def _free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randrange(20000, 32000)
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind((f"127.{self.network}.1.1", port))
                    udp.bind((f"127.{self.network}.1.1", port))
                except OSError:
                    continue
            if all(abs(port - other) > 20 for other in ports):
                ports.append(port)
        return ports

    @staticmethod
    def read_roles(text):
        """The command and the template of each role of the deploy file."""
        roles = {}
        for name, body in re.findall(r"^\[roles\.(\w+)\]\n((?:(?!\[).*\n?)*)", text, flags=re.M):
            roles[name] = dict(re.findall(r'^(\w+) = "(.*)"$', body, flags=re.M))
        return roles

    @staticmethod
    def render(template, fields):
        """Fills in a settings template, as far as the templates of deploy/ use the language."""

        def value(path):
            current = fields
            for step in path.split("."):
                current = current[int(step)] if isinstance(current, list) else current.get(step) if isinstance(current, dict) else None
            return "" if current is None else str(current).lower() if isinstance(current, bool) else str(current)

        def section(match):
            entries = value_of_list(match.group(1))
            body = match.group(2)
            rendered = []
            for index, entry in enumerate(entries):
                comma = "," if index + 1 < len(entries) else ""
                rendered.append(body.replace("{{.}}", entry).replace("{{,}}", comma))
            return "".join(rendered)

        def value_of_list(name):
            return fields.get(name) or []

        text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match.group(1)), text)

    def settings_file(self, host):
        return self.directory / f"{host.name}.toml"

    def write_settings(self, host):
        template = (ROOT / self.roles[host.role]["template"]).read_text()
        self.settings_file(host).write_text(self.render(template, host.settings))

    def start(self, name):
        host = self.hosts[name]
        self.write_settings(host)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["JUJUBEQUAY_NODE_FILE"] = str(self.settings_file(host))
        log = open(self.directory / f"{name}.log", "a")
        host.process = subprocess.Popen(self.roles[host.role]["run"].split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.write(f"start {name}")

    def start_all(self):
        for name in self.hosts:
            self.start(name)
        for host in self.hosts.values():
            host.settings["Bootstrap"] = False

    def signal(self, name, number):
        self.record.write(f"signal {number.name} to {name}")
        self.hosts[name].process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.hosts[name].process.wait()

    def stop_all(self):
        for host in self.hosts.values():
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    def ended(self):
        return [host.name for host in self.hosts.values() if host.process is not None and host.process.poll() is not None]

    def log(self, name):
        return (self.directory / f"{name}.log").read_text(errors="replace")

    # Calls of the operator and of the fabric

    def endpoint(self, name, port):
        return self.hosts[name].ip, port

    async def replace_configuration(self, configuration, give_up_after=20.0):
        """Sends a configuration to one control host after the other until it is acknowledged."""
        body = configuration if isinstance(configuration, bytes) else json.dumps(configuration).encode()
        names = [name for name, host in self.hosts.items() if host.role == "control"]
        deadline = time.monotonic() + give_up_after
        while time.monotonic() < deadline:
            for name in names:
                status, content = await http(self.endpoint(name, self.control_port), "POST", "/jujubequay/Config.Replace", body)
                if status == 200 or 400 <= status < 500:
                    self.record.write(f"Config.Replace at {name}: {status}")
                    return status
            await asyncio.sleep(0.1)
        return 0

    async def fetch_configuration(self, name):
        return await http(self.endpoint(name, self.control_port), "GET", "/jujubequay/Config.Fetch")

    async def wait_until_ready(self, limit=20.0):
        deadline = time.monotonic() + limit
        waiting = [name for name, host in self.hosts.items() if host.role == "balancer"]
        while waiting and time.monotonic() < deadline:
            status, _ = await http(self.endpoint(waiting[0], self.ready_port), "GET", "/jujubequay/ready")
            if status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.1)
        return not waiting


def route(name, host, port, service, kind="idempotent", timeout_ms=1200):
    return {
        "Name": name,
        "Hostname": host,
        "PathPrefix": f"/{port}/",
        "RouteType": kind,
        "TimeoutMs": timeout_ms,
        "AimMs": 150,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
    }


def configuration(version, routes, services):
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 2000, "Protocol": "h1", "Tls": False} for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


class Target:
    """A target beside an agent: takes flows, runs requests, sends heartbeats."""

    def __init__(self, deployment, number, service, work_s=0.02):
        self.deployment, self.record = deployment, deployment.record
        self.host = deployment.hosts[f"agent-{number}"]
        self.number, self.service, self.work_s = number, service, work_s
        self.flows = {}  # (src, sport, dst, dport) -> state
        self.runs = {}  # request id -> number of runs
        self.syn_taken_at = {}  # (src, sport, dst, dport) -> time of the first SYN
        self.sequence = 0
        self.state = "ready"
        self.boot = 0
        self.is_running = False
        self._tasks = []

    @property
    def name(self):
        return f"target-{self.number}"

    async def start(self):
        self.boot += 1
        self.id = f"i-{self.number:02x}{self.boot:02x}{random.randrange(2**32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows.clear()
        address = (self.host.ip, self.deployment.app_port)
        self._udp = await UdpSocket.bind(address, self._receive)
        self._tcp = await asyncio.start_server(self._serve_health, *address)
        self.is_running = True
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        self.record.write(f"{self.name} starts as {self.id}, born {self.born}")

    def stop_heartbeats(self):
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    def stop(self):
        self.is_running = False
        self.stop_heartbeats()
        self._udp.close()
        self._tcp.close()
        self.flows.clear()
        self.record.write(f"{self.name} ends")

    def stop_if_running(self):
        if self.is_running:
            self.stop()

    def heartbeat(self, **changes):
        body = {
            "Service": self.service,
            "Address": f"{self.host.ip}:{self.deployment.app_port}",
            "Zone": self.host.settings["Zone"],
            "Version": "v1",
            "Capacity": 3,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        body.update(changes)
        return {key: value for key, value in body.items() if value is not None}

    async def post_to_agent(self, path, body):
        return await http((self.host.ip, self.deployment.control_port), "POST", path, body)

    async def beat(self):
        self.sequence += 1
        status, _ = await self.post_to_agent(f"/jujubequay/Instances.Heartbeat/{self.id}", self.heartbeat())
        return status

    async def _send_heartbeats(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve_health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    def _send(self, raw):
        self._udp.send(raw, (self.host.ip, self.deployment.outbound_port))

    def _reply(self, packet, flags, seq, ack, data=b""):
        self._send(Packet(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data).encode())

    def _receive(self, raw):
        packet = Packet.decode(raw)
        if packet is None or not self.is_running:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                self.syn_taken_at[key] = time.monotonic()
                self.record.write(f"{self.name} takes SYN {key[0]}:{key[1]}")
                flow = self.flows[key] = {"seq": random.randrange(2**32), "ack": (packet.seq + 1) % 2**32, "open": False, "data": b"", "last": None, "fin": False}
                flow["first"] = flow["seq"]
                flow["seq"] = (flow["seq"] + 1) % 2**32
            if not flow["open"]:
                self._reply(packet, SYN | ACK, flow["first"], flow["ack"])
            return
        if flow is None or (not flow["open"] and packet.ack != flow["seq"]):
            bounced = bytearray(raw)
            bounced[22] |= BOUNCED
            bounced[23] = 0
            self._send(bytes(bounced))
            return
        if not flow["open"]:
            flow["open"] = True
            self.record.write(f"{self.name} opens flow {key[0]}:{key[1]}")
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data:
            if packet.seq == flow["ack"]:
                flow["ack"] = (flow["ack"] + len(packet.data)) % 2**32
                flow["data"] += packet.data
                self._reply(packet, ACK, flow["seq"], flow["ack"])
                self._run_requests(key, flow, packet)
            elif flow["last"] is not None:
                self._send(flow["last"])  # the answer was lost
            else:
                self._reply(packet, ACK, flow["seq"], flow["ack"])
        if packet.flags & FIN and packet.seq + len(packet.data) == flow["ack"] and not flow["fin"]:
            flow["fin"] = True
            flow["ack"] = (flow["ack"] + 1) % 2**32
            self._reply(packet, FIN | ACK, flow["seq"], flow["ack"])

    def _run_requests(self, key, flow, packet):
        head, separator, rest = flow["data"].partition(b"\r\n\r\n")
        if not separator:
            return
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        length = int(fields.get("Content-Length", "0"))
        if len(rest) < length:
            return
        flow["data"] = rest[length:]
        request = fields["Jujubequay-Request-Id"]
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.write(f"{self.name} runs {request}")
        flow["last"] = None
        asyncio.get_running_loop().call_later(self.work_s, self._answer, key, flow, packet, request)

    def _answer(self, key, flow, packet, request):
        if self.flows.get(key) is not flow or not self.is_running:
            return
        body = f"{self.id} {request}".encode()
        closing = self.state == "draining"
        text = f"HTTP/1.1 200 OK\r\nJujubequay-Instance-Id: {self.id}\r\nJujubequay-Response-Signature: {request}\r\nContent-Length: {len(body)}\r\n"
        data = text.encode() + (b"Connection: close\r\n" if closing else b"") + b"\r\n" + body
        answer = Packet(packet.dst, packet.dport, packet.src, packet.sport, ACK, flow["seq"], flow["ack"], data)
        flow["seq"] = (flow["seq"] + len(data)) % 2**32
        flow["last"] = answer.encode()
        self._send(flow["last"])


class FlowReset(Exception):
    pass


class Client:
    """A client that opens flows through the fabric: each packet goes to the balancer that `choose` names for the flow."""

    def __init__(self, deployment, number, choose=None):
        self.deployment, self.record = deployment, deployment.record
        self.ip = deployment.address("client", number)
        self.next_port = 40000
        self.flows = {}
        self._udp = None
        balancers = [host for host in deployment.hosts.values() if host.role == "balancer"]
        self.choose = choose or (lambda flow: balancers[flow.port % len(balancers)].name)

    async def start(self):
        self._udp = await UdpSocket.bind((self.ip, self.deployment.datagram_port), self._receive)

    def _receive(self, raw):
        packet = Packet.decode(raw)
        flow = packet and self.flows.get(packet.dport)
        if flow is not None and packet.src == flow.host and packet.sport == flow.service_port:
            flow.receive(packet)

    def transmit(self, flow, packet):
        name = self.choose(flow)
        self._udp.send(packet.encode(), (self.deployment.hosts[name].ip, self.deployment.datagram_port))

    async def open(self, host, port):
        flow = Flow(self, self.next_port, host, port)
        self.next_port += 1
        self.flows[flow.port] = flow
        await flow.connect()
        return flow

    def close_if_open(self):
        if self._udp is not None:
            self._udp.close()


class Flow:
    def __init__(self, client, port, host, service_port):
        self.client, self.port, self.host, self.service_port = client, port, host, service_port
        self.seq = random.randrange(2**32)
        self.ack = 0
        self.data = b""
        self.is_open = False
        self.resets = []  # time and checksum of each reset on the open flow
        self.instance = None
        self._event = asyncio.Event()

    @property
    def name(self):
        return f"{self.client.ip}:{self.port}"

    def _packet(self, flags, data=b"", ack=None):
        return Packet(self.client.ip, self.port, self.host, self.service_port, flags, self.seq, self.ack if ack is None else ack, data)

    def receive(self, packet):
        if packet.flags & RST:
            self.client.record.write(f"flow {self.name} gets RST, sum {packet.checksum}, open {self.is_open}")
            self.resets.append((time.monotonic(), packet.checksum, self.is_open))
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.seq = (self.seq + 1) % 2**32
                self.ack = (packet.seq + 1) % 2**32
        elif packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) % 2**32
            self.data += packet.data
            self.client.transmit(self, self._packet(ACK))
        self._event.set()

    async def _wait(self, seconds, done):
        deadline = time.monotonic() + seconds
        while not done() and not self.resets and time.monotonic() < deadline:
            self._event.clear()
            try:
                await asyncio.wait_for(self._event.wait(), max(0.0, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        return done()

    async def connect(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.client.transmit(self, self._packet(SYN, ack=copy))
            if await self._wait(wait, lambda: self.is_open):
                return
            if self.resets:
                raise FlowReset(f"the SYN of {self.name} was reset")
        raise TimeoutError(f"flow {self.name} did not open")

    async def request(self, request_id, body=b"", method="GET", deadline_s=5.0):
        """Sends a request and returns the answer."""
        text = f"{method} /work HTTP/1.1\r\nHost: {self.host}\r\nJujubequay-Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        data = text.encode() + body
        self.client.record.write(f"flow {self.name} sends {request_id}")
        self.data = b""
        packet = self._packet(ACK, data)
        end = time.monotonic() + deadline_s
        pause = 0.2

        def complete():
            head, separator, rest = self.data.partition(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            return bool(separator) and length is not None and len(rest) >= int(length.group(1))

        while time.monotonic() < end:
            packet.ack = self.ack
            self.client.transmit(self, packet)
            if await self._wait(pause, complete):
                self.seq = (self.seq + len(data)) % 2**32
                self.instance = re.search(rb"Jujubequay-Instance-Id: (\S+)", self.data).group(1).decode()
                self.client.record.write(f"flow {self.name} gets the answer to {request_id} from {self.instance}")
                return self.data
            if self.resets:
                raise FlowReset(f"flow {self.name} was reset")
            pause = min(2 * pause, 1.6)
        raise TimeoutError(f"{request_id} was not answered")


def run_case(record_file, scenario):
    """Runs a scenario, which writes to `record_file`. Returns 0 if the rule held, 1 if it was broken and 2 if the case could not run."""
    record = Record(record_file)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes of the scenario, too
    try:
        result = asyncio.run(scenario(record))
    except Exception:
        record.write(f"the case could not run:\n{traceback.format_exc()}")
        result = 2
    record.write(f"exit status {result}")
    return result
