"""Addresses at which an instance looks for others.

Addresses come from the settings (seeds), from other instances, and from the
platform's store. Seeds may be stale, an instance may stop and come back at its
address, and a network may be divided for longer than instances remember each
other. So an address is not dropped because nobody answers there, and one that
was named but never answered counts as an instance that may exist.
"""

from collections.abc import Iterable

import attrs

# Time for which an address that was named counts as that of an instance that
# was not heard yet, in seconds. Some of these addresses are out of date.
_UNHEARD_S = 60.0
# Time after which an address that nobody names any more and that does not
# answer is forgotten, in seconds, and the same for an instance that said that
# it stops. They bound the datagrams to instances that have gone.
_FORGET_S = 600.0
_FORGET_LEFT_S = 60.0
# Maximum number of addresses. A large deployment has fewer instances.
_ADDRESSES_MAX = 4_096


@attrs.define
class _Contact:
    """An address at which no instance is heard now.

    Attributes:
        named_s: Monotonic time at which it was named last, in seconds.
        heard: Whether an instance was heard there since it was named.
        kept_s: Time for which it is kept after that, in seconds.
    """

    named_s: float
    heard: bool = False
    kept_s: float = _FORGET_S


class ContactBook:
    """Addresses at which this instance hears nobody now.

    Args:
        own_host: Address of this instance, which is never contacted.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._seeds: frozenset[str] = frozenset()
        self._contacts: dict[str, _Contact] = {}

    def set_seeds(self, hosts: Iterable[str], now_s: float) -> frozenset[str]:
        """Replaces the seeds; an earlier one that never answered is dropped.

        Args:
            hosts: Addresses of the seeds.
            now_s: Monotonic time, in seconds.

        Returns:
            The addresses that are new.
        """
        seeds = frozenset(hosts) - {self._own_host}
        new = seeds - self._seeds
        for host in self._seeds - seeds:
            contact = self._contacts.get(host)
            if contact is not None and not contact.heard:
                del self._contacts[host]
        self._seeds = seeds
        for host in new:
            self.add(host, now_s)
        return new

    def add(self, host: str, now_s: float) -> bool:
        """Adds an address at which another instance may be heard.

        Args:
            host: The address.
            now_s: Monotonic time, in seconds.

        Returns:
            Whether it is new.
        """
        if host == self._own_host:
            return False
        contact = self._contacts.get(host)
        if contact is not None:
            if now_s - contact.named_s > _UNHEARD_S:
                self._contacts[host] = _Contact(now_s)
            return False
        if len(self._contacts) >= _ADDRESSES_MAX:
            return False
        self._contacts[host] = _Contact(now_s)
        return True

    def record_heard(self, host: str) -> None:
        """Records that an instance is heard at an address."""
        self._contacts.pop(host, None)

    def record_lost(self, host: str, now_s: float, left: bool) -> None:
        """Records that an instance is not heard any more.

        It may come back at its address.

        Args:
            host: Its address.
            now_s: Monotonic time, in seconds.
            left: Whether it said that it stops.
        """
        kept_s = _FORGET_LEFT_S if left else _FORGET_S
        self._contacts[host] = _Contact(now_s, True, kept_s)

    def hosts(self, now_s: float) -> list[str]:
        """Returns the addresses to contact.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._forget(now_s)
        return list(self._contacts)

    def __contains__(self, host: str) -> bool:
        return host in self._contacts

    def unheard_count(self, now_s: float) -> int:
        """Returns the number of instances that may exist and were not heard.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return sum(
            not contact.heard and now_s - contact.named_s <= _UNHEARD_S
            for contact in self._contacts.values()
        )

    def _forget(self, now_s: float) -> None:
        for host, contact in list(self._contacts.items()):
            if host in self._seeds:
                continue
            if now_s - contact.named_s > contact.kept_s:
                del self._contacts[host]
