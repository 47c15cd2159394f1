"""Pieces that a director holds of what many share, and spends by itself between two words of the lessor."""

from __future__ import annotations

import math

from stonecove.routing.events import NodeId, Piece, Unspent


class LeasedCredit:
    """Pieces of what the directors of a host share; each is spent once, and not after it has expired."""

    def __init__(self) -> None:
        self.pieces: dict[NodeId, dict[int, list[float]]] = {}  # by node and number: until when, what is left
        self.over: list[Unspent] = []

    def add(self, now: float, piece: Piece) -> None:
        """Takes a piece, or the word that one is over."""
        held = self.pieces.setdefault(piece.node, {})
        held.setdefault(piece.number, [piece.until, piece.work])
        if piece.work <= 0:
            held[piece.number][0] = -math.inf
        self.left(now, piece.node)

    def left(self, now: float, node: NodeId) -> float:
        """What may be spent; pieces whose time is over are given back."""
        if not (held := self.pieces.get(node)):
            return 0.0
        for number in [number for number, (until, left) in held.items() if until <= now or left <= 0]:
            if (left := held.pop(number)[1]) > 0:
                self.over.append(Unspent(number, left))
        return sum(left for _, left in held.values())

    def spend(self, now: float, node: NodeId, work: float) -> bool:
        """All of it, or nothing."""
        if self.left(now, node) < work:
            return False
        for piece in self.pieces.get(node, {}).values():
            part = min(work, piece[1])
            piece[1] -= part
            work -= part
        return True
