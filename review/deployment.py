"""A small deployment on loopback: store, searchers, gateways and consumers.

The gateways are separate processes, started with the command of the deploy
file. The store and the searchers are the project's own fakes; they, the
balancer and the consumers run in the process of the script.
"""

import asyncio
import collections
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

from fakes import callers
from fakes import objects
from fakes import shards

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Exit codes of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: Port of the gateways' metrics, which the deploy file names.
METRICS_PORT = 9464
HOST = "review.example"
ZONES = ("zone-a", "zone-b", "zone-c")
#: Bounds of the pages for the small deployments.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "sync_s": 4,
    "drain_ms": 3000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "regression_ms": 250,
    "max_stretch_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "recovery_s": 12,
}
#: Longest time until all gateways are ready, in seconds.
START_TIMEOUT_S = 30.0
#: Interval of the balancer's checks, and of the searchers' heartbeats.
CHECK_INTERVAL_S, HEARTBEAT_S = 1.0, 1.2
#: Length of a record in bytes.
RECORD_BYTES = 16

Reply = shards.ScriptedResponse


class Arrival(typing.NamedTuple):
    """A request that arrived at a searcher.

    Attributes:
        at_s: Time since the start of the script, in seconds.
        searcher: Id of the searcher.
        service: Its service.
        id: Id of the consumer's attempt.
        method: Method of the request.
        target: Path and query.
        headers: Headers by lower-case name.
        body: Body.
        ran: Whether the searcher ran it.
        status: Status of the searcher's answer.
        stamp: Stamp of the searcher's answer.
    """

    at_s: float
    searcher: str
    service: str
    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool
    status: int
    stamp: str


class Answer(typing.NamedTuple):
    """What a consumer got for one attempt.

    Attributes:
        id: Id of the attempt.
        gateway: Name of the gateway.
        sent_s: Time at which it was sent, in seconds.
        ended_s: Time of the answer, in seconds.
        status: Status of the answer; 0 if there was none.
        headers: Headers by lower-case name.
        body: Body of the answer.
        failure: Why there was no answer.
    """

    id: str
    gateway: str
    sent_s: float
    ended_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    failure: str = ""


class Searcher:
    """A searcher and its entry in the store.

    Attributes:
        name: Id of the searcher.
        service: Its service.
        zone: Its zone.
        server: The server.
        state: State that it reports.
        seq: Number of its last write.
        listed: Whether it writes heartbeats.
    """

    def __init__(
        self, name: str, service: str, zone: str, server: typing.Any
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.server: shards.ScriptedSearcher = server
        self.state = "ready"
        self.seq = 0
        self.listed = True


class Gateway:
    """A gateway process.

    Attributes:
        name: Name of the machine.
        address: Its IP address.
        ports: Ports by purpose.
        process: The process; None before the start.
        starts: Number of starts so far.
        misses: Number of readiness checks in a row without a 200.
        in_rotation: Whether it gets new connections.
    """

    def __init__(self, name: str, address: str, ports: dict[str, int]) -> None:
        self.name = name
        self.address = address
        self.ports = ports
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.misses = 2
        self.in_rotation = False


RespondTo = collections.abc.Callable[
    [Searcher, shards.Request, str],
    "tuple[int, Reply, bool] | None",
]


class Deployment:
    """State of the deployment.

    Attributes:
        folder: Temporary folder of settings and logs.
        store: The store.
        searchers: Searchers by name.
        gateways: The gateways.
        arrivals: Requests that arrived at searchers.
        answers: What consumers got.
        respond_to: Changes a searcher's answer; see `reply`.
        work_s: Time that a request takes at a searcher, in seconds.
        lines: Lines of the record.
        troubled: Whether the disruption takes place.
    """

    def __init__(self, folder: pathlib.Path, record: pathlib.Path) -> None:
        self.folder = folder
        self.record_path = record
        self.store = objects.ObjectStore()
        self.store_port = free_port("127.0.0.1")
        self.searchers: dict[str, Searcher] = {}
        self.gateways: list[Gateway] = []
        self.arrivals: list[Arrival] = []
        self.answers: list[Answer] = []
        self.sent: dict[str, float] = {}
        self.respond_to: RespondTo = lambda searcher, request, stamp: None
        self.work_s = 0.005
        self.bounds: dict[str, typing.Any] = dict(BOUNDS)
        self.lines: list[str] = []
        self.troubled = os.environ.get("TROUBLE", "1") != "0"
        self.tasks: list[asyncio.Task[typing.Any]] = []
        self.random = random.Random(38)
        self.started_s = time.monotonic()
        self.runner: typing.Any = None
        self.counter = 0

    def now_s(self) -> float:
        """Returns the time since the start of the script, in seconds."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        line = f"{self.now_s():8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def write_record(self) -> None:
        """Writes the record with all requests and answers."""
        rows = [
            (row.sent_s, f"sent {row.id} to {row.gateway}")
            for row in self.answers
        ]
        rows += [
            (
                row.ended_s,
                f"answered {row.id} {row.status}"
                f" parts={row.headers.get('x-part-stamps', '')}"
                f" missing={row.headers.get('x-missing-parts', '')}"
                f" stamp={row.headers.get('x-server-stamp', '')}"
                f" {row.failure}",
            )
            for row in self.answers
        ]
        rows += [
            (
                row.at_s,
                f"arrived {row.id} at {row.searcher} of {row.service}:"
                f" {'ran' if row.ran else 'not run'}, {row.status},"
                f" stamp={row.stamp}",
            )
            for row in self.arrivals
        ]
        rows.sort(key=lambda row: row[0])
        text = ["# events", *self.lines, "# requests"]
        text += [f"{at_s:8.3f} {line}" for at_s, line in rows]
        self.record_path.write_text("\n".join(text) + "\n", "utf-8")

    # Searchers

    def reply(
        self, server: shards.ScriptedSearcher, request: shards.Request
    ) -> Reply:
        """Answers a request at a searcher, and records it."""
        searcher = self.searchers[server.name]
        if request.target == shards.HEALTH_PATH:
            ready = searcher.state == "ready"
            status = "200 OK" if ready else "503 Service Unavailable"
            line = f"X-Instance-Id: {server.name}"
            raw = shards.encode_response(request, status, b"", line)
            return Reply(((0, raw),))
        self.counter += 1
        stamp = f"{server.name}.{self.counter:x}.{request.id}"
        wanted = request.headers.get("x-target-instance", server.name)
        code, ran = 200, True
        changed = None
        if wanted != server.name:
            code, ran, stamp = 421, False, ""
            raw = shards.encode_response(
                request, "421 Misdirected Request", b"", "X-Not-Executed: 1"
            )
            response = Reply(((0, raw),))
        else:
            changed = self.respond_to(searcher, request, stamp)
            raw = shards.encode_response(
                request,
                "200 OK",
                records_of(server.name, request.id),
                f"X-Server-Stamp: {stamp}",
            )
            response = Reply(((self.work_s, raw),))
        if changed is not None:
            code, response, ran = changed
        self.arrivals.append(
            Arrival(
                *(self.now_s(), server.name, searcher.service, request.id),
                *(request.method, request.target, request.headers),
                *(request.body, ran, code, stamp),
            )
        )
        return response

    async def add_searcher(self, name: str, service: str, zone: str) -> None:
        """Starts a searcher and lists it in the store."""
        server = await shards.start(name, self.reply)
        self.searchers[name] = Searcher(name, service, zone, server)
        self.list_searcher(name)

    def entry(self, name: str) -> dict[str, typing.Any]:
        """Returns the entry of a searcher."""
        searcher = self.searchers[name]
        return {
            "service": searcher.service,
            "address": "{}:{}".format(*searcher.server.address),
            "zone": searcher.zone,
            "version": "v1",
            "capacity": 2,
            "state": searcher.state,
            "warmup_left_ms": 0,
            "seq": searcher.seq,
        }

    def list_searcher(self, name: str) -> None:
        """Writes a changed entry of a searcher."""
        self.searchers[name].seq += 1
        self.store.put("servers", name, self.entry(name))

    async def beat(self) -> None:
        """Writes the searchers' heartbeats, which change nothing but `seq`."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name, searcher in self.searchers.items():
                row = self.store.objects_by_kind["servers"].get(name)
                if row is not None and searcher.listed:
                    searcher.seq += 1
                    row["spec"]["seq"] = searcher.seq

    async def write_entry(self, text: bytes) -> int:
        """Creates an entry of the kind `servers` over HTTP.

        Returns:
            The status of the store's answer.
        """
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.store_port
        )
        writer.write(
            b"POST /api/objects/servers HTTP/1.1\r\nHost: store\r\n"
            b"Content-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(text), text)
        )
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    # Gateways

    def add_gateways(self, count: int) -> None:
        """Chooses addresses, and writes the settings of the gateways."""
        network = free_network(count)
        names = ("front", "readiness", "control", "links")
        rows = [free_port(f"{network}.1") for _ in names]
        ports = dict(zip(names, rows, strict=True))
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            gateway = Gateway(
                f"front-{zone}-{number + 1}", f"{network}.{number + 1}", ports
            )
            self.gateways.append(gateway)
        for gateway in self.gateways:
            self.write_settings(gateway)

    def settings(self, gateway: Gateway) -> dict[str, typing.Any]:
        """Returns the settings of a gateway."""
        zone = gateway.name.removeprefix("front-").rpartition("-")[0]
        ip, ports = gateway.address, gateway.ports
        seeds = [f"{row.address}:{ports['control']}" for row in self.gateways]
        return {
            "node_name": gateway.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "region": "central",
            "zones": dict.fromkeys(ZONES, "central"),
            "listen_addrs": {
                "front": f"{ip}:{ports['front']}",
                "readiness_addr": f"{ip}:{ports['readiness']}",
                "control": f"{ip}:{ports['control']}",
            },
            "port_range": [ports["links"], ports["links"] + 15],
            "seed_nodes": seeds[:3],
            "bootstrap": True,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entrypoint": "virtual_ip",
            "heartbeat_ms": 1200,
            "policies": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "scatter",
                "platform",
            ],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "policy_limits": self.bounds,
            "platform": {
                "address": f"127.0.0.1:{self.store_port}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }

    def settings_path(self, gateway: Gateway) -> pathlib.Path:
        """Returns the path of the settings file of a gateway."""
        return self.folder / f"{gateway.name}.json"

    def write_settings(self, gateway: Gateway) -> None:
        """Writes the settings file of a gateway."""
        text = json.dumps(self.settings(gateway))
        self.settings_path(gateway).write_text(text, "utf-8")

    def start_gateway(self, gateway: Gateway) -> None:
        """Starts a gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["gateway"]["run"].split()
        gateway.starts += 1
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["LAURELROCK_CONFIG"] = str(self.settings_path(gateway))
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        path = self.folder / f"{gateway.name}-{gateway.starts}.log"
        with path.open("wb") as log:
            gateway.process = subprocess.Popen(  # noqa: S603
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self, gateway: Gateway) -> bool:
        """Asks a gateway whether it is ready."""
        caller = callers.Caller((gateway.address, gateway.ports["readiness"]))
        raw = callers.encode_request("balancer", "/api/readiness")
        try:
            return (await caller.ask(raw, 0.8)).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            caller.close()

    async def balance(self) -> None:
        """Checks once a second which gateways get new connections."""
        while True:
            for gateway in self.gateways:
                ready = await self.is_ready(gateway)
                gateway.misses = 0 if ready else gateway.misses + 1
                before, after = gateway.in_rotation, gateway.misses < 2
                if before != after:
                    gateway.in_rotation = after
                    words = "in" if after else "out of"
                    self.note(f"balancer: {gateway.name} {words} rotation")
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Waits until all gateways are in rotation; returns whether so."""
        end_s = self.now_s() + timeout_s
        while self.now_s() < end_s:
            if all(row.in_rotation for row in self.gateways):
                return True
            await asyncio.sleep(0.1)
        return False

    def choose_gateway(self) -> Gateway:
        """Returns the gateway of a consumer's new connection."""
        rows = [row for row in self.gateways if row.in_rotation]
        return self.random.choice(rows or self.gateways)

    # Consumers

    async def send(
        self,
        target: str,
        gateway: Gateway | None = None,
        deadline_ms: int = 1200,
        **options: typing.Any,
    ) -> Answer:
        """Sends one request on a new connection and records the answer."""
        gateway = gateway or self.choose_gateway()
        request_id = f"{self.random.getrandbits(64):016x}"
        raw = callers.encode_request(
            HOST, target, request_id, deadline_ms, **options
        )
        caller = callers.Caller((gateway.address, gateway.ports["front"]))
        sent_s, failure = self.now_s(), ""
        response = callers.Response(0, {}, b"")
        try:
            response = await caller.ask(raw, deadline_ms / 1000 + 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            failure = type(error).__name__
        finally:
            caller.close()
        answer = Answer(
            *(request_id, gateway.name, sent_s, self.now_s()),
            *(response.status, response.headers, response.body, failure),
        )
        self.answers.append(answer)
        return answer

    def start_consumers(self, target: str, per_s: float) -> None:
        """Sends requests at a steady rate until the end."""

        async def run() -> None:
            pending: set[asyncio.Task[Answer]] = set()
            while True:
                task = asyncio.create_task(self.send(target))
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(1.0 / per_s)

        self.spawn(run())

    def spawn(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        """Runs a coroutine in the background until the end."""
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    # Start and end

    def configure(
        self,
        version: int,
        routes: list[dict[str, typing.Any]],
        tenants: list[dict[str, typing.Any]] | None = None,
    ) -> None:
        """Writes a desired state whose services are those of the searchers."""
        services = sorted({row.service for row in self.searchers.values()})
        self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": [
                    {"host": HOST, "priority": 1} | row for row in routes
                ],
                "services": [
                    {
                        "name": name,
                        "health_path": shards.HEALTH_PATH,
                        "max_connections": 26,
                    }
                    for name in services
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 2000,
                    "idle_timeout_ms": 20000,
                },
                **({"tenants": tenants} if tenants else {}),
            },
        )

    async def open(self) -> bool:
        """Starts all but the searchers; returns whether it is ready."""
        self.runner = await objects.start(
            self.store, "127.0.0.1", self.store_port
        )
        for gateway in self.gateways:
            self.start_gateway(gateway)
        self.spawn(self.balance())
        self.spawn(self.beat())
        ready = await self.wait_ready()
        self.note("all gateways are ready" if ready else "not ready in time")
        return ready

    async def close(self) -> None:
        """Ends all processes and servers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.process.wait()
        for searcher in self.searchers.values():
            await searcher.server.stop()
        if self.runner is not None:
            await self.runner.cleanup()


def records_of(searcher: str, request_id: str, count: int = 3) -> bytes:
    """Returns the records of a searcher's answer."""
    return b"".join(
        f"{number}{searcher}{request_id}".encode()[:RECORD_BYTES].ljust(
            RECORD_BYTES, b"."
        )
        for number in range(count)
    )


def free_port(address: str) -> int:
    """Returns a free port of an address, with free ones after it."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return int(sock.getsockname()[1])


def free_network(count: int) -> str:
    """Returns the start of loopback addresses whose metrics port is free."""
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(count):
                with socket.socket() as sock:
                    sock.bind((f"{network}.{number + 1}", METRICS_PORT))
        except OSError:
            continue
        return network
    raise OSError("no free loopback network")


Case = collections.abc.Callable[
    [Deployment], collections.abc.Coroutine[typing.Any, typing.Any, int]
]


def main(case: Case, script: str) -> typing.NoReturn:
    """Runs a case and exits with its result."""
    record = pathlib.Path(script).resolve().parent / "record.txt"
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def run() -> int:
        deployment = Deployment(folder, record)
        try:
            result = await case(deployment)
        except Exception as error:
            deployment.note(f"could not run: {error!r}")
            result = COULD_NOT_RUN
        finally:
            with contextlib.suppress(Exception):
                await deployment.close()
        words = {HELD: "held", BROKEN: "broken"}.get(result, "could not run")
        deployment.note(f"result: {words}")
        deployment.write_record()
        return result

    try:
        code = asyncio.run(run())
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


def count_by(
    rows: collections.abc.Iterable[typing.Any],
) -> dict[typing.Any, int]:
    """Returns how often each value occurs."""
    return dict(collections.Counter(rows))
