"""What the router's process spends on requests and bytes: the real program over loopback, with stand-ins.

Depot and web servers run in processes of their own, so that only the router's CPU and memory are read.
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

HERE = Path(__file__).parent.parent
TICKS = os.sysconf("SC_CLK_TCK")
CACHES = 3
HOLD = 1 << 40  # bit of an object's number: its answer stops before the last byte until it is let go
KB_SHIFT = 24  # an object's number tells its size in KB above these bits
WARMING = 1.0  # seconds of load before anything is read
MOST_REFUSED = 0.01  # part of a load whose figures count
GENERATORS = 2  # processes of web servers
CONNECTIONS = 16  # of each of them


@dataclass(frozen=True)
class Load:
    """So many requests a second for objects of so many KB."""

    kb: int
    rate: float


@dataclass(frozen=True)
class Spent:
    """What a load took of the router."""

    kb: int
    asked: float  # requests a second that the load wanted
    served: float  # requests a second
    refused: float  # requests a second
    cores: float  # of CPU
    resident_mb: float  # at its greatest

    def whole(self) -> bool:
        """Whether the router took nearly all of the load: beyond that, CPU tells nothing of requests."""
        return (
            self.refused <= MOST_REFUSED * self.asked and self.served >= (1 - 3 * MOST_REFUSED) * self.asked
        )

    @property
    def megabytes(self) -> float:
        """MB a second that were passed on."""
        return self.served * self.kb / 1000.0


class SizedDepot(Depot):
    """A depot whose objects are as long as their numbers tell."""

    def __init__(self) -> None:
        self.release = threading.Event()
        super().__init__(CACHES, weight=2000.0)

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Answers a fetch at once, but for the last byte of what is held."""
        item = int(fields["item"], 16)
        words = [
            ("tell", "hit"),
            ("ver", f"v{item:x}"),
            ("born", f"{time.time() * 1000:.0f}"),
            ("waited", "0"),
        ]
        body = bytes((item & HOLD - 1) >> KB_SHIFT) * 1000
        answer = resp.encode(txn.encode(), b"200", resp.format_fields(words), body)
        if item & HOLD:
            sock.sendall(answer[:-3])
            self.release.wait()
            sock.sendall(answer[-3:])
        else:
            sock.sendall(answer)
        self.seen.clear()


def object_number(kb: int, number: int, held: bool = False) -> int:
    """The number of an object of that size."""
    return (HOLD if held else 0) | kb << KB_SHIFT | number % (1 << KB_SHIFT)


def _run_depot(pipe: Connection) -> None:
    depot = SizedDepot()
    pipe.send((depot.log_port, depot.known()))
    while (word := pipe.recv()) != "end":
        if word == "release":
            depot.release.set()
    pipe.send("ended")


def _run_generator(pipe: Connection, port: int, load: Load, seconds: float, seed: int) -> None:
    """Asks at an even pace, from many connections, and sends back how many answers came after the warming."""
    rate = load.rate / GENERATORS
    begin, served, refused = time.monotonic() + 0.2, [0], [0]
    lock = threading.Lock()

    def work(place: int) -> None:
        asker, step = FastCgiClient(port), CONNECTIONS / rate
        due, number = begin + place / rate, seed << 20 | place << 14
        while due < begin + WARMING + seconds:
            time.sleep(max(0.0, due - time.monotonic()))
            item = object_number(load.kb, number % 5000 + 1)
            status, body = asker.request_item(
                seed << 32 | place << 24 | (number & 0xFFFFFF), item, kb=load.kb
            )
            good = status.startswith("200") and len(body) == load.kb * 1000
            if begin + WARMING <= time.monotonic() < begin + WARMING + seconds:
                with lock:
                    served[0] += good
                    refused[0] += not good
            due, number = due + step, number + 1
        asker.close()

    threads = [threading.Thread(target=work, args=(place,)) for place in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, begin + WARMING - time.monotonic()))
    pipe.send("warm")
    time.sleep(max(0.0, begin + WARMING + seconds - time.monotonic()))
    pipe.send("over")
    for thread in threads:
        thread.join()
    pipe.send((served[0], refused[0]))


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid: int, field: str) -> float:
    """A figure of the process's status (VmRSS, VmHWM) in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f"no {field} in the status of {pid}")


def router_settings() -> dict[str, Any]:
    """Settings under which neither the links nor the classes refuse anything."""
    table = settings()
    domain = table["domain"]
    assert isinstance(domain, dict)
    domain["zone_link_kb_per_s"] = [0.0, 1e8]
    return table


@contextmanager
def router_at_depot(memory: float = 192.0) -> Iterator[tuple[subprocess.Popen[bytes], int, Connection]]:
    """A router and its depot; the process, its port, and the pipe to the depot."""
    context = multiprocessing.get_context("spawn")
    pipe, far = context.Pipe()
    depot = context.Process(target=_run_depot, args=(far,), daemon=True)
    depot.start()
    log_port, known = pipe.recv()
    port = free_port()
    config = {
        "name": "capacity",
        "listen": f"127.0.0.1:{port}",
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": memory, "sockets": 1024},
        "changelog": f"127.0.0.1:{log_port}",
        "known": known,
        "settings": router_settings(),
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(config))
        environ = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(HERE)}
        router = subprocess.Popen(
            [sys.executable, "-m", "stonecove"], cwd=HERE, env=environ, stderr=subprocess.DEVNULL
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


def spend(load: Load, seconds: float) -> Spent:
    """What a load takes of a fresh router."""
    context = multiprocessing.get_context("spawn")
    with router_at_depot() as (router, port, _):
        pipes, processes = [], []
        for seed in range(GENERATORS):
            pipe, far = context.Pipe()
            process = context.Process(target=_run_generator, args=(far, port, load, seconds, seed + 1))
            process.start()
            pipes.append(pipe)
            processes.append(process)
        for pipe in pipes:
            assert pipe.recv() == "warm"
        before, began = _cpu(router.pid), time.monotonic()
        for pipe in pipes:
            assert pipe.recv() == "over"
        cores = (_cpu(router.pid) - before) / (time.monotonic() - began)
        counts = [pipe.recv() for pipe in pipes]
        for process in processes:
            process.join()
        served, refused = (sum(pair[place] for pair in counts) / seconds for place in (0, 1))
        return Spent(load.kb, load.rate, served, refused, cores, memory_mb(router.pid, "VmHWM"))


def held_mb(kb: int, requests: int) -> float:
    """MB that the process grows by while so many answers of that size are held but for their last byte."""
    with router_at_depot() as (router, port, depot):
        askers = [FastCgiClient(port) for _ in range(requests)]
        for place, asker in enumerate(askers):  # what connections and first answers take is there already
            asker.request_item(place, object_number(1, place + 1), kb=1)
        before = memory_mb(router.pid, "VmRSS")
        threads = [
            threading.Thread(
                target=asker.request_item,
                args=(1000 + place, object_number(kb, place + 1, True)),
                kwargs={"kb": kb},
            )
            for place, asker in enumerate(askers)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.5)  # all but the last bytes has come; deadlines are 3 s
        grown = memory_mb(router.pid, "VmRSS") - before
        depot.send("release")
        for thread in threads:
            thread.join()
        for asker in askers:
            asker.close()
        return grown


def slopes(found: list[Spent]) -> tuple[float, float, float]:
    """Least squares: cores at rest, cores for a request a second, cores for a MB a second."""
    rows = numpy.array([[1.0, one.served, one.megabytes] for one in found])
    weights = numpy.array([1.0 / max(one.cores, 0.01) for one in found])  # relative errors count
    solved, *_ = numpy.linalg.lstsq(
        rows * weights[:, None], numpy.array([one.cores for one in found]) * weights, rcond=None
    )
    rest, request, megabyte = (float(value) for value in solved)
    return rest, request, megabyte


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
    loads: tuple[Load, ...], seconds: float, held: tuple[int, ...], requests: int
) -> dict[str, float]:
    """CPU by requests and bytes, and bytes held."""
    found = []
    for load in loads:
        spent = spend(load, seconds)
        found.append(spent)
        print(
            f"  {load.kb} KB, {load.rate:.0f} a second asked: {spent.served:.0f} served, "
            f"{spent.refused:.1f} refused, {spent.megabytes:.1f} MB/s, {spent.cores:.3f} cores, "
            f"{spent.resident_mb:.1f} MB at most",
            flush=True,
        )
    rest, request, megabyte = slopes([one for one in found if one.whole()])
    figures = {"rest_core": rest, "request_us": request * 1e6, "megabyte_us": megabyte * 1e6}
    figures["loads_taken_whole"] = sum(one.whole() for one in found)
    figures["peak_mb"] = max(one.resident_mb for one in found)
    for kb in held:
        grown = held_mb(kb, requests)
        figures[f"held_kb_{kb}"] = grown * 1000.0 / requests
        print(f"  {requests} answers of {kb} KB held: {grown:.1f} MB more", flush=True)
    return figures
