"""State machine of one connection: connecting, open, partially written, closed.

It runs one real `Channel` on a socket that accepts a limited number of bytes. Commands have three bytes, and
one of them cancels itself when its turn comes.
"""

from __future__ import annotations

import marshal

from stonecove.explore.machine import Violation
from stonecove.protocols.resp import RespError, encode
from stonecove.protocols.upstream_channel import Channel

COMMANDS = ("aaa", "bbb", "-no")  # the last one cancels itself
ANSWER = encode(b"ok")


class OneSocket:
    """A socket that accepts `capacity` bytes, then blocks."""

    def __init__(self) -> None:
        """Start with a capacity of 99 bytes."""
        self.capacity = 99
        self.was_reset = False
        self.ended = False
        self.written = b""

    def send(self, data: bytes | memoryview, /) -> int:
        """Accept as many bytes as the capacity allows."""
        if self.was_reset:
            raise ConnectionResetError("reset")
        count = min(self.capacity, len(data))
        if not count:
            raise BlockingIOError
        self.capacity -= count
        self.written += bytes(data[:count])
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Return end of file if the peer has closed; raise BlockingIOError otherwise."""
        if self.was_reset:
            raise ConnectionResetError("reset")
        if self.ended:
            return b""
        raise BlockingIOError


class OneCommand:
    """A command that records its progress."""

    def __init__(self, machine: ChannelMachine, text: str) -> None:
        """Create a command that waits to be written."""
        self.machine, self.text = machine, text
        self.begin_count = 0
        self.state = "waiting"

    def begin(self) -> bytes | None:
        """Return the bytes to send, or None if the command cancels itself."""
        if self.machine.close_reasons:
            self.machine.report_violation("told-once", f"{self.text} begins on a closed connection")
        self.begin_count += 1
        self.state = "dropped" if self.text == "-no" else "begun"
        return None if self.text == "-no" else self.text.encode()

    def unwritten(self) -> None:
        """Record that no byte of the command was written."""
        if self.text.encode() in self.machine.sock.written:
            self.machine.report_violation(
                "order-kept", f"{self.text} was written, but is reported as unwritten"
            )
        self.state = "waiting"


class ChannelMachine:
    """A single channel, explored by the same search as the router."""

    def __init__(self) -> None:
        """Start with a channel that is connecting."""
        self.violations: list[Violation] = []
        self.sock = OneSocket()
        self.close_reasons: list[str] = []
        self.arrivals = 0
        self.channel = Channel(self, self._clock)
        self.commands: list[OneCommand] = []
        self.reply_is_partial = False
        self.finished = False

    @staticmethod
    def _clock() -> float:
        return 1.0

    def report_violation(self, prop: str, why: str) -> None:
        """Record a violation of property `prop`."""
        self.violations.append(Violation(prop, why))

    def opened(self, connection: Channel) -> None:
        """Ignore the notification that the channel is open."""

    def arrived(self, connection: Channel, array: list[bytes]) -> None:
        """Count a received array."""
        self.arrivals += 1

    def closed(self, connection: Channel, why: str) -> None:
        """Record that the channel has closed; it must be reported once."""
        self.close_reasons.append(why)
        if len(self.close_reasons) > 1:
            self.report_violation("told-once", f"notified {len(self.close_reasons)} times of the close")

    def enabled(self) -> list[str]:
        """Return the steps that are possible in the current state."""
        if self.finished:
            return []
        steps = [f"room {count}" for count in (0, 1, 99) if count != self.sock.capacity]
        if len(self.commands) < len(COMMANDS):
            steps.append("put")
        steps.append("close" if not self.channel.is_closed else "ended")
        if not self.channel.reached:
            return [*steps, "up", "refused", "reset-at-connect"] if not self.channel.is_closed else steps
        if not self.sock.was_reset:
            steps.append("die")
        if not self.sock.ended and not self.sock.was_reset:
            steps.append("end")
            steps += (
                ["answer", "half"]
                if self.arrivals < 2 and not self.reply_is_partial
                else ["rest"]
                if self.reply_is_partial
                else []
            )
        if (self.sock.ended or self.sock.was_reset) and not self.channel.is_closed:
            steps.append("ended")
        if (
            self.channel._write_blocked
            and (self.sock.capacity or self.sock.was_reset)
            and not self.channel.is_closed
        ):
            steps.append("writable")
        return steps

    def do(self, step: str) -> None:
        """Execute `step` and check the invariants."""
        action, _, argument = step.partition(" ")
        self.finished = action in ("refused", "reset-at-connect", "ended")
        if action == "put":
            command = OneCommand(self, COMMANDS[len(self.commands)])
            self.commands.append(command)
            self.channel.enqueue(command)
        elif action == "up":
            self.channel.opened(self.sock)
        elif action in ("refused", "reset-at-connect"):
            self.channel.failed(ConnectionRefusedError() if action == "refused" else ConnectionResetError())
            self.channel.ended()
        elif action == "room":
            self.sock.capacity = int(argument)
        elif action == "die":
            self.sock.was_reset = True
        elif action == "end":
            self.sock.ended = True
        elif action in ("answer", "half", "rest"):
            data = ANSWER[:3] if action == "half" else ANSWER[3:] if action == "rest" else ANSWER
            self.reply_is_partial = action == "half"
            self.channel.buffer.feed(data)
            try:
                self.channel.received()
            except RespError:
                self.report_violation("clean-error", "a legal answer can't be decoded")
        elif action == "writable":
            self.channel.writable()
        elif action == "close":
            self.channel.close()
        elif action == "ended":
            self.channel.ended()
        self._check_invariants()

    def _check_invariants(self) -> None:
        expected = b"".join(command.text.encode() for command in self.commands if command.text != "-no")
        if not expected.startswith(self.sock.written):
            self.report_violation("order-kept", f"written {self.sock.written!r} of {expected!r}")
        for command in self.commands:
            written = command.text.encode()[:1] in self.sock.written
            if command.state == "waiting" and written:
                self.report_violation("order-kept", f"{command.text} is waiting, but was written")

    def touches(self, step: str) -> frozenset[str] | None:
        """Return None: any step may touch the whole state."""
        return None

    def default(self) -> str | None:
        """Return the next step without faults: write on, then close; None if neither is possible."""
        names = self.enabled()
        return next((step for step in ("writable", "close", "ended") if step in names), None)

    def settle(self) -> None:
        """Close the channel and check that the owner was notified."""
        for _ in range(20):
            step = self.default()
            if step is None or self.violations:
                break
            self.do(step)
        if not self.close_reasons:
            self.report_violation("told-once", "the owner was never notified of the close")

    def encode(self) -> bytes:
        """Return the state in canonical form."""
        channel, sock = self.channel, self.sock
        return marshal.dumps(
            (
                sock.capacity,
                sock.was_reset,
                sock.ended,
                sock.written,
                len(self.close_reasons),
                self.arrivals,
                self.reply_is_partial,
                channel.reached,
                channel.is_closed,
                channel._write_blocked,
                bytes(channel._pending_write),
                len(channel._queue),
                channel.partial_reply_at_ms,
                len(channel.buffer),
                tuple((command.state, command.begin_count) for command in self.commands),
            ),
            2,
        )
