"""Messages by which VMs share the caps of workspaces."""

import typing

__all__ = [
    "KINDS",
    "Balances",
    "ShareReceipt",
    "ShareReport",
    "TokenReply",
    "TokenRequest",
]


class ShareReport(typing.NamedTuple):
    """Lends a VM's shares of some pools to a keeper, and of no others.

    Attributes:
        sender: Name of the VM.
        start: Random number of the VM's process.
        number: Number of the report, ascending.
        vms: Number of VMs that the VM knows of.
        pools: Numbers of the pools; see `token_leases.pool_of`.
        keeper_start: Random number of the keeper's process in its last receipt.
        keeper_s: Keeper's time in its last receipt, in seconds. The shares are
            lent from then on, so that they end at the keeper before the VM
            uses them again, however long a report takes.
        origins: Random numbers of the processes that had the shares before and
            left, by pool.
    """

    sender: str
    start: int
    number: int
    vms: int
    pools: list[int]
    keeper_start: int = 0
    keeper_s: float = 0.0
    origins: dict[int, int] = {}


class ShareReceipt(typing.NamedTuple):
    """Confirms a report.

    Attributes:
        sender: Name of the keeper.
        start: Random number of the keeper's process.
        number: Number of the report.
        now_s: Keeper's time, in seconds.
        leaving: Whether the keeper stops and holds no shares any more.
        held: The pools of which it still holds the shares that an earlier
            process of the VM lent.
        keeping: The pools of which it has most shares.
        heirs: Names of the VMs to which a keeper that stops hands over its
            pools.
    """

    sender: str
    start: int
    number: int
    now_s: float
    leaving: bool = False
    held: list[int] = []
    keeping: list[int] = []
    heirs: dict[int, str] = {}


class Balances(typing.NamedTuple):
    """Hands the tokens of a keeper that stops over to the next one.

    Attributes:
        start: Random number of the keeper's process.
        pools: The pools' sum of shares, and for each workspace the tokens of
            its bucket and of its ideal bucket.
    """

    start: int
    pools: dict[int, tuple[float, dict[str, tuple[float, float]]]]


class TokenRequest(typing.NamedTuple):
    """Asks a keeper for tokens.

    Attributes:
        sender: Name of the VM.
        number: Number of the request; 0 if no reply is wanted.
        workspace: Name of the workspace.
        waiting: Number of requests that wait.
        wanted: Number of further tokens wanted.
        held: Number of leased tokens that the VM holds.
        returned: Number of tokens that the VM returns.
        spare: Whether the main keeper was silent or had too few tokens.
        counted: Whether it counted the requests as within the cap.
        silent: Name of the main keeper that was silent.
    """

    sender: str
    number: int
    workspace: str
    waiting: int
    wanted: int = 0
    held: int = 0
    returned: int = 0
    spare: bool = False
    counted: bool = False
    silent: str = ""


class TokenReply(typing.NamedTuple):
    """A keeper's reply to a request for tokens.

    Attributes:
        number: Number of the request.
        granted: Number of waiting requests that may run.
        leased: Number of tokens for later requests.
        spare: Number of waiting requests for which the VM may ask for spare
            tokens.
        turns_s: Times in seconds after which the other ones may return.
        known: Whether the keeper knows the workspace.
        keepers: Names of the main and the spare keeper, if the VM that was
            asked has few of the shares.
        moved: Whether the main keeper is another one than the silent one. Then
            no spare tokens are granted.
    """

    number: int
    granted: int
    leased: int = 0
    spare: int = 0
    turns_s: list[float] = []
    known: bool = True
    keepers: list[str] = []
    moved: bool = False


KINDS: dict[int, type] = {
    30: ShareReport,
    31: ShareReceipt,
    32: TokenRequest,
    33: TokenReply,
    34: Balances,
}
