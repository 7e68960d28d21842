"""Runs a gateway whose links to all targets another process can cut.

A file beside the settings file names the cut while it lasts; the shipped
programs read no such file.
"""

import asyncio
import os
import pathlib

from dotterelweir_fakes.fleet import target_links
from dotterelweir_platform import command as platform_main
from dotterelweird.gateway import composition

_POLL_INTERVAL_S = 0.02


def links_file(settings: pathlib.Path) -> pathlib.Path:
    """Returns the file that names the cut of an instance.

    Args:
        settings: Settings file of the instance.
    """
    return settings.with_suffix('.links')


class LinkedGateway(composition.Gateway):
    """A gateway that follows the file about its links."""

    async def start(self) -> None:
        """Starts to follow the file, and the gateway."""
        self._links_task = asyncio.create_task(self._follow_links())
        await super().start()

    async def _follow_links(self) -> None:
        links = target_links.TargetLinks(self)
        path = links_file(pathlib.Path(os.environ['DOTTERELWEIR_CONFIG']))
        before = ''
        while True:
            name = path.read_text() if path.exists() else ''
            if name != before:
                before = name
                if name:
                    links.cut(target_links.Cut[name])
                else:
                    links.heal()
            await asyncio.sleep(_POLL_INTERVAL_S)


if __name__ == '__main__':
    composition.Gateway = LinkedGateway
    platform_main.main()
