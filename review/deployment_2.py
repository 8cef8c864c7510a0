"""A small deployment on loopback addresses for the scripts of the second review.

Starts the programs of deploy/system.toml as separate processes, with settings rendered from the templates that the deploy file names. The
operator, the backend servers, the callers and the platform are stand-ins: they speak what the users' PROTOCOL page describes.
"""

import contextlib
import hashlib
import http.client
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
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_HOSTS = 8  # of one kind
HEARTBEAT_S = 0.77
REQUEST_TIMEOUT_S = 1.0  # a caller of a control host moves on after a second without a response
GRACE_S = 6
RESTART_DELAY_S = 0.5  # the platform restarts a process that has ended after a short delay

# Exit statuses of a case. An error of the interpreter itself gives 1, so that this must not mean a broken rule; run.sh translates.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10

SYN, ACK, FIN, RST, BOUNCED = 8, 1, 128, 4, 16
HEAD = struct.Struct(">IIHHIIHBBII")  # seq ack sport dport src dst len flags pad echo sum
HEAD_BYTES = 32


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def packet(seq, ack, source, destination, flags, data=b""):
    """A packet of a client or a server. `source` and `destination` are pairs of address and port."""
    fields = (seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, source[1], destination[1], ip_number(source[0]), ip_number(destination[0]), len(data), flags)
    body = struct.pack(">IIHHIIHB", *fields) + data
    checksum = int.from_bytes(hashlib.blake2b(body, digest_size=4, key=b"stand-in").digest(), "big")
    return HEAD.pack(*fields, 0, 0, checksum) + data


class Segment:
    def __init__(self, datagram):
        head = HEAD.unpack(datagram[:HEAD_BYTES])
        self.seq, self.ack, sport, dport, src, dst, self.length, self.flags = head[:8]
        self.source = (socket.inet_ntoa(struct.pack(">I", src)), sport)
        self.destination = (socket.inet_ntoa(struct.pack(">I", dst)), dport)
        self.data = datagram[HEAD_BYTES:]


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, file):
        self._start = time.monotonic()
        self._file = open(file, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()

    def close(self):
        self._file.close()


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
    return value


def render(template, fields):
    """Renders the part of the template language that the templates in deploy/ use."""

    def section(match):
        items = lookup(fields, match.group(1)) or []
        return ",".join(match.group(2).replace("{{.}}", item).replace("{{,}}", "") for item in items)

    def value(match):
        found = lookup(fields, match.group(1))
        if isinstance(found, bool):
            return "true" if found else "false"
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template))


def read_roles():
    """The command line and the settings template of each role in the deploy file."""
    roles = {}
    for name, section in re.findall(r"^\[roles\.(\w+)\]\n((?:(?!\[).*\n)*)", (ROOT / "deploy/system.toml").read_text(), re.MULTILINE):
        roles[name] = dict(re.findall(r'^(run|template) = "([^"]*)"', section, re.MULTILINE))
    return roles


class Process:
    """A process of the system. The platform restarts it when it ends by itself."""

    def __init__(self, deployment, name, role, fields):
        self.name = name
        self.fields = fields
        self.own_ends = []  # exit statuses of ends that nobody asked for
        self._deployment = deployment
        self._role = role
        self._folder = deployment.folder / name
        self._folder.mkdir()
        self._lock = threading.Lock()  # a process that is to stop is not started again
        self._wanted = False
        self._child = None
        self._thread = None

    def start(self):
        self._wanted = True
        self._spawn()
        self._thread = threading.Thread(target=self._supervise, daemon=True)
        self._thread.start()

    def change_settings(self, **fields):
        """The platform writes the settings file anew."""
        self.fields |= fields
        settings = self._folder / "settings.toml"
        settings.write_text(render((ROOT / self._role["template"]).read_text(), self.fields))
        return settings

    def _spawn(self):
        settings = self.change_settings()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["JUJUBEQUAY_NODE_FILE"] = str(settings)
        with open(self._folder / "log", "ab") as log:
            self._child = subprocess.Popen(self._role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def _supervise(self):
        while True:
            status = self._child.wait()
            if not self._wanted:
                return
            self.own_ends.append(status)
            self._deployment.record.write(f"ended {self.name}: exit status {status}, by itself")
            time.sleep(RESTART_DELAY_S)
            with self._lock:
                if not self._wanted:
                    return
                self.fields["Bootstrap"] = False
                self._spawn()

    def send_signal(self, number):
        self._child.send_signal(number)

    def end(self, number=signal.SIGKILL):
        """Sends the signal that ends the process, and keeps the platform from starting it again."""
        with self._lock:
            self._wanted = False
            if self._child is not None and self._child.poll() is None:
                self._child.send_signal(number)

    def stop(self, number=signal.SIGKILL):
        self.end(number)
        if self._child is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._child.wait(GRACE_S)
            if self._child.poll() is None:
                self._child.kill()
                self._child.wait()
        if self._thread is not None:
            self._thread.join(RESTART_DELAY_S + 1)

    def lose_disk(self):
        """Kills the process and empties its disk; it starts again by `start`."""
        self.stop()
        shutil.rmtree(self.fields["DataDir"])
        self.fields["Bootstrap"] = False


class Deployment:
    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = read_roles()
        self.processes = []
        self.servers = []
        self._network = f"127.{random.randint(20, 190)}"  # routes have addresses in 127.198
        self._hosts = {"control": 0, "balancer": 0, "agent": 0, "client": 0}
        self._ports = self._free_ports()
        self.control_addresses = []
        self.seeds = []

    def _free_ports(self):
        """Ports that are free at the addresses of all hosts that a case may start."""
        addresses = [f"{self._network}.{kind}.{host}" for kind in range(1, len(self._hosts) + 1) for host in range(1, MAX_HOSTS + 1)]
        while True:
            first = random.randint(12000, 29000)
            ports = {name: first + index for index, name in enumerate(("datagram", "ready", "control", "internal", "outbound", "app"))}
            try:
                for address in addresses:
                    for port in ports.values():
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((address, port))
                return ports
            except OSError:
                continue

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for server in self.servers:
            server.crash()
        for process in self.processes:
            process.end()
        for process in self.processes:
            process.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def port(self, name):
        return self._ports[name]

    def new_ip(self, kind):
        self._hosts[kind] += 1
        return f"{self._network}.{list(self._hosts).index(kind) + 1}.{self._hosts[kind]}"

    def _fields(self, ip, zone):
        return {"Ip": ip, "Zone": zone, "Region": "tz-coast", "Seeds": self.seeds, "InternalPortRange": [self.port("internal")] * 2, "Bootstrap": False}

    def _add(self, kind, fields):
        process = Process(self, f"{kind}-{self._hosts[kind]}", self.roles[kind], fields)
        self.processes.append(process)
        return process

    def _add_control(self, seeds, is_first_start, tolerated):
        ip = self.new_ip("control")
        number = self._hosts["control"]
        fields = self._fields(ip, f"zone-{number % 4}") | {"Seeds": seeds, "Bootstrap": is_first_start}
        fields |= {"Listen": {"Control": f"{ip}:{self.port('control')}"}, "FaultTolerance": {"Machines": tolerated}}
        fields["DataDir"] = str(self.folder / f"data-{number}")
        return self._add("control", fields)

    def start_control(self, count, tolerated=1):
        addresses = [f"{self._network}.1.{number + 1}:{self.port('control')}" for number in range(count)]
        self.control_addresses = addresses
        self.seeds = addresses[:3]
        hosts = [self._add_control(self.seeds, True, tolerated) for _ in range(count)]
        for host in hosts:
            host.start()
        return hosts

    def add_control(self, seeds, tolerated=1):
        """Starts one more control host, at a new address and with an empty disk."""
        host = self._add_control(seeds, False, tolerated)
        host.start()
        return host

    def start_balancer(self, zone="zone-0"):
        ip = self.new_ip("balancer")
        fields = self._fields(ip, zone)
        fields["Listen"] = {"DatagramAddr": f"{ip}:{self.port('datagram')}", "ReadyAddr": f"{ip}:{self.port('ready')}"}
        balancer = self._add("balancer", fields)
        balancer.start()
        return balancer

    def start_agent(self, service, zone="zone-0"):
        ip = self.new_ip("agent")
        fields = self._fields(ip, zone)
        fields["Listen"] = {
            "DatagramAddr": f"{ip}:{self.port('datagram')}",
            "ReadyAddr": f"{ip}:{self.port('ready')}",
            "Control": f"{ip}:{self.port('control')}",
            "outbound": f"{ip}:{self.port('outbound')}",
        }
        fields |= {"app": f"{ip}:{self.port('app')}", "HeartbeatMs": int(HEARTBEAT_S * 1000), "Service": service}
        agent = self._add("agent", fields)
        agent.start()
        return agent

    def own_ends(self):
        return {process.name: len(process.own_ends) for process in self.processes if process.own_ends}


def call(address, method, path, body=None, timeout=REQUEST_TIMEOUT_S):
    """One HTTP call. Returns the status and the body; the status is 0 if no response arrives."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"} if body is not None else {})
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location")
    except (OSError, http.client.HTTPException):
        return 0, b"", None
    finally:
        connection.close()


class Operator:
    """Sends orders to control hosts: moves on after a failure, follows two redirects, and ends a call at a clear response."""

    final_statuses = {200, 400, 409, 412, 413, 422}

    def __init__(self, deployment):
        self._deployment = deployment
        self._record = deployment.record

    def once(self, address, method, path, body=None):
        status, content, location = call(address, method, path, body)
        for _ in range(2):
            if status != 307 or not location:
                break
            address = location.removeprefix("http://").split("/", 1)[0]
            status, content, location = call(address, method, path, body)
        return status, content

    def replace(self, label, body, within_s):
        """Sends an order until it is answered. Returns the final status; 0 if there is none in time."""
        deadline = time.monotonic() + within_s
        addresses = self._deployment.control_addresses
        attempt = random.randrange(len(addresses))
        delay = 0.1
        while time.monotonic() < deadline:
            address = addresses[attempt % len(addresses)]
            attempt += 1
            status, _ = self.once(address, "POST", "/jujubequay/Config.Replace", body)
            self._record.write(f"operator {label}: {address} answers {status or 'nothing'}")
            if status in self.final_statuses:
                return status
            time.sleep(delay)
            delay = min(2 * delay, 1.0)
        return 0

    def fetch(self, address):
        return self.once(address, "GET", "/jujubequay/Config.Fetch")


def route(name, host, port, service, kind="idempotent"):
    return {
        "Name": name,
        "Hostname": host,
        "PathPrefix": f"/{port}/",
        "RouteType": kind,
        "TimeoutMs": 1500,
        "AimMs": 150,
        "Priority": 1,
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


class Server:
    """A backend server: answers status checks over TCP, ends flows over UDP and announces itself to the agent of its host."""

    def __init__(self, deployment, agent, service, name, first_announcement_s=0.0):
        self.name = name
        self.service = service
        self.acknowledged = threading.Event()
        self.announced_at = 0.0
        self._deployment = deployment
        self._record = deployment.record
        self._app = agent.fields["app"]
        self._outbound = self._address(agent.fields["Listen"]["outbound"])
        self._control = agent.fields["Listen"]["Control"]
        self._zone = agent.fields["Zone"]
        self._first_announcement_s = first_announcement_s
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self._born = 0
        self._flows = {}
        self._ended = threading.Event()
        self._sockets = []

    @staticmethod
    def _address(text):
        host, port = text.rsplit(":", 1)
        return host, int(port)

    def start(self):
        self._born = int(time.time() * 1000)
        address = self._address(self._app)
        packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        packets.bind(address)
        status = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        status.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        status.bind(address)
        status.listen(16)
        self._sockets = [packets, status]
        self._record.write(f"server {self.name} of {self.service} starts at {self._app}")
        self._deployment.servers.append(self)
        for target in (self._serve_packets, self._serve_status, self._announce):
            threading.Thread(target=target, daemon=True).start()

    def crash(self):
        """Ends without a word; its flows and its listeners are gone."""
        if self._ended.is_set():
            return
        self._ended.set()
        for opened in self._sockets:
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
            opened.close()
        self._record.write(f"server {self.name} of {self.service} has ended")

    def _announce(self):
        self._ended.wait(self._first_announcement_s)
        sequence = 0
        while not self._ended.is_set():
            sequence += 1
            body = {"Service": self.service, "Address": self._app, "Zone": self._zone, "Version": "v1", "Capacity": 3, "State": "ready"}
            body |= {"WarmupLeftMs": 0, "Sequence": sequence, "born": self._born}
            status, _, _ = call(self._control, "POST", f"/jujubequay/Instances.Heartbeat/{self.id}", json.dumps(body))
            if status == 200 and not self.acknowledged.is_set():
                self._record.write(f"server {self.name} of {self.service}: its announcement {sequence} is acknowledged")
                self.acknowledged.set()
            self.announced_at = time.monotonic()
            self._ended.wait(HEARTBEAT_S)

    def _serve_status(self):
        listener = self._sockets[1]
        while not self._ended.is_set():
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.settimeout(0.5)
                if connection.recv(2048):
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

    def _serve_packets(self):
        packets = self._sockets[0]
        while not self._ended.is_set():
            try:
                datagram = packets.recv(2048)
                if len(datagram) < HEAD_BYTES:
                    continue
                for answer in self._handle(datagram):
                    packets.sendto(answer, self._outbound)
            except OSError:
                return

    def _handle(self, datagram):
        segment = Segment(datagram)
        key = (segment.source, segment.destination)
        flow = self._flows.get(key)
        if segment.flags & SYN and segment.flags & ACK:
            return []  # forged
        if segment.flags & SYN:
            if flow is None:
                flow = self._flows[key] = {"seq": random.randrange(1 << 32), "expected": segment.seq + 1, "answers": {}, "open": False}
                self._record.write(f"server {self.name} of {self.service} takes the opening packet {segment.source} -> {segment.destination}")
            return [packet(flow["seq"], segment.seq + 1, segment.destination, segment.source, SYN | ACK)]
        own = flow is not None and (flow["open"] or segment.ack == (flow["seq"] + 1) & 0xFFFFFFFF)
        if not own:
            bounced = bytearray(datagram)
            bounced[22] |= BOUNCED
            bounced[23] = 0
            return [bytes(bounced)]
        flow["open"] = True
        if segment.flags & RST:
            del self._flows[key]
            return []
        if not segment.data:
            return []
        if segment.seq in flow["answers"]:
            return [flow["answers"][segment.seq]]
        method, path = segment.data.split(b"\r\n", 1)[0].decode().split(" ")[:2]
        request_id = re.search(rb"Jujubequay-Request-Id: (\S+)", segment.data).group(1).decode()
        self._record.write(f"server {self.name} of {self.service} runs request {request_id} ({method} {path})")
        body = f"{self.service} {request_id}\n".encode()
        signature = hashlib.blake2b(body, digest_size=8, key=self.name.encode()).hexdigest()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nJujubequay-Response-Signature: {signature}\r\n\r\n"
        answer = packet(flow["seq"] + 1, segment.seq + len(segment.data), segment.destination, segment.source, ACK, head.encode() + body)
        flow["answers"][segment.seq] = answer
        return [answer]


class Caller:
    """A client host. Opens a flow for each request; sends copies of the opening packet after 200 and 600 ms."""

    copies_s = (0.0, 0.2, 0.6)
    attempt_s = 1.4

    def __init__(self, deployment, balancers):
        self._record = deployment.record
        self._ip = deployment.new_ip("client")
        self._balancers = [Server._address(balancer.fields["Listen"]["DatagramAddr"]) for balancer in balancers]
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self._ip, deployment.port("datagram")))
        self._waiting = {}
        self._lock = threading.Lock()
        self._next_port = random.randint(20000, 40000)
        self._closed = False
        threading.Thread(target=self._receive, daemon=True).start()

    def close(self):
        self._closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _receive(self):
        while not self._closed:
            try:
                datagram = self._socket.recv(2048)
            except OSError:
                return
            if len(datagram) < HEAD_BYTES:
                continue
            segment = Segment(datagram)
            with self._lock:
                queue = self._waiting.get((segment.destination[1], segment.source))
            if queue is not None:
                with queue["condition"]:
                    queue["segments"].append(segment)
                    queue["condition"].notify()

    def request(self, target, label):
        """Opens a flow to the address of a route and sends one request. Returns the body of the answer; None without one."""
        with self._lock:
            self._next_port += 1
            port = self._next_port
            queue = {"condition": threading.Condition(), "segments": []}
            self._waiting[(port, target)] = queue
        source = (self._ip, port)
        # The router selects a balancer by a hash of the addresses and ports.
        balancer = self._balancers[hash((source, target)) % len(self._balancers)]
        try:
            return self._run(source, target, balancer, queue, label)
        finally:
            with self._lock:
                del self._waiting[(port, target)]

    def _take(self, queue, until):
        with queue["condition"]:
            while not queue["segments"]:
                remaining = until - time.monotonic()
                if remaining <= 0 or not queue["condition"].wait(remaining):
                    return None
            return queue["segments"].pop(0)

    def _run(self, source, target, balancer, queue, label):
        sequence = random.randrange(1 << 32)
        start = time.monotonic()
        self._record.write(f"caller sends request {label} to {target[0]}:{target[1]} from port {source[1]}")
        opened = None
        for copy, delay in enumerate(self.copies_s):
            self._socket.sendto(packet(sequence, copy, source, target, SYN), balancer)
            until = start + (self.copies_s[copy + 1] if copy + 1 < len(self.copies_s) else self.attempt_s)
            opened = self._take(queue, until)
            if opened is not None:
                break
        if opened is None or opened.flags & RST or not opened.flags & SYN:
            self._record.write(f"caller: request {label} was not sent, {'reset' if opened else 'no server answers'}")
            return None
        data = f"GET /{label} HTTP/1.1\r\nHost: {target[0]}\r\nJujubequay-Request-Id: {label}\r\n\r\n".encode()
        request = packet(sequence + 1, opened.seq + 1, source, target, ACK, data)
        interval = 0.2
        while time.monotonic() < start + 3.0:
            self._socket.sendto(request, balancer)
            until = time.monotonic() + interval
            answer = self._take(queue, until)
            while answer is not None and not answer.data and not answer.flags & RST:
                answer = self._take(queue, until)
            if answer is not None:
                body = answer.data.split(b"\r\n\r\n", 1)[-1].decode().strip() if answer.data else "reset"
                self._record.write(f"caller: request {label} is answered: {body}")
                self._socket.sendto(packet(sequence + 1 + len(data), answer.seq + answer.length, source, target, ACK | RST), balancer)
                return body
            interval = min(2 * interval, 1.6)
        self._record.write(f"caller: request {label} has no answer")
        return None


def wait_until(condition, within_s, interval_s=0.05):
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(interval_s)
    return False


def interrupt(*_):
    """Ends the case; the processes that it has started are ended on the way out."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(COULD_NOT_RUN)


def main(run):
    """Runs a case and exits with its result. The argument of the program is the file for the record."""
    signal.signal(signal.SIGTERM, interrupt)
    record = Record(sys.argv[1])
    status = COULD_NOT_RUN
    try:
        with Deployment(record) as deployment:
            status = run(deployment, record)
    except Exception as error:
        record.write(f"error: {error!r}")
        status = COULD_NOT_RUN
    finally:
        record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "the case could not run"))
        record.close()
    sys.exit(status)
