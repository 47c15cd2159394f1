"""Check of the codecs: a stream must decode the same however it is split.

Streams of up to `MAX_EXHAUSTIVE_BYTES` bytes are split in all 2 ** (n - 1) ways, longer ones at every single
offset, at every pair of offsets, and byte by byte. Illegal streams are the legal ones with each byte changed,
truncated at each offset, and some written by hand: each split must give the same result, and only the codec's
own error may be raised.
"""

from __future__ import annotations

import itertools
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from stonecove.explore.machine import Violation
from stonecove.explore.search import Found
from stonecove.protocols import resp
from stonecove.protocols.buffer import Buffer, BufferFullError
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.state.budget import MemoryBudget

MAX_EXHAUSTIVE_BYTES = 12
MAX_UNREAD_BYTES = 1 << 20
REPLACEMENT_BYTES = (0x00, 0x01, 0x0A, 0x0D, 0x24, 0x2A, 0x30, 0x39, 0x7F, 0xFF)

Outcome = tuple[tuple[str, ...], str]  # decoded items, and the error that ended decoding


@dataclass
class Cuts:
    """Number of streams and splits that were decoded, and the violations."""

    streams: int = 0
    cuts: int = 0
    found: list[Found] = field(default_factory=list)


def cuts_of(size: int, short: bool) -> Iterator[tuple[int, ...]]:
    """Yield ways to split `size` bytes: all, or at one and (unless `short`) two offsets."""
    if size <= MAX_EXHAUSTIVE_BYTES:
        for count in range(size):
            yield from itertools.combinations(range(1, size), count)
        return
    yield ()
    yield tuple(range(1, size))
    yield from ((offset,) for offset in range(1, size))
    if not short:
        yield from itertools.combinations(range(1, size), 2)


def pieces(data: bytes, cut: tuple[int, ...]) -> Iterator[bytes]:
    """Yield the bytes between the split offsets."""
    for begin, end in itertools.pairwise((0, *cut, len(data))):
        yield data[begin:end]


def play_resp(parts: Iterator[bytes]) -> Outcome:
    """Decode the pieces as RESP and return the outcome."""
    buffer, decoder, decoded = Buffer(MAX_UNREAD_BYTES), resp.Decoder(), []
    try:
        for part in parts:
            buffer.feed(part)
            for array in decoder.arrays(buffer):
                decoded.append(repr(array))
            if len(buffer) > max(resp.MAX_LENGTH_LINE_BYTES, decoder._bulk_length + 2) + len(part):
                return (*decoded,), "held too much"
    except (resp.RespError, BufferFullError) as error:
        return (*decoded,), type(error).__name__
    return (*decoded,), ""


def play_fastcgi(parts: Iterator[bytes]) -> Outcome:
    """Decode the pieces as FastCGI; the memory budget must be released at the end."""
    budget = MemoryBudget()
    budget.limit_bytes = 4e5
    buffer, decoder, decoded = Buffer(MAX_UNREAD_BYTES), fastcgi.Decoder(budget, lambda: 1.0), []
    error = ""
    try:
        for part in parts:
            buffer.feed(part)
            for event in decoder.events(buffer):
                decoded.append(repr(event))
            if any(
                request.size() > fastcgi.MAX_PARAMS_BYTES + fastcgi.MAX_BODY_BYTES
                for request in decoder._incoming.values()
            ):
                error = "held too much"
                break
    except (fastcgi.FastCgiError, BufferFullError) as problem:
        error = type(problem).__name__
    decoder.close()
    if budget._incomplete_bytes:
        error += f" and {budget._incomplete_bytes} bytes kept"
    return (*decoded, f"open {sorted(decoder.open)} away {decoder.rejected_in_a_row}"), error


def _begin(request_id: int, role: int = 1, flags: int = 1) -> bytes:
    return fastcgi.record(fastcgi.BEGIN, request_id, struct.pack(">HB5x", role, flags))


def _padded(kind: int, request_id: int, content: bytes, padding: int) -> bytes:
    return struct.pack(">BBHHBB", 1, kind, request_id, len(content), padding, 0) + content + b"\xee" * padding


def legal_resp() -> list[bytes]:
    """Return short legal RESP streams."""
    return [
        resp.encode(b""),
        resp.encode(b"a"),
        resp.encode(b"\r\n"),
        resp.encode(b"a", b"bc"),
        resp.encode(b"") + resp.encode(b"x"),
        resp.encode(b"0" * 16, b"200", b"tell=hit", b"body"),
    ]


def illegal_resp() -> list[bytes]:
    """Return hand-written illegal RESP streams."""
    return [
        b"*0\r\n",
        b"*17\r\n",
        b"*1\r\n$999999\r\n",
        b"*1\r\n$1\r\nab\r\n",
        b"*1\r\n$-1\r\n",
        b"+OK\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n$" + b"0" * 4000 + b"\r\n",
        b"\r\n\r\n",
        b"* 1\r\n$1\r\na\r\n",
    ]


def legal_fastcgi() -> list[bytes]:
    """Return short legal FastCGI streams."""
    pair = b"\x01\x01ab"
    complete = (
        _begin(1)
        + fastcgi.record(fastcgi.PARAMS, 1, pair)
        + fastcgi.record(fastcgi.PARAMS, 1)
        + fastcgi.record(fastcgi.STDIN, 1)
    )
    return [
        _begin(1)[:8],
        complete,
        complete + fastcgi.record(fastcgi.ABORT, 1),
        _begin(2, 3),
        fastcgi.record(fastcgi.GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS"),
        _begin(1)
        + _padded(fastcgi.PARAMS, 1, pair, 3)
        + fastcgi.record(fastcgi.PARAMS, 1)
        + _padded(fastcgi.STDIN, 1, b"xy", 5)
        + fastcgi.record(fastcgi.STDIN, 1),
        _begin(1) + fastcgi.record(fastcgi.ABORT, 1),
    ]


def illegal_fastcgi() -> list[bytes]:
    """Return hand-written illegal FastCGI streams."""
    body = b"".join(fastcgi.record(fastcgi.STDIN, 1, b"z" * 60_000) for _ in range(3))
    return [
        fastcgi.record(fastcgi.BEGIN, 1, b"\0\1"),
        _begin(1) + _begin(1),
        b"\x02" + _begin(1)[1:],
        _begin(1)
        + fastcgi.record(fastcgi.PARAMS, 1, b"\x05\x05ab")
        + fastcgi.record(fastcgi.PARAMS, 1)
        + fastcgi.record(fastcgi.STDIN, 1),
        fastcgi.record(fastcgi.GET_VALUES, 0, b"\x85"),
        fastcgi.record(77, 0, b"?"),
        _begin(1) + fastcgi.record(fastcgi.PARAMS, 1) + body,
    ]


def mutations(data: bytes) -> Iterator[bytes]:
    """Yield the stream truncated at each offset, and with each byte changed."""
    for offset in range(len(data)):
        yield data[:offset]
        for value in REPLACEMENT_BYTES:
            if data[offset] != value:
                yield data[:offset] + bytes((value,)) + data[offset + 1 :]


def _check(
    name: str,
    data: bytes,
    play: Callable[[Iterator[bytes]], Outcome],
    cuts: Iterator[tuple[int, ...]],
    done: Cuts,
    legal: bool = False,
) -> None:
    done.streams += 1
    expected: Outcome | None = None
    for cut in cuts:
        done.cuts += 1
        try:
            outcome = play(pieces(data, cut))
        except Exception as error:
            done.found.append(
                Found(
                    (name, data.hex()[:200], str(cut)[:80]),
                    Violation("clean-error", f"{type(error).__name__}: {error}"),
                )
            )
            return
        if "kept" in outcome[1] or "too much" in outcome[1]:
            done.found.append(
                Found((name, data.hex()[:200], str(cut)[:80]), Violation("bounded", outcome[1]))
            )
            return
        expected = expected or outcome
        if legal and outcome[1]:
            done.found.append(
                Found((name, data.hex()[:200], str(cut)[:80]), Violation("legal-read", outcome[1]))
            )
            return
        if outcome != expected:
            done.found.append(
                Found(
                    (name, data.hex()[:200], str(cut)[:80]),
                    Violation("same-split", f"{outcome!r}, uncut {expected!r}"[:300]),
                )
            )
            return


def check(short: bool = False) -> Cuts:
    """Decode all streams of both codecs in all splits; `short` limits the splits of long ones."""
    done = Cuts()
    for name, legal, illegal, play in (
        ("resp", legal_resp(), illegal_resp(), play_resp),
        ("fastcgi", legal_fastcgi(), illegal_fastcgi(), play_fastcgi),
    ):
        for data in legal:
            _check(name, data, play, cuts_of(len(data), short and len(data) > 40), done, True)
            for mutated in mutations(data):
                half = len(mutated) // 2
                _check(
                    f"{name}, changed",
                    mutated,
                    play,
                    iter(((), tuple(range(1, len(mutated))), (half,)[:half])),
                    done,
                )
        for data in illegal:
            basic_cuts = iter(((), tuple(range(1, len(data)))))
            _check(
                f"{name}, illegal",
                data,
                play,
                cuts_of(len(data), True) if len(data) <= 200 else basic_cuts,
                done,
            )
    return done
