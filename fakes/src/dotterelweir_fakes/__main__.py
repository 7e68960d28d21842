"""Command group of the stand-ins: ``python -m dotterelweir_fakes``."""

import importlib
import pkgutil

import click

from dotterelweir_fakes import commands


class _CommandModules(click.Group):
    """Finds each command in the module of the same name.

    A module is imported only when its command is used, so that a stand-in
    does not load the libraries of the measurement.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        modules = pkgutil.iter_modules(commands.__path__)
        return sorted(module.name.replace('_', '-') for module in modules)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        if cmd_name not in self.list_commands(ctx):
            return None
        module = importlib.import_module(
            f'{commands.__name__}.{cmd_name.replace("-", "_")}'
        )
        return module.command


@click.group(cls=_CommandModules)
def main() -> None:
    """Stand-ins, load tool, demo and measurement for dotterelweir."""


if __name__ == '__main__':
    main(prog_name='dotterelweir_fakes')
