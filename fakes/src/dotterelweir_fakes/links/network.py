"""The link proxies of a deployment."""

from dotterelweir_fakes.links import link_proxy as link_proxy_module
from dotterelweir_fakes.links import rules as rules_module


class Network:
    """Opens and closes the link proxies of all instances.

    Attributes:
        rules: Rules of all links; a test changes them while they are in use.
    """

    def __init__(self) -> None:
        self.rules = rules_module.Rules()
        self._link_proxies: list[link_proxy_module.LinkProxy] = []

    async def attach(
        self, peer_port: int, datagram_port: int
    ) -> link_proxy_module.LinkProxy:
        """Opens the link proxy of an instance.

        Args:
            peer_port: Port on which the instance's peers reach it.
            datagram_port: Port on which the instance receives datagrams
                from the proxy.
        """
        link_proxy = link_proxy_module.LinkProxy(
            self.rules, peer_port, datagram_port
        )
        await link_proxy.open()
        self._link_proxies.append(link_proxy)
        return link_proxy

    async def close(self) -> None:
        """Closes every link proxy."""
        for link_proxy in self._link_proxies:
            await link_proxy.close()
