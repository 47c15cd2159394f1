"""The command line, its exit codes and what it prints for programs, and the environment variables.

Record anew with `PYTHONPATH=. python tests/test_golden_tools.py --record` from the repository's root.
"""

from __future__ import annotations

import ast
import contextlib
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import click
import pytest
import trio
from click.testing import CliRunner
from golden_tools_cases import ROOT, as_json, load, recorded, write

from stonecove.commands.main import cli
from stonecove.rollout.messages import Report, Target

NAMES = re.compile(r"^(STONECOVE|RELAY|NOTIFY|WATCHDOG)_[A-Z_]+$")
MENTIONS = re.compile(r"environ|getenv|\benv\b|STONECOVE_|RELAY_|NOTIFY_|WATCHDOG_")  # worth a closer look
BAD_INPUT: tuple[tuple[str, ...], ...] = (
    ("nonsense",), ("config", "nonsense"), ("config", "check", "FOLDER/nothing.cue"),
    ("config", "check", "FOLDER/bad.cue"), ("config", "show", "--operator", "FOLDER/bad.cue"),
    ("config", "explain"), ("demo", "--requests", "1"),
    ("configuration", "status"), ("configuration", "status", "--servers", "nowhere"),
    ("configuration", "status", "--servers", "h:1", "--path", "x"),
    ("configuration", "publish", "FOLDER/nothing.json", "--servers", "h:1"),
    ("configuration", "publish", "FOLDER/bad.cue", "--servers", "h:1"),
    ("configuration", "publish", "FOLDER/list.json", "--servers", "h:1"),
    ("configuration", "publish", "FOLDER/zone.json", "--servers", "h:1"),
    ("configuration", "publish", "FOLDER/zone.json", "--servers", "h:1", "--waves", "0.5"),
    ("configuration", "publish", "FOLDER/zone.json", "--servers", "h:1", "--refused", "2"),
    ("configuration", "publish", "FOLDER/good.json", "--servers", "h:1", "--against", "FOLDER/good.json"),
    ("configuration", "status", "--servers", "h:1", "--auth", "digest=FOLDER/nothing"),
    ("configuration", "rollback", "--servers", "h:1", "x"),
    ("fleet", "--operator", "FOLDER/nothing.cue", "status"),
    ("fleet", "--operator", "FOLDER/empty.cue", "status"),
    ("fleet", "--folder", "FOLDER", "status"), ("fleet", "--folder", "FOLDER", "drain", "a"),
    ("fleet", "--folder", "FOLDER", "roll", "--out", "0"), ("fleet", "--folder", "FOLDER", "trace", "xyz"),
    ("fleet", "--folder", "FOLDER/nothing", "logs"), ("fleet", "--folder", "FOLDER", "logs"),
    ("members", "list"), ("members", "--operator", "FOLDER/empty.cue", "list"),
    ("members", "--operator", "FOLDER/each.cue", "list"), ("members", "--socket", "FOLDER/no.sock", "list"),
    ("swarm", "--socket", "FOLDER/no.sock", "status"), ("swarm", "gone"),
    ("standin", "zookeeper", "--listen", "10.0.0.1:1"), ("standin", "zookeeper", "--servers", "10"),
    ("overload", "report", "FOLDER/nothing"), ("overload", "plot", "FOLDER/nothing"),
    ("trial", "plot", "FOLDER"),
    ("scale", "run", "--nonsense"), ("scale", "run", "FOLDER/nothing.cue"), ("trial", "run"),
    ("explore", "run", "--processes", "99"), ("token", "verify"), ("keys", "rotate", "FOLDER/ring.json"),
)  # fmt: skip
FILES = {
    "bad.cue": 'members: colour: 3\nsources: changelog: rank: "x"\n', "empty.cue": "",
    "each.cue": 'members: socket: "/run/stonecove/{name}.sock"\n', "list.json": "[]",
    "zone.json": '{"zone": 2}', "good.json": '{"page": 1}',
}  # fmt: skip


# -- the tree of commands --


def _kind(kind: Any) -> Any:
    if isinstance(kind, click.Choice):
        return {"choices": list(kind.choices)}
    if isinstance(kind, (click.IntRange, click.FloatRange)):
        name = "integer" if isinstance(kind, click.IntRange) else "float"
        return {"range_of": name, "least": kind.min, "most": kind.max}
    if isinstance(kind, click.Path):
        return {"path": {"exists": kind.exists, "files": kind.file_okay, "folders": kind.dir_okay}}
    return kind.name


def _default(parameter: click.Parameter) -> Any:
    value = parameter.default
    if value is None or type(value).__name__ == "Sentinel" or callable(value):
        return None
    return list(value) if isinstance(value, (tuple, list)) else value


def _parameter(parameter: click.Parameter) -> dict[str, Any]:
    is_option = isinstance(parameter, click.Option)
    return {
        "kind": "option" if is_option else "argument",
        "names": [*parameter.opts, *parameter.secondary_opts]
        if is_option
        else [parameter.human_readable_name],
        "type": _kind(parameter.type),
        "default": _default(parameter)
        or (False if getattr(parameter, "is_flag", False) else _default(parameter)),
        "required": parameter.required,
        "values": parameter.nargs,
        "repeatable": getattr(parameter, "multiple", False),
        "flag": getattr(parameter, "is_flag", False),
        "environment": parameter.envvar,
        "asks": getattr(parameter, "prompt", None) is not None,
    }


def _commands(command: click.Command, path: str) -> Iterator[tuple[str, click.Command]]:
    yield path, command
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from _commands(command.commands[name], f"{path} {name}")


def command_tree() -> Any:
    """Return all verbs with their options and arguments: names, forms and defaults."""
    return {
        path: [_parameter(one) for one in command.params] for path, command in _commands(cli, "stonecove")
    }


# -- commands on bad input, and on the operators' files --


def _run(folder: str, *words: str, **environment: str) -> dict[str, Any]:
    """Return exit code and output of a command; texts of click are left out, as they are its own."""
    done = CliRunner().invoke(cli, [word.replace("FOLDER", folder) for word in words], env=environment)
    own = not any(text in done.stderr for text in ("Usage: ", "No such option"))
    error = "" if not own else done.stderr.replace(folder, "FOLDER")
    return {
        "arguments": list(words),
        "exit_code": done.exit_code,
        "stdout": done.stdout.replace(folder, "FOLDER").splitlines(),
        "stderr": error.splitlines(),
    }


def bad_input() -> Any:
    """Return what comes of input that can't be used."""
    told = []
    with tempfile.TemporaryDirectory() as name:
        for file, text in FILES.items():
            Path(name, file).write_text(text)
        for words in BAD_INPUT:
            told.append(_run(name, *words, STONECOVE_OPERATOR=f"{name}/nothing.cue"))
    return told


def config_commands() -> Any:
    """Return what `stonecove config` tells of the operator's file that comes along, and of an empty one."""
    given, told = str(ROOT / "deploy" / "operator.cue"), []
    with tempfile.TemporaryDirectory() as name:
        Path(name, "empty.cue").write_text("")
        Path(name, "given.cue").write_bytes(Path(given).read_bytes())
        for file in ("FOLDER/empty.cue", "FOLDER/given.cue"):
            told += [
                _run(name, "config", "check", file),
                _run(name, "config", "check", "--operator", file),
                _run(name, "config", "show", "--operator", file),
                _run(name, "config", "explain", "--operator", file, "members.keep"),
                _run(name, "config", "explain", "--operator", file, "sources.changelog"),
                _run(name, "config", "explain", "--operator", file, "nothing.at.all"),
            ]
        told.append(_run(name, "config", "check", STONECOVE_OPERATOR=f"{name}/given.cue"))
    return told


def run_without_configuration() -> Any:
    """Return what `stonecove run`, as a process, tells of a configuration that can't be used."""
    told = []
    with tempfile.TemporaryDirectory() as name:
        Path(name, "empty.json").write_text("{}")
        for config in (None, f"{name}/nothing.json", f"{name}/empty.json"):
            kept = {key: value for key, value in os.environ.items() if not NAMES.match(key)}
            environment = kept | ({"RELAY_CONFIG": config} if config else {})
            done = subprocess.run(
                [sys.executable, "-m", "stonecove"],
                env=environment,
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            texts = [text.replace(name, "FOLDER").splitlines() for text in (done.stdout, done.stderr)]
            told.append({"exit_code": done.returncode, "stdout": texts[0], "stderr": texts[1]})
    return told


# -- commands that ask somebody --


@contextlib.contextmanager
def _answering(path: Path, answer: Any) -> Iterator[list[str]]:
    """Answer all questions at a socket by one answer, as JSON; yields the questions."""
    asked: list[str] = []
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(str(path))
    listener.listen()

    def serve() -> None:
        while True:
            sock, _ = listener.accept()
            with sock:
                question = sock.makefile().readline().strip()
                if not question:
                    return
                asked.append(question)
                sock.sendall(json.dumps(answer).encode() + b"\n")

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield asked
    finally:
        with socket.socket(socket.AF_UNIX) as last:
            last.connect(str(path))
        thread.join()
        listener.close()


def asking_commands() -> Any:
    """Return what commands ask of a router or supervisor, and what they make of its answer."""
    told = []
    with mock.patch.dict(os.environ, {"TZ": "UTC", "COLUMNS": "160"}), tempfile.TemporaryDirectory() as name:
        time.tzset()
        for case in load("asked_answers.json"):
            path = Path(name, "control.sock" if case["command"][0] == "fleet" else "members.sock")
            to = ["--folder", name] if case["command"][0] == "fleet" else ["--socket", str(path)]
            group, *rest = case["command"]
            for json_option in ([], ["--json"]):
                with _answering(path, case["answer"]) as asked:
                    done = _run(name, group, *to, *json_option, *rest)
                path.unlink()
                done["arguments"] = [word.replace(name, "FOLDER") for word in done["arguments"]]
                told.append({**done, "asked": asked})
    time.tzset()
    return told


def rollout_commands() -> Any:
    """Return what `stonecove configuration` tells of targets and reports, and its exit codes."""
    told = []
    for case in load("rollout_states.json"):
        target = Target.decode(json.dumps(case["target"]).encode()) if case["target"] else None
        reports = {name: Report.decode(json.dumps(one).encode()) for name, one in case["reports"].items()}
        for verb in ("status", "halt", "resume", "rollback"):
            words = [
                "configuration",
                verb,
                "--servers",
                "127.0.0.1:1",
                *(["1"] if verb == "rollback" else []),
            ]
            found = target, reports
            with mock.patch.object(trio, "run", lambda _session, found=found: found):
                done = _run("FOLDER", *words, COLUMNS="120")
            told.append({"case": case["name"], **done})
    return told


# -- files that commands read --


def fleet_files() -> Any:
    """Return what `fleet logs` and `fleet trace` make of the files that instances have written."""
    told = []
    with tempfile.TemporaryDirectory() as name:
        for file, text in load("fleet_files.json").items():
            path = Path(name, file)
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
        for words in (
            ("logs",), ("logs", "edge-1"), ("logs", "--lines", "2"), ("logs", "--since", "1800000002"),
            ("logs", "--grep", "ready"), ("trace", "2a"), ("trace", "2b"),
        ):  # fmt: skip
            for json_option in ((), ("--json",)):
                told.append(_run(name, "fleet", "--folder", "FOLDER", *json_option, *words))
    return told


# -- the environment --


def _is_environment(node: ast.AST) -> bool:
    """Return whether an expression is the environment, or a parameter that stands for it."""
    if isinstance(node, ast.Attribute):
        return node.attr in ("environ", "environb")
    return isinstance(node, ast.Name) and node.id in ("env", "environ", "environment")


def _keys(tree: ast.AST) -> Iterator[ast.expr]:
    """Yield what a module looks up in the environment, or takes out of it."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Subscript) and _is_environment(node.value):
            yield node.slice
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
            of_environment = node.func.attr in ("get", "pop", "setdefault") and _is_environment(
                node.func.value
            )
            if of_environment or node.func.attr == "getenv":
                yield node.args[0]


def _variables(tree: ast.Module) -> set[str]:
    """Return the environment variables of a module: those looked up, and texts that are such names."""
    constants = {
        target.id: statement.value.value
        for statement in tree.body
        if isinstance(statement, ast.Assign) and isinstance(statement.value, ast.Constant)
        for target in statement.targets
        if isinstance(target, ast.Name)
    }
    texts = {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    found = {text for text in texts if NAMES.match(text)}
    for key in _keys(tree):
        if isinstance(key, ast.Constant):
            found.add(str(key.value))
        else:
            found.add(str(constants.get(key.id, "unknown")) if isinstance(key, ast.Name) else "unknown")
    return found


def environment() -> Any:
    """Return the environment variables that the program reads or sets for its children, sorted."""
    texts = [path.read_text() for path in (ROOT / "stonecove").rglob("*.py")]
    return sorted(set[str]().union(*(_variables(ast.parse(text)) for text in texts if MENTIONS.search(text))))


OUTPUTS: dict[str, Callable[[], Any]] = {
    "command_tree.json": command_tree,
    "bad_input.json": bad_input,
    "config_commands.json": config_commands,
    "run_without_configuration.json": run_without_configuration,
    "asking_commands.json": asking_commands,
    "rollout_commands.json": rollout_commands,
    "fleet_files_commands.json": fleet_files,
    "environment.json": environment,
}


@pytest.mark.parametrize("name", OUTPUTS)
def test_commands_give_what_was_recorded(name: str) -> None:
    assert as_json(OUTPUTS[name]()) == recorded(name)


def test_every_command_tells_its_help() -> None:
    for path in load("command_tree.json"):
        words = path.split()[1:]
        done = CliRunner().invoke(cli, [*words, "--help"])
        assert done.exit_code == 0, path
        assert done.stdout.startswith("Usage: "), path


def record() -> None:
    """Write all golden files but the inputs, which are written by hand."""
    for name, output in OUTPUTS.items():
        write(name, output())


if __name__ == "__main__" and "--record" in sys.argv:
    record()
