"""The smaller machine of a connection's own life: connecting, up, half written, over.

One real `Channel` with a socket that takes as many bytes as it is told to. Commands are of three bytes, and
one of them decides at its turn that it does not go.
"""

from __future__ import annotations

import marshal

from stonecove.explore.machine import Violation
from stonecove.protocols.resp import RespError, encode
from stonecove.protocols.upstream_channel import Channel

COMMANDS = ("aaa", "bbb", "-no")  # the last one does not go
ANSWER = encode(b"ok")


class OneSocket:
    """Takes `room` bytes, then none."""

    def __init__(self) -> None:
        self.room = 99
        self.dead = False
        self.ended = False
        self.taken = b""

    def send(self, data: bytes | memoryview, /) -> int:
        """Takes what there is room for."""
        if self.dead:
            raise ConnectionResetError("reset")
        count = min(self.room, len(data))
        if not count:
            raise BlockingIOError
        self.room -= count
        self.taken += bytes(data[:count])
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """The end, if it has come."""
        if self.dead:
            raise ConnectionResetError("reset")
        if self.ended:
            return b""
        raise BlockingIOError


class OneCommand:
    """A command that notes what becomes of it."""

    def __init__(self, machine: ChannelMachine, text: str) -> None:
        self.machine, self.text = machine, text
        self.begun = 0
        self.state = "waiting"

    def begin(self) -> bytes | None:
        """Its bytes, unless it does not go."""
        if self.machine.told:
            self.machine.broken("told-once", f"{self.text} begins on a connection that is over")
        self.begun += 1
        self.state = "dropped" if self.text == "-no" else "begun"
        return None if self.text == "-no" else self.text.encode()

    def unwritten(self) -> None:
        """Not a byte went out."""
        if self.text.encode() in self.machine.sock.taken:
            self.machine.broken("order-kept", f"{self.text} was written, and is told as unwritten")
        self.state = "waiting"


class ChannelMachine:
    """A channel, explored by the same search as the router."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.sock = OneSocket()
        self.told: list[str] = []
        self.arrivals = 0
        self.channel = Channel(self, self._clock)
        self.commands: list[OneCommand] = []
        self.half = False
        self.finished = False

    @staticmethod
    def _clock() -> float:
        return 1.0

    def broken(self, prop: str, why: str) -> None:
        """Notes a violation."""
        self.violations.append(Violation(prop, why))

    def opened(self, connection: Channel) -> None:
        """It is up."""

    def arrived(self, connection: Channel, array: list[bytes]) -> None:
        """An array came in."""
        self.arrivals += 1

    def closed(self, connection: Channel, why: str) -> None:
        """The channel is over."""
        self.told.append(why)
        if len(self.told) > 1:
            self.broken("told-once", f"told {len(self.told)} times of the end")

    def enabled(self) -> list[str]:
        """What may happen now."""
        if self.finished:
            return []
        steps = [f"room {count}" for count in (0, 1, 99) if count != self.sock.room]
        if len(self.commands) < len(COMMANDS):
            steps.append("put")
        steps.append("close" if not self.channel.is_closed else "ended")
        if not self.channel.reached:
            return [*steps, "up", "refused", "reset-at-connect"] if not self.channel.is_closed else steps
        if not self.sock.dead:
            steps.append("die")
        if not self.sock.ended and not self.sock.dead:
            steps.append("end")
            steps += (
                ["answer", "half"] if self.arrivals < 2 and not self.half else ["rest"] if self.half else []
            )
        if (self.sock.ended or self.sock.dead) and not self.channel.is_closed:
            steps.append("ended")
        if self.channel._write_blocked and (self.sock.room or self.sock.dead) and not self.channel.is_closed:
            steps.append("writable")
        return steps

    def do(self, step: str) -> None:
        """Takes a step."""
        word, _, rest = step.partition(" ")
        self.finished = word in ("refused", "reset-at-connect", "ended")
        if word == "put":
            command = OneCommand(self, COMMANDS[len(self.commands)])
            self.commands.append(command)
            self.channel.enqueue(command)
        elif word == "up":
            self.channel.opened(self.sock)
        elif word in ("refused", "reset-at-connect"):
            self.channel.failed(ConnectionRefusedError() if word == "refused" else ConnectionResetError())
            self.channel.ended()
        elif word == "room":
            self.sock.room = int(rest)
        elif word == "die":
            self.sock.dead = True
        elif word == "end":
            self.sock.ended = True
        elif word in ("answer", "half", "rest"):
            data = ANSWER[:3] if word == "half" else ANSWER[3:] if word == "rest" else ANSWER
            self.half = word == "half"
            self.channel.buffer.feed(data)
            try:
                self.channel.received()
            except RespError:
                self.broken("clean-error", "a legal answer can't be read")
        elif word == "writable":
            self.channel.writable()
        elif word == "close":
            self.channel.close()
        elif word == "ended":
            self.channel.ended()
        self._look()

    def _look(self) -> None:
        expected = b"".join(command.text.encode() for command in self.commands if command.text != "-no")
        if not expected.startswith(self.sock.taken):
            self.broken("order-kept", f"written {self.sock.taken!r} of {expected!r}")
        for command in self.commands:
            written = command.text.encode()[:1] in self.sock.taken
            if command.state == "waiting" and written:
                self.broken("order-kept", f"{command.text} waits, and was written")

    def touches(self, step: str) -> frozenset[str] | None:
        """Everything touches everything here."""
        return None

    def default(self) -> str | None:
        """Writing goes on, then the channel is closed."""
        names = self.enabled()
        return next((step for step in ("writable", "close", "ended") if step in names), None)

    def settle(self) -> None:
        """Closes, and checks that the end was told."""
        for _ in range(20):
            step = self.default()
            if step is None or self.violations:
                break
            self.do(step)
        if not self.told:
            self.broken("told-once", "the end was never told")

    def encode(self) -> bytes:
        """The state."""
        channel, sock = self.channel, self.sock
        return marshal.dumps(
            (
                sock.room,
                sock.dead,
                sock.ended,
                sock.taken,
                len(self.told),
                self.arrivals,
                self.half,
                channel.reached,
                channel.is_closed,
                channel._write_blocked,
                bytes(channel._pending_write),
                len(channel._queue),
                channel.partial_reply_at_ms,
                len(channel.buffer),
                tuple((command.state, command.begun) for command in self.commands),
            ),
            2,
        )
