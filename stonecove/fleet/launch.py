"""Start an instance: write its run file, apply its limits, then replace this process by the router.

    python -S -E launch.py FOLDER CPU SOCKETS LOG -- COMMAND ...

The launcher is a separate process with the standard library alone, so that the run file exists before the
router does: a supervisor that is killed at any moment leaves no process behind that the next one can't find.
"""

import json
import os
import resource
import sys


def main() -> None:
    """Run the launcher; the pid and the start time in the run file stay valid through exec."""
    folder, cpu, sockets, log_path = sys.argv[1:5]
    command = sys.argv[6:]
    with open("/proc/self/stat") as file:
        start_ticks = int(file.read().rpartition(")")[2].split()[19])
    try:
        with open("/proc/sys/kernel/random/boot_id") as file:
            boot_id = file.read().strip()
    except OSError:
        boot_id = ""
    temporary = os.path.join(folder, f"run.json.{os.getpid()}")
    with open(temporary, "w") as file:
        json.dump({"pid": os.getpid(), "start": start_ticks, "boot": boot_id}, file)
    os.replace(temporary, os.path.join(folder, "run.json"))
    if cpu != "-":
        os.sched_setaffinity(0, {int(cpu)})
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptors = int(sockets)
    resource.setrlimit(
        resource.RLIMIT_NOFILE,
        (
            max_descriptors,
            max_descriptors if hard_limit == resource.RLIM_INFINITY else min(max_descriptors, hard_limit),
        ),
    )
    error_log = os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    os.dup2(error_log, 1)
    os.dup2(error_log, 2)
    os.close(error_log)
    os.execvp(command[0], command)


if __name__ == "__main__":
    main()
