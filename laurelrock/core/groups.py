"""Groups services that have searchers in common, so that they use one queue."""

import typing

from laurelrock import manifest

__all__ = ["ServiceKey", "group_services"]


class ServiceKey(typing.NamedTuple):
    """Application name and service name, unique within a manifest."""

    application: str
    service: str


def group_services(config: manifest.Manifest) -> list[list[ServiceKey]]:
    """Returns the services in groups that have no searcher in common.

    Two services are in the same group if a searcher address is listed for both,
    directly or through other services (union-find).
    """
    parents: dict[ServiceKey, ServiceKey] = {}

    def find_root(item: ServiceKey) -> ServiceKey:
        while parents[item] != item:
            parents[item] = parents[parents[item]]
            item = parents[item]
        return item

    by_address: dict[str, ServiceKey] = {}
    for name, application in config.applications.items():
        for service, searchers in application.services.items():
            item = ServiceKey(name, service)
            parents[item] = item
            for searcher in searchers:
                first = by_address.setdefault(searcher.address, item)
                parents[find_root(item)] = find_root(first)
    grouped: dict[ServiceKey, list[ServiceKey]] = {}
    for item in parents:
        grouped.setdefault(find_root(item), []).append(item)
    return list(grouped.values())
