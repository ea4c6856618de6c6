"""Builders of members and fleets."""

from laurelrock.core import members

#: Failure domains of the fleets, in order.
DOMAINS = ["a", "b", "c", "d", "e"]


def relays(size: int, domains: int) -> list[members.Member]:
    """Returns relays spread evenly over failure domains."""
    return [
        members.Member(
            vm=f"e{index}",
            role="relay",
            address=f"10.0.{index // 250}.{index % 250 + 1}:7000",
            failure_domain=DOMAINS[index % domains],
            region="gt-central",
            start_id=f"start-{index}",
        )
        for index in range(size)
    ]
