"""Planted faults, each of which a soak of 50 seeds must detect by one of its expected rules.

    python tests/soak_faults.py [--seeds 1-50] [--jobs 4] [NAME ...]

Plants each fault in a temporary copy of the package and runs seeds until an expected rule is violated. Prints
the seed and the rule for each fault; exits with 1 if a fault was not detected.
"""

from __future__ import annotations

import argparse
import json
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "stonecove"


@dataclass(frozen=True, slots=True)
class Edit:
    """A replacement of text that occurs exactly once in a source file."""

    path: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class PlantedFault:
    """A fault and the rules of which at least one must detect it."""

    name: str
    rules: tuple[str, ...]
    edits: tuple[Edit, ...]


FAULTS = (
    PlantedFault(
        "drain-forgets-open-requests",
        ("answer", "left over"),
        (Edit("server/serve.py", "        self._route.expire()\n", ""),),
    ),
    PlantedFault(
        "drain-outlasts-sigkill",
        ("exit",),
        (
            Edit(
                "server/serve.py",
                "        with trio.move_on_at(end + self._final_write_s):\n            while self._clients",
                "        with trio.move_on_at(end + 60.0):\n            while True or self._clients",
            ),
        ),
    ),
    PlantedFault(
        "second-answer",
        ("second answer", "unasked"),
        (
            Edit(
                "frontends/fastcgi.py",
                "        connection.answer(ident, response_head(answer), answer.body)\n",
                "        connection.answer(ident, response_head(answer), answer.body)\n"
                "        if ident == 2:\n"
                "            connection.answer(ident, response_head(answer), answer.body)\n",
            ),
        ),
    ),
    PlantedFault(
        "keyed-repeat-after-its-window",
        ("window",),
        (
            Edit(
                "routing/dispatch.py",
                "if now_ms - first.sent_ms >= settings.deduplication_window_ms:",
                "if False:",
            ),
            Edit(
                "pipeline/send.py",
                "attempt.purged or self._deduplication_window_passed(attempt)",
                "attempt.purged",
            ),
        ),
    ),
    PlantedFault(
        "effect-repeated",
        ("repeat",),
        (
            Edit(
                "routing/dispatch.py",
                "        if settings.idempotency is Idempotency.NON_IDEMPOTENT:\n            return False\n",
                "        if settings.idempotency is Idempotency.NON_IDEMPOTENT:\n            return True\n",
            ),
        ),
    ),
    PlantedFault(
        "sighup-drops-connections",
        ("answer",),
        (
            Edit(
                "server/serve.py",
                "            elif self._front.ready:\n                self._reload()\n",
                "            elif self._front.ready:\n                self._reload()\n"
                "                for client in list(self._clients):\n                    client.close()\n",
            ),
        ),
    ),
    PlantedFault(
        "leaked-place",
        ("answer", "exit", "crash"),
        (
            Edit(
                "server/serve.py", "                self._clients.discard(client)\n", "                pass\n"
            ),
        ),
    ),
    PlantedFault(
        "second-sigterm-ends-at-once",
        ("answer",),
        (
            Edit(
                "server/serve.py",
                "            if self._stopping.is_set():\n                continue\n",
                "            if self._stopping.is_set() and number != signal.SIGHUP:\n"
                "                os._exit(0)\n"
                "            if self._stopping.is_set():\n                continue\n",
            ),
        ),
    ),
    PlantedFault(
        "list-changes-ignored",
        ("drain",),
        (
            Edit(
                "pipeline/route.py",
                "        self.nodes.apply(event)\n",
                "        if not event.is_snapshot:\n            return\n        self.nodes.apply(event)\n",
            ),
        ),
    ),
    PlantedFault(
        "purges-forgotten",
        ("purge",),
        (
            Edit(
                "routing/purges.py",
                "        self._purged_at_ms[name] = max("
                "now_ms - event.age_ms, self._purged_at_ms.get(name, -math.inf))\n",
                "",
            ),
        ),
    ),
    PlantedFault(
        "end-of-client-unheard",
        ("left",),
        (
            Edit(
                "protocols/fastcgi/session.py",
                "        for ident in sorted(self._decoder.open):\n"
                "            self._handler.aborted(self, ident)\n",
                "        return\n",
            ),
        ),
    ),
    PlantedFault(
        "abort-unheard",
        ("left",),
        (
            Edit(
                "frontends/fastcgi.py",
                "            self._route.client_disconnected(request)\n"
                "            connection.end(ident, COMPLETE)\n",
                "            connection.end(ident, COMPLETE)\n",
            ),
        ),
    ),
    PlantedFault(
        "body-cut-short",
        ("body",),
        (
            Edit(
                "pipeline/relay.py",
                "                    verdict,\n                    reply.body,\n",
                "                    verdict,\n                    reply.body[1:],\n",
            ),
        ),
    ),
    PlantedFault(
        "deadline-missed",
        ("answer",),
        (
            Edit(
                "pipeline/admit.py",
                "now_ms + max(1.0, min(client_request.timeout_ms, self._max_wait_ms) - RESPONSE_MARGIN_MS),",
                "now_ms + 1500.0 + min(client_request.timeout_ms, self._max_wait_ms),",
            ),
        ),
    ),
    PlantedFault(
        "end-with-an-error",
        ("exit", "log"),
        (
            Edit(
                "server/serve.py",
                "        log(LogEvent.ROUTER_STOPPED, open=len(self._route.requests))\n",
                "        log(LogEvent.ROUTER_STOPPED, open=len(self._route.requests))\n"
                "        raise RuntimeError\n",
            ),
        ),
    ),
    PlantedFault(
        "requests-held-at-the-end",
        ("left over",),
        (
            Edit(
                "pipeline/book.py",
                "            self._admit.close_request(request, self._clock.now())\n",
                "            if request.attempts:\n"
                "                self._admit.close_request(request, self._clock.now())\n",
            ),
        ),
    ),
)


def plant(fault: PlantedFault, package: Path) -> None:
    """Apply a fault to a copy of the package; raises ValueError if a text does not occur exactly once."""
    for edit in fault.edits:
        path = package / edit.path
        text = path.read_text()
        if text.count(edit.before) != 1:
            raise ValueError(f"{fault.name}: {edit.path} contains the text {text.count(edit.before)} times")
        path.write_text(text.replace(edit.before, edit.after))


def detect(fault: PlantedFault, seeds: str, jobs: int) -> tuple[int, str] | None:
    """Run seeds with the fault until an expected rule is violated; return the seed and the rule, or None."""
    first, _, last = seeds.partition("-")
    seed_numbers = list(range(int(first), int(last or first) + 1))
    with tempfile.TemporaryDirectory(prefix="stonecove-planted-") as folder:
        copy = Path(folder)
        shutil.copytree(ROOT / PACKAGE, copy / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
        plant(fault, copy / PACKAGE)
        for start in range(0, len(seed_numbers), jobs):
            batch = seed_numbers[start : start + jobs]
            completed = subprocess.run(
                [sys.executable, "-m", PACKAGE, "soak", "--no-reduce", "--json", "--jobs", str(jobs),
                 "--seeds", f"{batch[0]}-{batch[-1]}"],
                cwd=copy, capture_output=True, text=True, check=False,
            )  # fmt: skip
            for line in completed.stdout.splitlines():
                verdict = json.loads(line)
                for violation in verdict["broken"]:
                    if violation["rule"] in fault.rules:
                        return verdict["seed"], violation["rule"]
    return None


def main() -> int:
    """Run the soak with all planted faults, or with those named in the arguments; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", default="1-50")
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    missed_count = 0
    for fault in FAULTS:
        if arguments.names and fault.name not in arguments.names:
            continue
        detection = detect(fault, arguments.seeds, arguments.jobs)
        missed_count += detection is None
        print(
            f"{fault.name}: {'MISSED' if detection is None else f'seed {detection[0]}, {detection[1]}'}",
            flush=True,
        )
    return 1 if missed_count else 0


if __name__ == "__main__":
    sys.exit(main())
