"""State machines of fleet decisions: leased budgets, and the lifecycle of supervised instances.

They run the real `Lessor`, `LeaseHolder`, `InstanceLifecycle` and `RollingRestart`; the network, the
processes and the clock are simulated.
"""

from __future__ import annotations

import marshal
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from stonecove.explore.coordination import canonical_value
from stonecove.explore.machine import Violation
from stonecove.fleet.restart import Action, InstanceLifecycle, Phase, RestartPolicy
from stonecove.fleet.rolling import RollingRestart, RollingState
from stonecove.quotas.leases import Grant, LeaseHolder, Lessor
from stonecove.routing.events import LeaseGranted
from stonecove.routing.leased_budget import LeasedBudget

NODE, WINDOW_S, LIMIT_WORK, LOCAL_FRACTION, LEASE_FRACTION, LEASE_LIFETIME_FRACTION = (
    7,
    4.0,
    10.0,
    0.3,
    0.5,
    0.25,
)
TICK_S, JUMP_S = 0.5, 1.5  # 0.5 and 1.5 lease lifetimes
POLICY = RestartPolicy(
    ready_timeout_s=2.0,
    initial_backoff_s=1.0,
    max_backoff_s=2.0,
    max_restarts=1,
    restart_window_s=8.0,
    unhealthy_threshold=1,
    stop_timeout_s=2.0,
    backoff_reset_s=4.0,
)
STEP_S = 1.0


class LeaseBounds(NamedTuple):
    """Bounds of a scope: search depth, number of faults and kinds of steps."""

    name: str
    depth: int
    faults: int = 0
    holders: int = 2
    max_in_flight: int = 2  # maximum answers in flight
    fault_kinds: tuple[str, ...] = ("lose", "repeat", "kill", "lessor-dies", "clock-back")
    credit: bool = False  # leases are passed to the decision module, which uses the system clock


class LifecycleBounds(NamedTuple):
    """Bounds of a scope: search depth, number of faults and kinds of steps."""

    name: str
    depth: int
    faults: int = 0
    commands: int = 0  # operator commands
    instances: int = 1
    roll: bool = False


LEASES = (
    LeaseBounds("lease-two", 7, faults=1),
    LeaseBounds("lease-late", 9, faults=1, holders=1, fault_kinds=("repeat", "lose")),
    LeaseBounds(
        "lease-clock", 12, faults=1, holders=1, max_in_flight=0, fault_kinds=("clock-back", "lessor-dies")
    ),
    LeaseBounds(
        "lease-credit", 11, faults=1, holders=1, max_in_flight=0, fault_kinds=("unix-back",), credit=True
    ),
)
LIFECYCLES = (
    LifecycleBounds("life-one", 10, faults=3, commands=2),
    LifecycleBounds("life-roll", 10, faults=2, instances=2, roll=True),
)


class Machine:
    """Base class of the state machines of this module and of `swarm`."""

    def __init__(self) -> None:
        """Start without violations."""
        self.violations: list[Violation] = []

    def report_violation(self, prop: str, why: str) -> None:
        """Record a violation of property `prop`."""
        self.violations.append(Violation(prop, why))

    def touches(self, step: str) -> frozenset[str] | None:
        """Return None: any step may touch the whole state."""
        return None

    def default(self) -> str | None:
        """Return None: only time passes by itself."""
        return None


class LeaseMachine(Machine):
    """A lessor and lease holders; answers may be late, lost or duplicated."""

    def __init__(self, bounds: LeaseBounds) -> None:
        """Start a lessor and its holders with the budget set."""
        super().__init__()
        self.bounds = bounds
        self.faults = bounds.faults
        self.real_time_s = 100.0  # time that really passes
        self.clock_offset_s = 0.0  # offset of the clock that all components read
        self.lessor = Lessor(
            WINDOW_S, self.real_time_s - 2 * WINDOW_S, LOCAL_FRACTION, LEASE_FRACTION, LEASE_LIFETIME_FRACTION
        )
        self.holders = [LeaseHolder(self.lessor.lifetime_s) for _ in range(bounds.holders)]
        self.names = [f"h{index}" for index in range(bounds.holders)]
        self.in_flight: list[tuple[int, int, Grant]] = []  # holder index, incarnation of the holder, grant
        self.incarnations = [0] * bounds.holders
        self.spent_work: list[tuple[float, float]] = []  # real time and work
        self.unix_offset_s = 0.0  # how far the system clock is ahead of the monotonic one
        self.credits = [LeasedBudget() for _ in range(bounds.holders)]
        # Real time at which the decision module is notified of an expiry, holder index, lease number.
        self.expiries: list[tuple[float, int, int]] = []
        self.returned_leases: set[tuple[int, int]] = set()  # holder index, lease number
        self.lessor.set_limit(NODE, LIMIT_WORK, self.now)

    @property
    def now(self) -> float:
        """The time that the clock shows, in seconds."""
        return self.real_time_s + self.clock_offset_s

    def enabled(self) -> list[str]:
        """Return the steps that are possible in the current state."""
        steps = ["tick", "jump"]
        for index, holder in enumerate(self.holders):
            steps.append(f"take {index}")
            if len(self.in_flight) < self.bounds.max_in_flight:
                steps.append(f"ask {index}")
            if (
                holder.unspent_work(NODE, self.now) > 0
                or holder._leases
                or self.credits[index].leases.get(NODE)
            ):
                steps.append(f"spend {index}")
        steps += [f"answer {number}" for number in range(len(self.in_flight))]
        if self.faults:
            kinds = self.bounds.fault_kinds
            for kind in ("lose", "repeat"):
                if kind in kinds:
                    steps += [f"{kind} {number}" for number in range(len(self.in_flight))]
            if "kill" in kinds:
                steps += [f"kill {index}" for index in range(len(self.holders))]
            steps += [kind for kind in ("lessor-dies", "clock-back", "unix-back") if kind in kinds]
        return steps

    def do(self, step: str) -> None:
        """Execute `step` and check the invariants."""
        action, _, argument = step.partition(" ")
        index = int(argument or 0)
        if action in ("lose", "repeat", "kill", "lessor-dies", "clock-back", "unix-back"):
            self.faults -= 1
        if action in ("tick", "jump"):
            self.real_time_s += TICK_S if action == "tick" else JUMP_S
            self.lessor.set_limit(NODE, LIMIT_WORK, self.now)
            self._notify_expired()
            for number, holder in enumerate(self.holders):
                for returned, unspent in holder.pop_expired(self.now):
                    self.lessor.return_lease(self.names[number], returned, unspent, self.now)
        elif action in ("ask", "take"):
            request_number = self.holders[index].begin_request(NODE, self.now)
            if request_number is not None:
                grant = self.lessor.request_lease(self.names[index], request_number, NODE, self.now)
                if grant is None:
                    self.holders[index].end_request(request_number)
                elif action == "take":
                    self._accept_grant(index, grant)
                else:
                    self.in_flight.append((index, self.incarnations[index], grant))
        elif action in ("answer", "repeat"):
            holder_index, incarnation, grant = (
                self.in_flight[index] if action == "repeat" else self.in_flight.pop(index)
            )
            if incarnation == self.incarnations[holder_index]:
                self._accept_grant(holder_index, grant)
        elif action == "lose":
            self.in_flight.pop(index)
        elif action == "spend" and self.bounds.credit:
            credit = self.credits[index]
            work = credit.remaining(self.now + self.unix_offset_s, NODE)
            if work > 0 and credit.spend(self.now + self.unix_offset_s, NODE, work):
                self.spent_work.append((self.real_time_s, work))
            self._return_unspent(index)
        elif action == "spend":
            unspent = self.holders[index].unspent_work(NODE, self.now)
            work = unspent if unspent > 0 else (1.0 - LOCAL_FRACTION) * LIMIT_WORK * LEASE_FRACTION
            if self.holders[index].spend(NODE, work, self.now):
                self.spent_work.append((self.real_time_s, work))
        elif action == "kill":
            self.lessor.remove_holder(self.names[index])
            self.incarnations[index] += 1
            self.holders[index] = LeaseHolder(self.lessor.lifetime_s)
            self.names[index] = f"h{index}-{self.incarnations[index]}"
        elif action == "lessor-dies":
            self.lessor = Lessor(WINDOW_S, self.now, LOCAL_FRACTION, LEASE_FRACTION, LEASE_LIFETIME_FRACTION)
            self.lessor.set_limit(NODE, LIMIT_WORK, self.now)
        elif action == "clock-back":
            self.clock_offset_s -= 3.0
        elif action == "unix-back":
            self.unix_offset_s -= 3.0
        self._check_invariants()

    def _accept_grant(self, index: int, grant: Grant) -> None:
        """Pass a grant to the decision module at once and its expiry when due, as `server.leases` does."""
        if self.holders[index].accept_grant(grant, self.now) and self.bounds.credit:
            for number, unspent, expires_at_s in self.holders[index].pop_leases(NODE):
                self.credits[index].grant(
                    self.now + self.unix_offset_s,
                    LeaseGranted(number, NODE, unspent, expires_at_s + self.unix_offset_s),
                )
                self.expiries.append((self.real_time_s + expires_at_s - self.now, index, number))
                self._return_unspent(index)

    def _notify_expired(self) -> None:
        for _, index, number in [expiry for expiry in self.expiries if expiry[0] <= self.real_time_s]:
            self.credits[index].grant(self.now + self.unix_offset_s, LeaseGranted(number, NODE, 0.0, 0.0))
            self._return_unspent(index)
        self.expiries = [expiry for expiry in self.expiries if expiry[0] > self.real_time_s]

    def _return_unspent(self, index: int) -> None:
        """Return unspent work to the lessor; each lease may be returned only once."""
        credit = self.credits[index]
        for unspent in credit.returned:
            if (index, unspent.lease_id) in self.returned_leases:
                self.report_violation("lease-once", f"lease {unspent.lease_id} was returned twice")
            self.returned_leases.add((index, unspent.lease_id))
            self.lessor.return_lease(self.names[index], unspent.lease_id, unspent.work_ms, self.now)
        credit.returned.clear()

    def _check_invariants(self) -> None:
        self.spent_work = [
            spending for spending in self.spent_work if spending[0] > self.real_time_s - WINDOW_S
        ]
        total = sum(work for _, work in self.spent_work)
        if total > (1.0 - LOCAL_FRACTION) * LIMIT_WORK + 1e-9:
            self.report_violation(
                "lease-sum",
                f"{total:g} of leased work spent in one window, limit {(1 - LOCAL_FRACTION) * LIMIT_WORK:g}",
            )

    def settle(self) -> None:
        """Check that the complete budget is available again after a window without requests."""
        for holder in self.holders:
            holder.pop_expired(self.now + 100)
        self.expiries.clear()
        self.real_time_s += 3 * WINDOW_S
        self.lessor.set_limit(NODE, LIMIT_WORK, self.now)
        self.real_time_s += WINDOW_S + 2 * self.lessor.lifetime_s
        self.lessor.set_limit(NODE, LIMIT_WORK, self.now)
        if self.lessor.booked_work(NODE, self.now) > 1e-9:
            self.report_violation("lease-back", "expired grants are still booked")
        elif self.lessor.request_lease("new", 1, NODE, self.now) is None:
            self.report_violation("lease-back", "no grant although no lease is outstanding")

    def encode(self) -> bytes:
        """Return the state in canonical form; times are relative to now."""

        def relative(time_s: float) -> float:
            return round(time_s - self.now, 6)

        def request_key(holder: str, request_number: int) -> tuple[str, int]:
            """Identify a request by its age in requests; requests of ended holders are all equal."""
            if holder in self.names:
                index = self.names.index(holder)
                return f"h{index}", self.holders[index]._last_number - request_number
            return "dead", 0

        accounts = [
            (
                account.limit,
                round(account.booked_work, 6),
                [
                    (
                        relative(booking.booked_at_s),
                        request_key(booking.holder, booking.number),
                        round(booking.work, 6),
                    )
                    for booking in account.grants
                ],
            )
            for account in self.lessor._accounts.values()
        ]
        holders = [
            (
                [
                    (lease_holder._last_number - n, relative(time_s))
                    for n, (_, time_s) in sorted(lease_holder._requests.items())
                ],
                sorted(lease_holder._last_number - n for n in lease_holder._pending_numbers.values()),
                [
                    (round(lease_item.unspent, 6), relative(lease_item.expires_at_s))
                    for leases in lease_holder._leases.values()
                    for lease_item in leases
                ],
                len(lease_holder._expired),
            )
            for lease_holder in self.holders
        ]
        answers = sorted(
            request_key(holder, number)
            for holder, numbers in self.lessor._grants.items()
            for number in numbers
        )
        return marshal.dumps(
            (
                self.faults,
                accounts,
                relative(max(self.lessor._no_grants_until_s, self.now)),
                answers,
                holders,
                [
                    (
                        holder_index,
                        incarnation == self.incarnations[holder_index],
                        self.holders[holder_index]._last_number - grant.number,
                    )
                    for holder_index, incarnation, grant in self.in_flight
                ],
                sorted(
                    (round(time_s - self.real_time_s, 6), round(work, 6)) for time_s, work in self.spent_work
                ),
                [
                    [
                        (
                            self.holders[index]._last_number - key,
                            relative(lease.expires_at_ms - self.unix_offset_s),
                            round(lease.remaining_ms, 6),
                        )
                        for key, lease in sorted(credit.leases.get(NODE, {}).items())
                    ]
                    for index, credit in enumerate(self.credits)
                ],
                sorted(
                    (round(time_s - self.real_time_s, 6), index, self.holders[index]._last_number - key)
                    for time_s, index, key in self.expiries
                ),
                sorted(
                    (index, self.holders[index]._last_number - key) for index, key in self.returned_leases
                ),
            ),
            2,
        )


class Process:
    """A simulated process of an instance."""

    def __init__(self) -> None:
        """Start a process that does not answer yet."""
        self.answers = False
        self.stubborn = False  # ignores SIGTERM
        self.is_terminating = False


class LifecycleMachine(Machine):
    """Instances whose processes start, answer, crash, hang and exit, and a supervisor that is restarted."""

    def __init__(self, bounds: LifecycleBounds) -> None:
        """Start all instances and, if the scope has one, the rolling restart."""
        super().__init__()
        self.bounds = bounds
        self.remaining = {"faults": bounds.faults, "words": bounds.commands}
        self.now = 100.0
        self.lifecycles = [InstanceLifecycle(POLICY) for _ in range(bounds.instances)]
        self.processes: list[Process | None] = [None] * bounds.instances
        self.crashes: list[list[float]] = [[] for _ in range(bounds.instances)]  # times of unrequested exits
        self.stop_requested = [False] * bounds.instances
        self.hold_released = [False] * bounds.instances
        self.roll = RollingRestart()
        self.journal: dict[str, Any] = {}
        for index in range(bounds.instances):
            self._act(index, self.lifecycles[index].set_should_run(True, self.now))
            self._pass_health_check(index)
        if bounds.roll:
            self.roll.start([str(index) for index in range(bounds.instances)], 1)
            self._advance_roll()

    # -- supervisor --

    def _act(self, index: int, actions: list[Action]) -> None:
        for action in actions:
            if action is Action.START:
                if self.processes[index] is not None:
                    self.report_violation(
                        "one-process", f"instance {index} is started while its process runs"
                    )
                self.processes[index] = Process()
            elif action is Action.TERMINATE:
                process = self.processes[index]
                if process is not None:
                    process.is_terminating = True
            elif action is Action.KILL and self.processes[index] is not None:
                self.processes[index] = None
                self._handle_exit(index, "ended by SIGKILL")
        self.journal[str(index)] = self.lifecycles[index].to_journal(1000.0 + self.now, self.now)
        self._update_roll(index)

    def _update_roll(self, index: int) -> None:
        lifecycle, name = self.lifecycles[index], str(index)
        if name not in self.roll.in_progress:
            return
        if lifecycle.phase is Phase.READY:
            self.roll.mark_ready(name)
        elif lifecycle.phase in (Phase.SUSPENDED, Phase.BACKING_OFF, Phase.STOPPED) or (
            lifecycle.phase in (Phase.STOPPING, Phase.KILLED) and lifecycle.reason != "rolled"
        ):
            self.roll.mark_failed(name, lifecycle.reason)

    def _advance_roll(self) -> None:
        not_ready = {
            str(index)
            for index, lifecycle in enumerate(self.lifecycles)
            if lifecycle.should_run and lifecycle.phase not in (Phase.READY, Phase.SUSPENDED)
        }
        for step in self.roll.next_steps(not_ready):
            self._act(int(step.name), self.lifecycles[int(step.name)].request_restart(self.now, "rolled"))
        unavailable = [
            index
            for index, lifecycle in enumerate(self.lifecycles)
            if lifecycle.reason == "rolled" or (str(index) in self.roll.in_progress)
        ]
        if len(unavailable) > self.roll.max_unavailable:
            self.report_violation(
                "roll-out",
                f"{len(unavailable)} instances are unavailable, the roll allows {self.roll.max_unavailable}",
            )

    def _handle_exit(self, index: int, how: str) -> None:
        self._act(index, self.lifecycles[index].on_exited(how, self.now))

    def _pass_health_check(self, index: int) -> None:
        process = self.processes[index]
        if process is not None:
            process.answers = True
            self._act(index, self.lifecycles[index].on_health_check(True, self.now))

    # -- steps --

    def enabled(self) -> list[str]:
        """Return the steps that are possible in the current state."""
        steps = ["wait"]
        for index, process in enumerate(self.processes):
            if process is not None:
                if not process.answers and not process.is_terminating:
                    steps.append(f"answers {index}")
                if process.is_terminating and not process.stubborn:
                    steps.append(f"ends {index}")
                if self.remaining["faults"]:
                    steps.append(f"crash {index}")
                    if process.answers and not process.is_terminating:
                        steps.append(f"hang {index}")
                    if not process.stubborn:
                        steps.append(f"stubborn {index}")
            if self.remaining["words"]:
                steps += [f"stop {index}", f"start {index}"]
        if self.remaining["faults"]:
            steps.append("supervisor-dies")
        return steps

    def do(self, step: str) -> None:
        """Execute `step` and check the invariants."""
        action, _, argument = step.partition(" ")
        index = int(argument or 0)
        if action in ("crash", "hang", "stubborn", "supervisor-dies"):
            self.remaining["faults"] -= 1
        lifecycle, process = self.lifecycles[index], self.processes[index]
        if action == "wait":
            self.now += STEP_S
            for number, instance in enumerate(self.lifecycles):
                for _ in range(4):  # run everything that is due, one after the other
                    if self.now >= instance.next_deadline():
                        self._act(number, instance.tick(self.now))
            self._check_restarts()
        elif action == "answers":
            self._pass_health_check(index)
        elif action == "ends":
            self.processes[index] = None
            self._handle_exit(index, "ended with 0")
        elif action == "crash":
            self.processes[index] = None
            if process is not None and not process.is_terminating:
                self.crashes[index].append(self.now)
            self._handle_exit(index, "ended by SIGSEGV")
        elif action == "hang" and process is not None:
            process.answers = False
            self.crashes[index].append(self.now)
            self._act(index, lifecycle.on_health_check(False, self.now))
        elif action == "stubborn" and process is not None:
            process.stubborn = True
        elif action in ("stop", "start"):
            self.remaining["words"] -= 1
            self.stop_requested[index] = action == "stop"
            if action == "start":
                self.crashes[index].clear()
            self._act(index, lifecycle.set_should_run(action == "start", self.now))
        elif action == "supervisor-dies":
            self._restart_supervisor()
        self._advance_roll()
        self._check_invariants()

    def _restart_supervisor(self) -> None:
        """Restore a new supervisor from the journal and the run files."""
        roll = self.roll.to_journal()
        for index, before in enumerate(list(self.lifecycles)):
            lifecycle = self.lifecycles[index] = InstanceLifecycle(POLICY)
            lifecycle.restore(self.journal[str(index)], 1000.0 + self.now, self.now)
            process, should_run = self.processes[index], lifecycle.should_run
            if process is not None:
                lifecycle.on_adopted(False, self.now)
                if not should_run:
                    self._act(index, lifecycle.set_should_run(False, self.now))
            elif lifecycle.should_run and lifecycle.phase is Phase.STOPPED:
                self._act(index, lifecycle.set_should_run(True, self.now, "wanted"))
            if before.phase is Phase.SUSPENDED and lifecycle.phase is not Phase.SUSPENDED:
                self.report_violation(
                    "held-is-held", f"instance {index} was suspended, but a new supervisor starts it"
                )
        if self.bounds.roll:
            self.roll = RollingRestart()
            self.roll.restore(roll, {str(index) for index in range(len(self.lifecycles))})

    def _check_restarts(self) -> None:
        for index, lifecycle in enumerate(self.lifecycles):
            recent = [
                crashed_at_s
                for crashed_at_s in self.crashes[index]
                if crashed_at_s > self.now - POLICY.restart_window_s
            ]
            if len(recent) > POLICY.max_restarts + 1:
                self.report_violation(
                    "restarts-bounded", f"instance {index} crashed {len(recent)} times within the window"
                )
            if lifecycle.phase is Phase.STARTING and self.processes[index] is None:
                self.report_violation("one-process", f"instance {index} is starting, but has no process")

    def _check_invariants(self) -> None:
        for index, lifecycle in enumerate(self.lifecycles):
            if lifecycle.phase is Phase.SUSPENDED and self.processes[index] is not None:
                self.report_violation("held-is-held", f"instance {index} is suspended, but its process runs")
            if self.stop_requested[index] and lifecycle.phase in (
                Phase.STARTING,
                Phase.READY,
                Phase.BACKING_OFF,
            ):
                self.report_violation(
                    "stop-stands",
                    f"instance {index} was stopped by an operator, but is {lifecycle.phase.value}",
                )

    def settle(self) -> None:
        """Let time pass without faults; check that requested instances serve and others have exited."""
        for _ in range(40):
            for index, process in enumerate(self.processes):
                if process is None or self.violations:
                    continue
                if process.is_terminating and not process.stubborn:
                    self.processes[index] = None
                    self._handle_exit(index, "ended with 0")
                elif not process.is_terminating:
                    self._pass_health_check(index)
            self._advance_roll()
            self.now += STEP_S
            for number, instance in enumerate(self.lifecycles):
                if self.now >= instance.next_deadline():
                    self._act(number, instance.tick(self.now))
        for index, lifecycle in enumerate(self.lifecycles):
            should_run = not self.stop_requested[index]
            if should_run and lifecycle.phase not in (Phase.READY, Phase.SUSPENDED):
                self.report_violation(
                    "wanted-runs",
                    f"instance {index} should run, but is {lifecycle.phase.value}: {lifecycle.reason}",
                )
            if not should_run and self.processes[index] is not None:
                self.report_violation("stop-stands", f"instance {index} was stopped, but still runs")
        if self.bounds.roll and self.roll.state is RollingState.ROLLING:
            self.report_violation(
                "roll-ends",
                f"the roll waits for {self.roll.in_progress}; {len(self.roll.remaining)} remain",
            )

    def encode(self) -> bytes:
        """Return the state in canonical form; times are relative to now."""
        lifecycles = [
            [
                (
                    name,
                    [round(time_s - self.now, 3) for time_s in value]
                    if name == "_restart_times"
                    else round(min(value - self.now, 1e6), 3)
                    if name in ("_deadline", "phase_since")
                    else canonical_value(value),
                )
                for name, value in sorted(vars(lifecycle).items())
                if name not in ("policy", "phase_since", "restarts")
            ]
            for lifecycle in self.lifecycles
        ]
        lifecycles = [
            [(name, value.value if isinstance(value, Phase) else value) for name, value in lifecycle]
            for lifecycle in lifecycles
        ]
        processes = [
            None if process is None else (process.answers, process.stubborn, process.is_terminating)
            for process in self.processes
        ]
        crashes = [
            [round(time_s - self.now, 3) for time_s in times if time_s > self.now - POLICY.restart_window_s]
            for times in self.crashes
        ]
        return marshal.dumps(
            (
                sorted(self.remaining.items()),
                repr(lifecycles),
                processes,
                crashes,
                self.stop_requested,
                repr(self.roll.to_journal()),
                [
                    (index, entry["wanted"], entry["held"], len(entry["recent"]))
                    for index, entry in sorted(self.journal.items())
                ],
            ),
            2,
        )


def starter(bounds: LeaseBounds | LifecycleBounds) -> Callable[[], LeaseMachine | LifecycleMachine]:
    """Return a factory of machines in their initial state."""
    return (
        partial(LeaseMachine, bounds)
        if isinstance(bounds, LeaseBounds)
        else partial(LifecycleMachine, bounds)
    )


SCOPES: tuple[LeaseBounds | LifecycleBounds, ...] = (*LEASES, *LIFECYCLES)


def by_name(name: str) -> LeaseBounds | LifecycleBounds:
    """Return the scope called `name`; raise KeyError if there is none."""
    for bounds in SCOPES:
        if bounds.name == name:
            return bounds
    raise KeyError(name)
