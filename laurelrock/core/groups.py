"""Groups: services that share searchers, and so share one queue."""

import typing

from laurelrock import manifest

__all__ = ["Service", "group_services"]


class Service(typing.NamedTuple):
    """Name of a service within a manifest."""

    application: str
    service: str


def group_services(config: manifest.Manifest) -> list[list[Service]]:
    """Returns the services in groups that share no searcher.

    Two services are in one group if an address stands in both, directly or
    by way of others.
    """
    leader: dict[Service, Service] = {}

    def find(item: Service) -> Service:
        while leader[item] != item:
            leader[item] = leader[leader[item]]
            item = leader[item]
        return item

    by_address: dict[str, Service] = {}
    for name, application in config.applications.items():
        for service, searchers in application.services.items():
            item = Service(name, service)
            leader[item] = item
            for searcher in searchers:
                first = by_address.setdefault(searcher.address, item)
                leader[find(item)] = find(first)
    grouped: dict[Service, list[Service]] = {}
    for item in leader:
        grouped.setdefault(find(item), []).append(item)
    return list(grouped.values())
