"""The machines of the fleet's decisions: shared budgets, and the lives of supervised instances.

Real `Lessor`, `LeaseHolder`, `InstanceLifecycle` and `RollingRestart`; made up are the wire between them, the
processes and the clock.
"""

from __future__ import annotations

import marshal
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from stonecove.explore.coordination import _canon as canon
from stonecove.explore.machine import Violation
from stonecove.fleet.restart import Action, InstanceLifecycle, Phase, RestartPolicy
from stonecove.fleet.rolling import RollingRestart, RollingState
from stonecove.quotas.leases import Grant, LeaseHolder, Lessor
from stonecove.routing.events import LeaseGranted
from stonecove.routing.leased_budget import LeasedBudget

NODE, WINDOW, RULE, OWN, PIECE, LIFE = 7, 4.0, 10.0, 0.3, 0.5, 0.25
TICK, JUMP = 0.5, 1.5  # half the life of a piece, and one and a half
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
STEP = 1.0


class LeaseBounds(NamedTuple):
    """How much of what may happen."""

    name: str
    depth: int
    faults: int = 0
    holders: int = 2
    flying: int = 2  # answers that may be under way
    fault_kinds: tuple[str, ...] = ("lose", "repeat", "kill", "lessor-dies", "clock-back")
    credit: bool = False  # pieces are handed to the module, which goes by the system's clock


class LifeBounds(NamedTuple):
    """How much of what may happen."""

    name: str
    depth: int
    faults: int = 0
    words: int = 0  # of the operator
    instances: int = 1
    roll: bool = False


LEASES = (
    LeaseBounds("lease-two", 7, faults=1),
    LeaseBounds("lease-late", 9, faults=1, holders=1, fault_kinds=("repeat", "lose")),
    LeaseBounds("lease-clock", 12, faults=1, holders=1, flying=0, fault_kinds=("clock-back", "lessor-dies")),
    LeaseBounds("lease-credit", 11, faults=1, holders=1, flying=0, fault_kinds=("unix-back",), credit=True),
)
LIVES = (
    LifeBounds("life-one", 10, faults=3, words=2),
    LifeBounds("life-roll", 10, faults=2, instances=2, roll=True),
)


class Machine:
    """What both machines share."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []

    def broken(self, prop: str, why: str) -> None:
        """Notes a violation."""
        self.violations.append(Violation(prop, why))

    def touches(self, step: str) -> frozenset[str] | None:
        """Everything touches everything here."""
        return None

    def default(self) -> str | None:
        """Nothing goes on by itself but time."""
        return None


class LeaseMachine(Machine):
    """One lessor, some holders, answers that may be late, lost or repeated."""

    def __init__(self, bounds: LeaseBounds) -> None:
        super().__init__()
        self.bounds = bounds
        self.faults = bounds.faults
        self.true = 100.0  # the time that really passes
        self.offset = 0.0  # of the clock that everybody reads
        self.lessor = Lessor(WINDOW, self.true - 2 * WINDOW, OWN, PIECE, LIFE)
        self.holders = [LeaseHolder(self.lessor.lifetime_s) for _ in range(bounds.holders)]
        self.names = [f"h{place}" for place in range(bounds.holders)]
        self.flying: list[tuple[int, int, Grant]] = []  # to which holder, since when it is that one, what
        self.lives = [0] * bounds.holders
        self.spent: list[tuple[float, float]] = []
        self.unix = 0.0  # what the system's clock is ahead of the steady one
        self.credits = [LeasedBudget() for _ in range(bounds.holders)]
        self.ends: list[tuple[float, int, int]] = []  # true moments at which the module is told of an end
        self.back: set[tuple[int, int]] = set()  # pieces given back
        self.lessor.set_limit(NODE, RULE, self.now)

    @property
    def now(self) -> float:
        """What the clock says."""
        return self.true + self.offset

    def enabled(self) -> list[str]:
        """What may happen now."""
        steps = ["tick", "jump"]
        for place, holder in enumerate(self.holders):
            steps.append(f"take {place}")
            if len(self.flying) < self.bounds.flying:
                steps.append(f"ask {place}")
            if (
                holder.unspent_work(NODE, self.now) > 0
                or holder._leases
                or self.credits[place].leases.get(NODE)
            ):
                steps.append(f"spend {place}")
        steps += [f"answer {number}" for number in range(len(self.flying))]
        if self.faults:
            kinds = self.bounds.fault_kinds
            for kind in ("lose", "repeat"):
                if kind in kinds:
                    steps += [f"{kind} {number}" for number in range(len(self.flying))]
            if "kill" in kinds:
                steps += [f"kill {place}" for place in range(len(self.holders))]
            steps += [kind for kind in ("lessor-dies", "clock-back", "unix-back") if kind in kinds]
        return steps

    def do(self, step: str) -> None:
        """Takes a step."""
        word, _, rest = step.partition(" ")
        place = int(rest or 0)
        if word in ("lose", "repeat", "kill", "lessor-dies", "clock-back", "unix-back"):
            self.faults -= 1
        if word in ("tick", "jump"):
            self.true += TICK if word == "tick" else JUMP
            self.lessor.set_limit(NODE, RULE, self.now)
            self._tell_ends()
            for number, holder in enumerate(self.holders):
                for returned, unspent in holder.pop_expired(self.now):
                    self.lessor.return_lease(self.names[number], returned, unspent, self.now)
        elif word in ("ask", "take"):
            asked = self.holders[place].begin_request(NODE, self.now)
            if asked is not None:
                grant = self.lessor.request_lease(self.names[place], asked, NODE, self.now)
                if grant is None:
                    self.holders[place].end_request(asked)
                elif word == "take":
                    self._granted(place, grant)
                else:
                    self.flying.append((place, self.lives[place], grant))
        elif word in ("answer", "repeat"):
            to, life, grant = self.flying[place] if word == "repeat" else self.flying.pop(place)
            if life == self.lives[to]:
                self._granted(to, grant)
        elif word == "lose":
            self.flying.pop(place)
        elif word == "spend" and self.bounds.credit:
            credit = self.credits[place]
            work = credit.remaining(self.now + self.unix, NODE)
            if work > 0 and credit.spend(self.now + self.unix, NODE, work):
                self.spent.append((self.true, work))
            self._give_back(place)
        elif word == "spend":
            left = self.holders[place].unspent_work(NODE, self.now)
            work = left if left > 0 else (1.0 - OWN) * RULE * PIECE
            if self.holders[place].spend(NODE, work, self.now):
                self.spent.append((self.true, work))
        elif word == "kill":
            self.lessor.remove_holder(self.names[place])
            self.lives[place] += 1
            self.holders[place] = LeaseHolder(self.lessor.lifetime_s)
            self.names[place] = f"h{place}-{self.lives[place]}"
        elif word == "lessor-dies":
            self.lessor = Lessor(WINDOW, self.now, OWN, PIECE, LIFE)
            self.lessor.set_limit(NODE, RULE, self.now)
        elif word == "clock-back":
            self.offset -= 3.0
        elif word == "unix-back":
            self.unix -= 3.0
        self._look()

    def _granted(self, place: int, grant: Grant) -> None:
        """As `lifecycle.leases` does: what is granted goes to the module at once, and its end in time."""
        if self.holders[place].accept_grant(grant, self.now) and self.bounds.credit:
            for number, left, until in self.holders[place].pop_leases(NODE):
                self.credits[place].grant(
                    self.now + self.unix, LeaseGranted(number, NODE, left, until + self.unix)
                )
                self.ends.append((self.true + until - self.now, place, number))
                self._give_back(place)

    def _tell_ends(self) -> None:
        for _, place, number in [end for end in self.ends if end[0] <= self.true]:
            self.credits[place].grant(self.now + self.unix, LeaseGranted(number, NODE, 0.0, 0.0))
            self._give_back(place)
        self.ends = [end for end in self.ends if end[0] > self.true]

    def _give_back(self, place: int) -> None:
        """What is left of pieces goes back to the lessor, each once."""
        credit = self.credits[place]
        for unspent in credit.returned:
            if (place, unspent.lease_id) in self.back:
                self.broken("lease-once", f"piece {unspent.lease_id} was given back twice")
            self.back.add((place, unspent.lease_id))
            self.lessor.return_lease(self.names[place], unspent.lease_id, unspent.work_ms, self.now)
        credit.returned.clear()

    def _look(self) -> None:
        self.spent = [one for one in self.spent if one[0] > self.true - WINDOW]
        total = sum(work for _, work in self.spent)
        if total > (1.0 - OWN) * RULE + 1e-9:
            self.broken(
                "lease-sum", f"{total:g} of pieces were spent within one window, {(1 - OWN) * RULE:g} allowed"
            )

    def settle(self) -> None:
        """After a window in which nobody asks, the whole budget is there again."""
        for holder in self.holders:
            holder.pop_expired(self.now + 100)
        self.ends.clear()
        self.true += 3 * WINDOW
        self.lessor.set_limit(NODE, RULE, self.now)
        self.true += WINDOW + 2 * self.lessor.lifetime_s
        self.lessor.set_limit(NODE, RULE, self.now)
        if self.lessor.booked_work(NODE, self.now) > 1e-9:
            self.broken("lease-back", "what was granted long ago is still booked")
        elif self.lessor.request_lease("new", 1, NODE, self.now) is None:
            self.broken("lease-back", "nothing is granted though nothing is out")

    def encode(self) -> bytes:
        """The state, times told from now on."""

        def rel(at: float) -> float:
            return round(at - self.now, 6)

        def number(holder: str, asked: int) -> tuple[str, int]:
            """Questions are told by how long ago they were asked; those of the dead are all alike."""
            if holder in self.names:
                place = self.names.index(holder)
                return f"h{place}", self.holders[place]._last_number - asked
            return "dead", 0

        accounts = [
            (
                one.limit,
                round(one.booked_work, 6),
                [(rel(b.booked_at_s), number(b.holder, b.number), round(b.work, 6)) for b in one.grants],
            )
            for one in self.lessor._accounts.values()
        ]
        holders = [
            (
                [(h._last_number - n, rel(at)) for n, (_, at) in sorted(h._requests.items())],
                sorted(h._last_number - n for n in h._pending_numbers.values()),
                [(round(p.unspent, 6), rel(p.expires_at_s)) for pieces in h._leases.values() for p in pieces],
                len(h._expired),
            )
            for h in self.holders
        ]
        answers = sorted(
            number(holder, asked) for holder, given in self.lessor._grants.items() for asked in given
        )
        return marshal.dumps(
            (
                self.faults,
                accounts,
                rel(max(self.lessor._no_grants_until_s, self.now)),
                answers,
                holders,
                [
                    (to, life == self.lives[to], self.holders[to]._last_number - grant.number)
                    for to, life, grant in self.flying
                ],
                sorted((round(at - self.true, 6), round(work, 6)) for at, work in self.spent),
                [
                    [
                        (
                            self.holders[place]._last_number - key,
                            rel(lease.expires_at_ms - self.unix),
                            round(lease.remaining_ms, 6),
                        )
                        for key, lease in sorted(credit.leases.get(NODE, {}).items())
                    ]
                    for place, credit in enumerate(self.credits)
                ],
                sorted(
                    (round(at - self.true, 6), place, self.holders[place]._last_number - key)
                    for at, place, key in self.ends
                ),
                sorted((place, self.holders[place]._last_number - key) for place, key in self.back),
            ),
            2,
        )


class Process:
    """A process as the machine has it."""

    def __init__(self) -> None:
        self.answers = False
        self.stubborn = False  # ignores SIGTERM
        self.asked = False


class LifeMachine(Machine):
    """Instances whose processes start, answer, crash, hang and end; a supervisor that dies and is started
    again.
    """

    def __init__(self, bounds: LifeBounds) -> None:
        super().__init__()
        self.bounds = bounds
        self.left = {"faults": bounds.faults, "words": bounds.words}
        self.now = 100.0
        self.units = [InstanceLifecycle(POLICY) for _ in range(bounds.instances)]
        self.processes: list[Process | None] = [None] * bounds.instances
        self.crashes: list[list[float]] = [[] for _ in range(bounds.instances)]  # ends that nobody asked for
        self.said_stop = [False] * bounds.instances
        self.hold_released = [False] * bounds.instances
        self.roll = RollingRestart()
        self.journal: dict[str, Any] = {}
        for place in range(bounds.instances):
            self._act(place, self.units[place].set_should_run(True, self.now))
            self._answers(place)
        if bounds.roll:
            self.roll.start([str(place) for place in range(bounds.instances)], 1)
            self._roll_on()

    # -- what the supervisor does --

    def _act(self, place: int, steps: list[Action]) -> None:
        for step in steps:
            if step is Action.START:
                if self.processes[place] is not None:
                    self.broken("one-process", f"instance {place} is started while its process runs")
                self.processes[place] = Process()
            elif step is Action.TERMINATE:
                process = self.processes[place]
                if process is not None:
                    process.asked = True
            elif step is Action.KILL and self.processes[place] is not None:
                self.processes[place] = None
                self._exited(place, "ended by SIGKILL")
        self.journal[str(place)] = self.units[place].to_journal(1000.0 + self.now, self.now)
        self._seen(place)

    def _seen(self, place: int) -> None:
        unit, name = self.units[place], str(place)
        if name not in self.roll.in_progress:
            return
        if unit.phase is Phase.READY:
            self.roll.mark_ready(name)
        elif unit.phase in (Phase.SUSPENDED, Phase.BACKING_OFF, Phase.STOPPED) or (
            unit.phase in (Phase.STOPPING, Phase.KILLED) and unit.reason != "rolled"
        ):
            self.roll.mark_failed(name, unit.reason)

    def _roll_on(self) -> None:
        not_ready = {
            str(place)
            for place, unit in enumerate(self.units)
            if unit.should_run and unit.phase not in (Phase.READY, Phase.SUSPENDED)
        }
        for step in self.roll.next_steps(not_ready):
            self._act(int(step.name), self.units[int(step.name)].request_restart(self.now, "rolled"))
        out = [
            place
            for place, unit in enumerate(self.units)
            if unit.reason == "rolled" or (str(place) in self.roll.in_progress)
        ]
        if len(out) > self.roll.max_unavailable:
            self.broken("roll-out", f"{len(out)} are taken out by a roll of {self.roll.max_unavailable}")

    def _exited(self, place: int, how: str) -> None:
        self._act(place, self.units[place].on_exited(how, self.now))

    def _answers(self, place: int) -> None:
        process = self.processes[place]
        if process is not None:
            process.answers = True
            self._act(place, self.units[place].on_health_check(True, self.now))

    # -- steps --

    def enabled(self) -> list[str]:
        """What may happen now."""
        steps = ["wait"]
        for place, process in enumerate(self.processes):
            if process is not None:
                if not process.answers and not process.asked:
                    steps.append(f"answers {place}")
                if process.asked and not process.stubborn:
                    steps.append(f"ends {place}")
                if self.left["faults"]:
                    steps.append(f"crash {place}")
                    if process.answers and not process.asked:
                        steps.append(f"hang {place}")
                    if not process.stubborn:
                        steps.append(f"stubborn {place}")
            if self.left["words"]:
                steps += [f"stop {place}", f"start {place}"]
        if self.left["faults"]:
            steps.append("supervisor-dies")
        return steps

    def do(self, step: str) -> None:
        """Takes a step."""
        word, _, rest = step.partition(" ")
        place = int(rest or 0)
        if word in ("crash", "hang", "stubborn", "supervisor-dies"):
            self.left["faults"] -= 1
        unit, process = self.units[place], self.processes[place]
        if word == "wait":
            self.now += STEP
            for number, one in enumerate(self.units):
                for _ in range(4):  # what has fallen due by now, one after the other
                    if self.now >= one.next_deadline():
                        self._act(number, one.tick(self.now))
            self._count()
        elif word == "answers":
            self._answers(place)
        elif word == "ends":
            self.processes[place] = None
            self._exited(place, "ended with 0")
        elif word == "crash":
            self.processes[place] = None
            if process is not None and not process.asked:
                self.crashes[place].append(self.now)
            self._exited(place, "ended by SIGSEGV")
        elif word == "hang" and process is not None:
            process.answers = False
            self.crashes[place].append(self.now)
            self._act(place, unit.on_health_check(False, self.now))
        elif word == "stubborn" and process is not None:
            process.stubborn = True
        elif word in ("stop", "start"):
            self.left["words"] -= 1
            self.said_stop[place] = word == "stop"
            if word == "start":
                self.crashes[place].clear()
            self._act(place, unit.set_should_run(word == "start", self.now))
        elif word == "supervisor-dies":
            self._again()
        self._roll_on()
        self._look()

    def _again(self) -> None:
        """A new supervisor: by journal and run files."""
        roll = self.roll.to_journal()
        for place, before in enumerate(list(self.units)):
            unit = self.units[place] = InstanceLifecycle(POLICY)
            unit.restore(self.journal[str(place)], 1000.0 + self.now, self.now)
            process, wanted = self.processes[place], unit.should_run
            if process is not None:
                unit.on_adopted(False, self.now)
                if not wanted:
                    self._act(place, unit.set_should_run(False, self.now))
            elif unit.should_run and unit.phase is Phase.STOPPED:
                self._act(place, unit.set_should_run(True, self.now, "wanted"))
            if before.phase is Phase.SUSPENDED and unit.phase is not Phase.SUSPENDED:
                self.broken("held-is-held", f"instance {place} was held, and a new supervisor starts it")
        if self.bounds.roll:
            self.roll = RollingRestart()
            self.roll.restore(roll, {str(place) for place in range(len(self.units))})

    def _count(self) -> None:
        for place, unit in enumerate(self.units):
            recent = [at for at in self.crashes[place] if at > self.now - POLICY.restart_window_s]
            if len(recent) > POLICY.max_restarts + 1:
                self.broken(
                    "restarts-bounded", f"instance {place} crashed {len(recent)} times within the window"
                )
            if unit.phase is Phase.STARTING and self.processes[place] is None:
                self.broken("one-process", f"instance {place} is starting, and has no process")

    def _look(self) -> None:
        for place, unit in enumerate(self.units):
            if unit.phase is Phase.SUSPENDED and self.processes[place] is not None:
                self.broken("held-is-held", f"instance {place} is held, and runs")
            if self.said_stop[place] and unit.phase in (Phase.STARTING, Phase.READY, Phase.BACKING_OFF):
                self.broken(
                    "stop-stands", f"instance {place} was stopped by an operator, and is {unit.phase.value}"
                )

    def settle(self) -> None:
        """Time passes, and processes do as they should: wanted ones serve, others have ended."""
        for _ in range(40):
            for place, process in enumerate(self.processes):
                if process is None or self.violations:
                    continue
                if process.asked and not process.stubborn:
                    self.processes[place] = None
                    self._exited(place, "ended with 0")
                elif not process.asked:
                    self._answers(place)
            self._roll_on()
            self.now += STEP
            for number, one in enumerate(self.units):
                if self.now >= one.next_deadline():
                    self._act(number, one.tick(self.now))
        for place, unit in enumerate(self.units):
            wanted = not self.said_stop[place]
            if wanted and unit.phase not in (Phase.READY, Phase.SUSPENDED):
                self.broken(
                    "wanted-runs", f"instance {place} is wanted, and is {unit.phase.value}: {unit.reason}"
                )
            if not wanted and self.processes[place] is not None:
                self.broken("stop-stands", f"instance {place} was stopped, and still runs")
        if self.bounds.roll and self.roll.state is RollingState.ROLLING:
            self.broken(
                "roll-ends",
                f"the roll waits for {self.roll.in_progress}, {len(self.roll.remaining)} are left",
            )

    def encode(self) -> bytes:
        """The state, times told from now on."""
        units = [
            [
                (
                    name,
                    [round(at - self.now, 3) for at in value]
                    if name == "_restart_times"
                    else round(min(value - self.now, 1e6), 3)
                    if name in ("_deadline", "phase_since")
                    else canon(value),
                )
                for name, value in sorted(vars(unit).items())
                if name not in ("policy", "phase_since", "restarts")
            ]
            for unit in self.units
        ]
        units = [
            [(name, value.value if isinstance(value, Phase) else value) for name, value in unit]
            for unit in units
        ]
        processes = [
            None if one is None else (one.answers, one.stubborn, one.asked) for one in self.processes
        ]
        crashes = [
            [round(at - self.now, 3) for at in all_of if at > self.now - POLICY.restart_window_s]
            for all_of in self.crashes
        ]
        return marshal.dumps(
            (
                sorted(self.left.items()),
                repr(units),
                processes,
                crashes,
                self.said_stop,
                repr(self.roll.to_journal()),
                [
                    (place, kept["wanted"], kept["held"], len(kept["recent"]))
                    for place, kept in sorted(self.journal.items())
                ],
            ),
            2,
        )


def starter(bounds: LeaseBounds | LifeBounds) -> Callable[[], LeaseMachine | LifeMachine]:
    """What starts a machine."""
    return partial(LeaseMachine, bounds) if isinstance(bounds, LeaseBounds) else partial(LifeMachine, bounds)


SCOPES: tuple[LeaseBounds | LifeBounds, ...] = (*LEASES, *LIVES)


def by_name(name: str) -> LeaseBounds | LifeBounds:
    """The scope of that name; raises KeyError."""
    for bounds in SCOPES:
        if bounds.name == name:
            return bounds
    raise KeyError(name)
