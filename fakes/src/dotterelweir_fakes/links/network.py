"""The gateways of a deployment."""

from dotterelweir_fakes.links import gateway as gateway_module
from dotterelweir_fakes.links import rules as rules_module


class Network:
    """Opens a gateway for each instance.

    Attributes:
        rules: What the links do; a test changes them.
    """

    def __init__(self) -> None:
        self.rules = rules_module.Rules()
        self._gateways: list[gateway_module.Gateway] = []

    async def attach(
        self, peer_port: int, datagram_port: int
    ) -> gateway_module.Gateway:
        """Opens the gateway of an instance.

        Args:
            peer_port: Port of the instance for its peers.
            datagram_port: Port on which the instance takes datagrams from
                the gateway.
        """
        gateway = gateway_module.Gateway(self.rules, peer_port, datagram_port)
        await gateway.open()
        self._gateways.append(gateway)
        return gateway

    async def close(self) -> None:
        """Closes every gateway."""
        for gateway in self._gateways:
            await gateway.close()
