"""The VMs and searchers of a soak, with the links to them."""

import signal
import subprocess

from fakes import link
from fakes import shards

__all__ = ["CALLER_PORT", "Server", "Vm", "caller_address"]

#: Port of each VM for callers; every VM has its own address.
CALLER_PORT = 8080
#: Start time of new searchers, in milliseconds since 1970.
FIRST_START_MS = 1_790_000_000_000


class Vm:
    """One VM and its gateway process.

    Attributes:
        name: Name of the VM.
        address: IPv4 address.
        store_link: Link from the VM to the store.
        front: Link from callers to the VM.
        exchange: Link from other VMs to the VM.
        process: Last process that was started; None before the first start.
        start_count: Number of processes started so far.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store_link: link.Link,
        front: link.Link,
        exchange: link.Link,
    ) -> None:
        self.name = name
        self.address = address
        self.store_link = store_link
        self.front = front
        self.exchange = exchange
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0

    @property
    def callers(self) -> tuple[str, int]:
        """Host and port that callers connect to."""
        return caller_address(self.address), CALLER_PORT

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.is_alive():
            self.process.send_signal(number)

    def is_alive(self) -> bool:
        """Returns whether the process is running."""
        return self.process is not None and self.process.poll() is None


class Server:
    """A searcher and the link through which gateways reach it."""

    def __init__(
        self,
        searcher: shards.ScriptedSearcher,
        searcher_link: link.Link,
        service: str,
        port: int,
    ) -> None:
        self.searcher = searcher
        self.link = searcher_link
        self.service = service
        self.port = port
        self.started_ms = FIRST_START_MS
        #: Number of the last write of its entry.
        self.seq = 0
        #: State in its entry.
        self.state = "ready"
        #: How it responds to requests; see `searcher_replies.create_reply`.
        self.behaviour = "healthy"
        #: Whether all of its responses say that it leaves.
        self.leaving = False
        #: Requests per second that all of its responses name as its limit; 0
        #: for none.
        self.limit = 0.0
        #: Whether it crashed and is not back yet.
        self.crashed = False
        #: Loop time until which it is cold, in seconds.
        self.cold_until_s = 0.0

    @property
    def domain(self) -> str:
        """Failure domain of the searcher."""
        return f"d{self.port % 2}"

    @property
    def notices(self) -> tuple[str, ...]:
        """The headers of all of its responses."""
        leaving = ("Server-Leaving: 1",) if self.leaving else ()
        limit = (f"Server-Limit: {self.limit}",) if self.limit else ()
        return (*leaving, *limit)


def caller_address(address: str) -> str:
    """Returns the address of the link through which callers reach a VM."""
    first, second, _, last = address.split(".")
    return f"{first}.{second}.4.{last}"
