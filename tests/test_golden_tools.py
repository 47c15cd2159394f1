"""Compare the command line, its exit codes and output, and the environment variables with golden data.

Record again with `PYTHONPATH=. python tests/test_golden_tools.py --record` from the repository's root.
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
from golden_tools_cases import REPOSITORY, json_round_trip, read_golden, read_json, write_golden

from stonecove.commands.main import cli
from stonecove.rollout.messages import Report, Target

VARIABLE_NAME = re.compile(r"^(STONECOVE|RELAY|NOTIFY|WATCHDOG)_[A-Z_]+$")
# Modules without a match are not parsed.
ENVIRONMENT_USE = re.compile(r"environ|getenv|\benv\b|STONECOVE_|RELAY_|NOTIFY_|WATCHDOG_")
INVALID_COMMANDS: tuple[tuple[str, ...], ...] = (
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
COMMAND_FILES = {
    "bad.cue": 'members: colour: 3\nsources: changelog: rank: "x"\n', "empty.cue": "",
    "each.cue": 'members: socket: "/run/stonecove/{name}.sock"\n', "list.json": "[]",
    "zone.json": '{"zone": 2}', "good.json": '{"page": 1}',
}  # fmt: skip


# -- the tree of commands --


def _parameter_type(parameter_type: Any) -> Any:
    if isinstance(parameter_type, click.Choice):
        return {"choices": list(parameter_type.choices)}
    if isinstance(parameter_type, (click.IntRange, click.FloatRange)):
        name = "integer" if isinstance(parameter_type, click.IntRange) else "float"
        return {"range_of": name, "least": parameter_type.min, "most": parameter_type.max}
    if isinstance(parameter_type, click.Path):
        return {
            "path": {
                "exists": parameter_type.exists,
                "files": parameter_type.file_okay,
                "folders": parameter_type.dir_okay,
            }
        }
    return parameter_type.name


def _default_value(parameter: click.Parameter) -> Any:
    value = parameter.default
    if value is None or type(value).__name__ == "Sentinel" or callable(value):
        return None
    return list(value) if isinstance(value, (tuple, list)) else value


def _describe_parameter(parameter: click.Parameter) -> dict[str, Any]:
    is_option = isinstance(parameter, click.Option)
    return {
        "kind": "option" if is_option else "argument",
        "names": [*parameter.opts, *parameter.secondary_opts]
        if is_option
        else [parameter.human_readable_name],
        "type": _parameter_type(parameter.type),
        "default": _default_value(parameter)
        or (False if getattr(parameter, "is_flag", False) else _default_value(parameter)),
        "required": parameter.required,
        "values": parameter.nargs,
        "repeatable": getattr(parameter, "multiple", False),
        "flag": getattr(parameter, "is_flag", False),
        "environment": parameter.envvar,
        "asks": getattr(parameter, "prompt", None) is not None,
    }


def _walk_commands(command: click.Command, path: str) -> Iterator[tuple[str, click.Command]]:
    yield path, command
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from _walk_commands(command.commands[name], f"{path} {name}")


def command_tree() -> Any:
    """Return all commands with their options and arguments: names, types and defaults."""
    return {
        path: [_describe_parameter(parameter) for parameter in command.params]
        for path, command in _walk_commands(cli, "stonecove")
    }


# -- commands with invalid input, and with the operator's files --


def _run_command(folder: str, *arguments: str, **environment: str) -> dict[str, Any]:
    """Return exit code and output of a command, without usage texts, which click writes."""
    result = CliRunner().invoke(
        cli, [argument.replace("FOLDER", folder) for argument in arguments], env=environment
    )
    is_own_text = not any(text in result.stderr for text in ("Usage: ", "No such option"))
    stderr = "" if not is_own_text else result.stderr.replace(folder, "FOLDER")
    return {
        "arguments": list(arguments),
        "exit_code": result.exit_code,
        "stdout": result.stdout.replace(folder, "FOLDER").splitlines(),
        "stderr": stderr.splitlines(),
    }


def invalid_commands() -> Any:
    """Return the results of commands with invalid input."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        for file_name, text in COMMAND_FILES.items():
            Path(folder, file_name).write_text(text)
        for arguments in INVALID_COMMANDS:
            results.append(_run_command(folder, *arguments, STONECOVE_OPERATOR=f"{folder}/nothing.cue"))
    return results


def config_commands() -> Any:
    """Return the output of `stonecove config` for the bundled operator's file and an empty one."""
    bundled_file, results = str(REPOSITORY / "deploy" / "operator.cue"), []
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "empty.cue").write_text("")
        Path(folder, "given.cue").write_bytes(Path(bundled_file).read_bytes())
        for file in ("FOLDER/empty.cue", "FOLDER/given.cue"):
            results += [
                _run_command(folder, "config", "check", file),
                _run_command(folder, "config", "check", "--operator", file),
                _run_command(folder, "config", "show", "--operator", file),
                _run_command(folder, "config", "explain", "--operator", file, "members.keep"),
                _run_command(folder, "config", "explain", "--operator", file, "sources.changelog"),
                _run_command(folder, "config", "explain", "--operator", file, "nothing.at.all"),
            ]
        results.append(_run_command(folder, "config", "check", STONECOVE_OPERATOR=f"{folder}/given.cue"))
    return results


def run_without_configuration() -> Any:
    """Return the output of the router process for invalid configurations."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "empty.json").write_text("{}")
        for config in (None, f"{folder}/nothing.json", f"{folder}/empty.json"):
            inherited = {key: value for key, value in os.environ.items() if not VARIABLE_NAME.match(key)}
            variables = inherited | ({"RELAY_CONFIG": config} if config else {})
            process = subprocess.run(
                [sys.executable, "-m", "stonecove"],
                env=variables,
                cwd=REPOSITORY,
                capture_output=True,
                text=True,
                check=False,
            )
            texts = [text.replace(folder, "FOLDER").splitlines() for text in (process.stdout, process.stderr)]
            results.append({"exit_code": process.returncode, "stdout": texts[0], "stderr": texts[1]})
    return results


# -- commands that query a router or supervisor --


@contextlib.contextmanager
def _answer_queries(path: Path, answer: Any) -> Iterator[list[str]]:
    """Answer every request on a socket with the same JSON; yield the list of requests."""
    requests: list[str] = []
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(str(path))
    listener.listen()

    def serve() -> None:
        while True:
            sock, _ = listener.accept()
            with sock:
                request = sock.makefile().readline().strip()
                if not request:
                    return
                requests.append(request)
                sock.sendall(json.dumps(answer).encode() + b"\n")

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield requests
    finally:
        with socket.socket(socket.AF_UNIX) as closing_connection:
            closing_connection.connect(str(path))
        thread.join()
        listener.close()


def query_commands() -> Any:
    """Return the requests that commands send to a router or supervisor, and their output for its answer."""
    results = []
    with (
        mock.patch.dict(os.environ, {"TZ": "UTC", "COLUMNS": "160"}),
        tempfile.TemporaryDirectory() as folder,
    ):
        time.tzset()
        for case in read_json("asked_answers.json"):
            path = Path(folder, "control.sock" if case["command"][0] == "fleet" else "members.sock")
            target = ["--folder", folder] if case["command"][0] == "fleet" else ["--socket", str(path)]
            group, *rest = case["command"]
            for json_option in ([], ["--json"]):
                with _answer_queries(path, case["answer"]) as requests:
                    result = _run_command(folder, group, *target, *json_option, *rest)
                path.unlink()
                result["arguments"] = [argument.replace(folder, "FOLDER") for argument in result["arguments"]]
                results.append({**result, "asked": requests})
    time.tzset()
    return results


def rollout_commands() -> Any:
    """Return the output and exit codes of `stonecove configuration` for targets and reports."""
    results = []
    for case in read_json("rollout_states.json"):
        target = Target.decode(json.dumps(case["target"]).encode()) if case["target"] else None
        reports = {
            name: Report.decode(json.dumps(report).encode()) for name, report in case["reports"].items()
        }
        for verb in ("status", "halt", "resume", "rollback"):
            arguments = [
                "configuration",
                verb,
                "--servers",
                "127.0.0.1:1",
                *(["1"] if verb == "rollback" else []),
            ]
            outcome = target, reports
            with mock.patch.object(trio, "run", lambda _session, outcome=outcome: outcome):
                result = _run_command("FOLDER", *arguments, COLUMNS="120")
            results.append({"case": case["name"], **result})
    return results


# -- files that commands read --


def fleet_file_commands() -> Any:
    """Return the output of `fleet logs` and `fleet trace` for files that instances have written."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        for file_name, text in read_json("fleet_files.json").items():
            path = Path(folder, file_name)
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
        for arguments in (
            ("logs",), ("logs", "edge-1"), ("logs", "--lines", "2"), ("logs", "--since", "1800000002"),
            ("logs", "--grep", "ready"), ("trace", "2a"), ("trace", "2b"),
        ):  # fmt: skip
            for json_option in ((), ("--json",)):
                results.append(_run_command(folder, "fleet", "--folder", "FOLDER", *json_option, *arguments))
    return results


# -- the environment --


def _is_environment(node: ast.AST) -> bool:
    """Return whether an expression is the environment or a parameter that holds it."""
    if isinstance(node, ast.Attribute):
        return node.attr in ("environ", "environb")
    return isinstance(node, ast.Name) and node.id in ("env", "environ", "environment")


def _environment_keys(tree: ast.AST) -> Iterator[ast.expr]:
    """Yield the keys that a module reads or removes from the environment."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Subscript) and _is_environment(node.value):
            yield node.slice
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
            reads_environment = node.func.attr in ("get", "pop", "setdefault") and _is_environment(
                node.func.value
            )
            if reads_environment or node.func.attr == "getenv":
                yield node.args[0]


def _environment_variables(tree: ast.Module) -> set[str]:
    """Return a module's environment variables: looked-up keys, and strings that match such a name."""
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
    names = {text for text in texts if VARIABLE_NAME.match(text)}
    for key in _environment_keys(tree):
        if isinstance(key, ast.Constant):
            names.add(str(key.value))
        else:
            names.add(str(constants.get(key.id, "unknown")) if isinstance(key, ast.Name) else "unknown")
    return names


def environment_variables() -> Any:
    """Return, sorted, the environment variables that the program reads or sets for its child processes."""
    texts = [path.read_text() for path in (REPOSITORY / "stonecove").rglob("*.py")]
    return sorted(
        set[str]().union(
            *(_environment_variables(ast.parse(text)) for text in texts if ENVIRONMENT_USE.search(text))
        )
    )


OUTPUTS: dict[str, Callable[[], Any]] = {
    "command_tree.json": command_tree,
    "bad_input.json": invalid_commands,
    "config_commands.json": config_commands,
    "run_without_configuration.json": run_without_configuration,
    "asking_commands.json": query_commands,
    "rollout_commands.json": rollout_commands,
    "fleet_files_commands.json": fleet_file_commands,
    "environment.json": environment_variables,
}


@pytest.mark.parametrize("name", OUTPUTS)
def test_command_output_matches_golden_files(name: str) -> None:
    assert json_round_trip(OUTPUTS[name]()) == read_golden(name)


def test_every_command_prints_help() -> None:
    for path in read_json("command_tree.json"):
        arguments = path.split()[1:]
        result = CliRunner().invoke(cli, [*arguments, "--help"])
        assert result.exit_code == 0, path
        assert result.stdout.startswith("Usage: "), path


def record() -> None:
    """Write all golden files but the inputs, which are written by hand."""
    for name, output in OUTPUTS.items():
        write_golden(name, output())


if __name__ == "__main__" and "--record" in sys.argv:
    record()
