"""The gateways of a deployment."""

from dotterelweir_fakes.links import link_proxy as link_proxy_module
from dotterelweir_fakes.links import rules as rules_module


class Network:
    """Opens a gateway for each instance.

    Attributes:
        rules: What the links do; a test changes them.
    """

    def __init__(self) -> None:
        self.rules = rules_module.Rules()
        self._link_proxies: list[link_proxy_module.LinkProxy] = []

    async def attach(
        self, peer_port: int, datagram_port: int
    ) -> link_proxy_module.LinkProxy:
        """Opens the gateway of an instance.

        Args:
            peer_port: Port of the instance for its peers.
            datagram_port: Port on which the instance takes datagrams from
                the gateway.
        """
        link_proxy = link_proxy_module.LinkProxy(
            self.rules, peer_port, datagram_port
        )
        await link_proxy.open()
        self._link_proxies.append(link_proxy)
        return link_proxy

    async def close(self) -> None:
        """Closes every gateway."""
        for link_proxy in self._link_proxies:
            await link_proxy.close()
