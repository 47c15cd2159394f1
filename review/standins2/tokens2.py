"""A depot whose router asks for tokens of pick-confirms, and clients that present them over FastCGI."""

from __future__ import annotations

import asyncio
import hmac
import importlib.util
import json
import secrets
import time
from pathlib import Path

from depot2 import Answer, Cache, ChangeLog, Client, Fetch, Record, Router, fields_for, now_ms, small_settings

MODULES = ("lark", "cryptography", "joserfc", "h11", "xxhash")  # of the extras operator and access
POLICY = '{prefix: "/svc/pick-confirm", methods: ["POST"], once: true, depot: true, floor: true'


class TokenDepot:
    """One router with tokens on FastCGI, two caches, an origin that counts what has run."""

    def __init__(self, record: Record) -> None:
        missing = [name for name in MODULES if importlib.util.find_spec(name) is None]
        if missing:
            raise RuntimeError(f"not installed: {', '.join(missing)}; run review/build-2.sh")
        self.record = record
        self.runs: list[tuple[str, str, bytes]] = []  # transaction id, object, body
        settings = small_settings()
        self._settings = settings
        self._nodes = [
            Cache(0x11, self._handle),
            Cache(0x12, self._handle),
            Cache(0x21, self._handle, 0, 2, 40.0),
            Cache(0x31, self._handle, 0, 3, 40.0),
        ]
        self._log = ChangeLog()
        config = {
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "settings": settings,
        }
        self.router = Router("n0", config, self._log, record)
        self._secret = secrets.token_bytes(32)
        self._client: Client | None = None

    async def _handle(self, fetch: Fetch) -> None:
        await asyncio.sleep(0.01)
        if fetch.fields.get("from") != "s-00000031":
            fetch.answer("404")  # a write runs at the origin alone
            return
        self.runs.append((fetch.txn, fetch.fields["item"], fetch.body))
        self.record.write("ran", fetch.txn, fetch.fields["item"], fetch.body.decode())
        fetch.answer("200", b"confirmed", tell="via_origin", ver="w1", born=int(now_ms()))

    def write_policy(self, more: str = "") -> None:
        """Write the operator's file with the policy of docs/tokens-operators.md, and `more` fields in it."""
        operator = self.router.folder / "operator.cue"
        ring = self.router.folder / "ring.json"
        operator.write_text(
            f'access: {{\n    ring: "{ring}"\n    fastcgi: true\n    policies: [{POLICY}{more}}}]\n}}\n'
        )

    async def start(self, more: str = "") -> None:
        """Start everything."""
        for node in self._nodes:
            await node.start()
        await self._log.start()
        self._log.add_list(self._nodes, self._settings, whole=True)
        key = {"id": "k1", "algorithm": "HMAC-SHA256", "secret": self._secret.hex()}
        ring = self.router.folder / "ring.json"
        ring.write_text(json.dumps({"keys": [key]}))
        ring.chmod(0o600)
        self.write_policy(more)
        self.router.env["STONECOVE_OPERATOR"] = str(Path(self.router.folder, "operator.cue"))
        self.router.start()
        await self.router.ready()
        self._client = await Client.connect(self.router.address)

    def token(self, data: str) -> str:
        """Return an edge authorization token for all pick-confirms, good for ten minutes."""
        body = f"exp={int(time.time()) + 600}~acl=/svc/pick-confirm/*~data=kid:k1,depot:edge-1,{data}"
        return f"{body}~hmac={hmac.new(self._secret, body.encode(), 'sha256').hexdigest()}"

    async def confirm(self, token: str, key: int, what: str) -> Answer:
        """Send a pick-confirm with a token, and return its answer."""
        assert self._client is not None
        fields = fields_for(key, key % 32, 3000.0, 1.0)
        cgi = {"REQUEST_METHOD": "POST", "QUERY_STRING": f"hdnts={token}", "REMOTE_ADDR": "127.0.0.9"}
        self.record.write("sent", fields["X-Txn"], fields["X-Row"], what, f"hdnts={token}")
        answer = await self._client.ask("/svc/pick-confirm", fields, what.encode(), 4.0, cgi)
        self.record.say(f"{what}: status {answer.status} {answer.why}".rstrip())
        return answer

    def close(self) -> None:
        """End everything."""
        if self._client is not None:
            self._client.close()
        self.router.close()
