"""Measure the router's CPU and memory by requests and bytes: the real program over loopback.

The stand-in depot and web servers run in separate processes, so that only the router's CPU and memory count.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import numpy

from stonecove.commands.demo import free_port, wait_ready
from stonecove.protocols import resp
from stonecove.standins.depot import Cache, Depot
from stonecove.standins.webserver import FastCgiClient, settings

REPOSITORY = Path(__file__).parent.parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CACHES = 3
STALL_BIT = 1 << 40  # bit of an object's number: its answer stalls before the last byte until released
KB_SHIFT = 24  # an object's number holds its size in KB above these bits
WARM_UP_S = 1.0  # load before the measurement starts
MAX_REFUSED_FRACTION = 0.01  # loads with more refusals are not used for the fit
GENERATORS = 2  # web server processes
CONNECTIONS = 16  # per web server process


@dataclass(frozen=True)
class Load:
    """A load of `rate` requests per second for objects of `kb` KB."""

    kb: int
    rate: float


@dataclass(frozen=True)
class LoadResult:
    """The router's throughput, CPU and memory under a load."""

    kb: int
    offered: float  # requests per second of the load
    served: float  # requests per second
    refused: float  # requests per second
    cores: float  # of CPU
    resident_mb: float  # peak

    def served_nearly_all(self) -> bool:
        """Return whether the router served nearly all of the load.

        Beyond its capacity, the CPU does not reflect the number of requests.
        """
        return (
            self.refused <= MAX_REFUSED_FRACTION * self.offered
            and self.served >= (1 - 3 * MAX_REFUSED_FRACTION) * self.offered
        )

    @property
    def megabytes_per_s(self) -> float:
        """Return the MB per second that were forwarded."""
        return self.served * self.kb / 1000.0


class SizedDepot(Depot):
    """A depot whose object numbers encode the object sizes."""

    def __init__(self) -> None:
        """Start the depot's caches."""
        self.release = threading.Event()
        super().__init__(CACHES, weight=2000.0)

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Answer a fetch immediately; a stalled object waits for the release before its last byte."""
        item = int(fields["item"], 16)
        answer_fields = [
            ("tell", "hit"),
            ("ver", f"v{item:x}"),
            ("born", f"{time.time() * 1000:.0f}"),
            ("waited", "0"),
        ]
        body = bytes((item & STALL_BIT - 1) >> KB_SHIFT) * 1000
        answer = resp.encode(txn.encode(), b"200", resp.format_fields(answer_fields), body)
        if item & STALL_BIT:
            sock.sendall(answer[:-3])
            self.release.wait()
            sock.sendall(answer[-3:])
        else:
            sock.sendall(answer)
        self.received_requests.clear()


def object_number(kb: int, number: int, stalled: bool = False) -> int:
    """Return the number of an object of `kb` KB."""
    return (STALL_BIT if stalled else 0) | kb << KB_SHIFT | number % (1 << KB_SHIFT)


def _run_depot(pipe: Connection) -> None:
    depot = SizedDepot()
    pipe.send((depot.log_port, depot.endpoint_list()))
    while (command := pipe.recv()) != "end":
        if command == "release":
            depot.release.set()
    pipe.send("ended")


def _run_generator(pipe: Connection, port: int, load: Load, duration_s: float, seed: int) -> None:
    """Send requests at an even rate over many connections; report the answers after the warm-up."""
    rate = load.rate / GENERATORS
    starts_at_s, served, refused = time.monotonic() + 0.2, [0], [0]
    lock = threading.Lock()

    def work(index: int) -> None:
        client, step = FastCgiClient(port), CONNECTIONS / rate
        next_request_s, number = starts_at_s + index / rate, seed << 20 | index << 14
        while next_request_s < starts_at_s + WARM_UP_S + duration_s:
            time.sleep(max(0.0, next_request_s - time.monotonic()))
            item = object_number(load.kb, number % 5000 + 1)
            status, body = client.request_item(
                seed << 32 | index << 24 | (number & 0xFFFFFF), item, kb=load.kb
            )
            is_complete = status.startswith("200") and len(body) == load.kb * 1000
            if starts_at_s + WARM_UP_S <= time.monotonic() < starts_at_s + WARM_UP_S + duration_s:
                with lock:
                    served[0] += is_complete
                    refused[0] += not is_complete
            next_request_s, number = next_request_s + step, number + 1
        client.close()

    threads = [threading.Thread(target=work, args=(index,)) for index in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, starts_at_s + WARM_UP_S - time.monotonic()))
    pipe.send("warm")
    time.sleep(max(0.0, starts_at_s + WARM_UP_S + duration_s - time.monotonic()))
    pipe.send("over")
    for thread in threads:
        thread.join()
    pipe.send((served[0], refused[0]))


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int, field: str) -> float:
    """Return a field of the process's status (VmRSS, VmHWM) in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f"no {field} in the status of {pid}")


def router_settings() -> dict[str, Any]:
    """Return settings under which neither the links nor the classes refuse requests."""
    settings_table = settings()
    domain = settings_table["domain"]
    assert isinstance(domain, dict)
    domain["zone_link_kb_per_s"] = [0.0, 1e8]
    return settings_table


@contextmanager
def router_at_depot(
    memory_limit_mb: float = 192.0,
) -> Iterator[tuple[subprocess.Popen[bytes], int, Connection]]:
    """Run a router and its depot; yield the process, its port and the pipe to the depot."""
    context = multiprocessing.get_context("spawn")
    pipe, child_pipe = context.Pipe()
    depot = context.Process(target=_run_depot, args=(child_pipe,), daemon=True)
    depot.start()
    log_port, known_endpoints = pipe.recv()
    port = free_port()
    config = {
        "name": "capacity",
        "listen": f"127.0.0.1:{port}",
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": memory_limit_mb, "sockets": 1024},
        "changelog": f"127.0.0.1:{log_port}",
        "known": known_endpoints,
        "settings": router_settings(),
    }
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder, "config.json")
        config_path.write_text(json.dumps(config))
        environment = {**os.environ, "RELAY_CONFIG": str(config_path), "PYTHONPATH": str(REPOSITORY)}
        router = subprocess.Popen(
            [sys.executable, "-m", "stonecove"], cwd=REPOSITORY, env=environment, stderr=subprocess.DEVNULL
        )
        try:
            wait_ready(port, router)
            yield router, port, pipe
        finally:
            router.kill()
            router.wait()
            with suppress(BrokenPipeError, EOFError):
                pipe.send("end")
                pipe.recv()
            depot.join(5.0)


def measure_load(load: Load, duration_s: float) -> LoadResult:
    """Measure a newly started router under a load."""
    context = multiprocessing.get_context("spawn")
    with router_at_depot() as (router, port, _):
        pipes, processes = [], []
        for seed in range(GENERATORS):
            pipe, child_pipe = context.Pipe()
            process = context.Process(
                target=_run_generator, args=(child_pipe, port, load, duration_s, seed + 1)
            )
            process.start()
            pipes.append(pipe)
            processes.append(process)
        for pipe in pipes:
            assert pipe.recv() == "warm"
        value_before, started_at_s = _cpu_s(router.pid), time.monotonic()
        for pipe in pipes:
            assert pipe.recv() == "over"
        cores = (_cpu_s(router.pid) - value_before) / (time.monotonic() - started_at_s)
        counts = [pipe.recv() for pipe in pipes]
        for process in processes:
            process.join()
        served, refused = (sum(pair[index] for pair in counts) / duration_s for index in (0, 1))
        return LoadResult(load.kb, load.rate, served, refused, cores, memory_mb(router.pid, "VmHWM"))


def stalled_mb(kb: int, requests: int) -> float:
    """Return the MB by which the process grows while answers of `kb` KB lack their last byte."""
    with router_at_depot() as (router, port, depot):
        clients = [FastCgiClient(port) for _ in range(requests)]
        for index, client in enumerate(clients):  # connections and first answers are allocated already
            client.request_item(index, object_number(1, index + 1), kb=1)
        value_before = memory_mb(router.pid, "VmRSS")
        threads = [
            threading.Thread(
                target=client.request_item,
                args=(1000 + index, object_number(kb, index + 1, True)),
                kwargs={"kb": kb},
            )
            for index, client in enumerate(clients)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.5)  # all but the last bytes have arrived; deadlines are 3 s
        growth_mb = memory_mb(router.pid, "VmRSS") - value_before
        depot.send("release")
        for thread in threads:
            thread.join()
        for client in clients:
            client.close()
        return growth_mb


def fit_costs(results: list[LoadResult]) -> tuple[float, float, float]:
    """Fit by least squares: cores when idle, per request per second and per MB per second."""
    rows = numpy.array([[1.0, result.served, result.megabytes_per_s] for result in results])
    weights = numpy.array([1.0 / max(result.cores, 0.01) for result in results])  # minimizes relative errors
    solution, *_ = numpy.linalg.lstsq(
        rows * weights[:, None], numpy.array([result.cores for result in results]) * weights, rcond=None
    )
    idle_cores, cores_per_request, cores_per_mb = (float(value) for value in solution)
    return idle_cores, cores_per_request, cores_per_mb


LOADS = (
    Load(10, 100.0),
    Load(10, 300.0),
    Load(10, 600.0),
    Load(60, 100.0),
    Load(60, 400.0),
    Load(120, 200.0),
    Load(120, 400.0),
    Load(240, 100.0),
    Load(240, 250.0),
)


def measure(
    loads: tuple[Load, ...], duration_s: float, stalled: tuple[int, ...], requests: int
) -> dict[str, float]:
    """Measure CPU by requests and bytes, and the memory of stalled answers."""
    results = []
    for load in loads:
        load_result = measure_load(load, duration_s)
        results.append(load_result)
        print(
            f"  {load.kb} KB, {load.rate:.0f} per second offered: {load_result.served:.0f} served, "
            f"{load_result.refused:.1f} refused, {load_result.megabytes_per_s:.1f} MB/s, "
            f"{load_result.cores:.3f} cores, {load_result.resident_mb:.1f} MB peak",
            flush=True,
        )
    idle_cores, cores_per_request, cores_per_mb = fit_costs(
        [result for result in results if result.served_nearly_all()]
    )
    figures = {
        "rest_core": idle_cores,
        "request_us": cores_per_request * 1e6,
        "megabyte_us": cores_per_mb * 1e6,
    }
    figures["loads_taken_whole"] = sum(result.served_nearly_all() for result in results)
    figures["peak_mb"] = max(result.resident_mb for result in results)
    for kb in stalled:
        growth_mb = stalled_mb(kb, requests)
        figures[f"held_kb_{kb}"] = growth_mb * 1000.0 / requests
        print(f"  {requests} stalled answers of {kb} KB: {growth_mb:.1f} MB more", flush=True)
    return figures
