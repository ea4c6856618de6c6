"""Decides, as keeper, about requests for tokens from other VMs."""

from laurelrock.core import share_pools
from laurelrock.core import token_leases
from laurelrock.gateways.workspaces import cap_messages
from laurelrock.gateways.workspaces import share_lending

__all__ = ["answer"]


def answer(
    lending: share_lending.ShareLending,
    request: cap_messages.TokenRequest,
    now_s: float,
) -> cap_messages.TokenReply:
    """As keeper: decides about a request for tokens."""
    name = request.workspace
    moved = moved_keepers(lending, request, now_s)
    if moved:
        return cap_messages.TokenReply(
            request.number, 0, keepers=moved, moved=True
        )
    if request.spare:
        grant = lending.keeper.ask_spare(
            name, request.waiting, request.counted, now_s
        )
    else:
        ahead = (max(0, request.wanted), max(0, request.held))
        grant = lending.keeper.ask(
            request.sender, name, request.waiting, ahead, now_s
        )
    keepers = other_keepers(lending, name, request.spare, now_s)
    if grant is None:
        return cap_messages.TokenReply(
            request.number, 0, known=False, keepers=keepers
        )
    return cap_messages.TokenReply(request.number, *grant, keepers=keepers)


def moved_keepers(
    lending: share_lending.ShareLending,
    request: cap_messages.TokenRequest,
    now_s: float,
) -> list[str]:
    """As spare keeper: returns the keepers if the main one has changed.

    Spare tokens are for the time in which there is no main keeper.
    """
    if not request.silent:
        return []
    slot = share_lending.slot_of(request.workspace)
    choice = lending.choice
    main, spare = choice.choose(slot, now_s)
    pool = token_leases.pool_of(slot, share_pools.MAIN)
    if main in ("", lending.me.name, request.silent):
        return []
    return [main, spare] if choice.keeps(pool, main) else []


def other_keepers(
    lending: share_lending.ShareLending,
    workspace: str,
    spare: bool,
    now_s: float,
) -> list[str]:
    """As keeper: returns the keepers to ask if this VM has few shares."""
    slot = share_lending.slot_of(workspace)
    choice = lending.choice
    kind = share_pools.SPARE if spare else share_pools.MAIN
    pool = token_leases.pool_of(slot, kind)
    if lending.keeper.keeps(pool) or not choice.has_seat(slot):
        return []
    found = choice.choose(slot, now_s)
    if lending.me.name == found[kind]:
        return []
    return list(found)
