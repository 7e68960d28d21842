"""The ``partitions`` command: instances that alone lose all targets."""

import asyncio
from collections.abc import Callable
import math
import pathlib
import random
import sys
import tempfile

import attrs
import click
import orjson

from dotterelweir_fakes.fleet import target_links
from dotterelweir_fakes.soak import instances
from dotterelweir_fakes.soak import linked_gateway
from dotterelweir_fakes.soak import trials

# Time before the cut, and after its end, in seconds.
_BEFORE_S = 2.0
_AFTER_S = 3.0
# Requests per second to all instances together.
_RATE_PER_S = 40.0
# Ranges of the time between two cuts of random instances, and of the duration
# of a cut, in seconds.
_INTERVAL_S = (0.5, 3.0)
_DURATION_S = (0.5, 4.0)
# Longest time after the end of a cut until an instance notices it, in seconds.
_NOTICED_S = 1.5
# Routes whose requests may run once at most.
_ONCE = frozenset({'book', 'guide'})
# Share of the served first attempts of the other instances that those at cut
# ones must reach, and failures that are allowed, at most and as a share of all
# first attempts; the users' rule.
_SERVED_SHARE_MIN = 2.0 / 3.0
_FAILED_MAX = 10
_FAILED_SHARE_MAX = 1.0 / 50.0


class LinkCuts:
    """Cuts random instances off from all targets, until it is cancelled.

    Args:
        nodes: The instances; they run ``linked_gateway``.
        rng: Random source.
        trace: Writes a line to the log of faults.
    """

    def __init__(
        self,
        nodes: list[instances.Instance],
        rng: random.Random,
        trace: Callable[[str], None],
    ) -> None:
        self._nodes = nodes
        self._rng = rng
        self._trace = trace
        # Monotonic times until which instances may pass requests on, in
        # seconds.
        self._until_s: dict[str, float] = {}

    def may_forward(self, node: instances.Instance) -> bool:
        """Whether another instance may send what an instance receives.

        Args:
            node: The instance.
        """
        now_s = asyncio.get_running_loop().time()
        return now_s < self._until_s.get(node.name, 0.0)

    async def run(self) -> None:
        """Cuts some instances, or all, for a time, again and again."""
        while True:
            await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))
            count = self._rng.randint(1, len(self._nodes))
            cut = self._rng.choice([*target_links.Cut])
            for node in self._rng.sample(self._nodes, count):
                self._trace(f'{node.name}: links {cut.name}')
                self._until_s[node.name] = math.inf
                write_links(node, cut.name)
            await asyncio.sleep(self._rng.uniform(*_DURATION_S))
            self.heal()

    def heal(self) -> None:
        """Ends the cuts of all instances."""
        noticed_s = asyncio.get_running_loop().time() + _NOTICED_S
        for node in self._nodes:
            if node.name in self._until_s:
                until_s = min(self._until_s[node.name], noticed_s)
                self._until_s[node.name] = until_s
            write_links(node, '')


def write_links(node: instances.Instance, name: str) -> None:
    """Writes the file that names the cut of an instance.

    Args:
        node: The instance.
        name: Name of the cut; empty for none.
    """
    settings = node.directory / f'{node.name}.conf'
    linked_gateway.links_file(settings).write_text(name)


@attrs.frozen
class Served:
    """First attempts at some instances.

    Attributes:
        sent: Number of first attempts.
        whole: Number of those that were served.
    """

    sent: int
    whole: int


@attrs.define
class PartitionPlay:
    """Cuts some instances off from all targets and counts who is served.

    Requests are sent to each instance alike, as on connections that stay open
    whatever its readiness says.

    Attributes:
        seed: Seed of the load.
        cut: What becomes of the connections.
        instance_count: Number of gateway processes.
        cut_count: Number of those that are cut off.
        cut_s: Duration of the cut, in seconds.
        route: Route of the requests.
        directory: Directory for settings and logs of the processes.
    """

    seed: int
    cut: target_links.Cut
    instance_count: int
    cut_count: int
    cut_s: float
    route: str
    directory: pathlib.Path

    async def run(self) -> dict[str, object]:
        """Plays the cut.

        Returns:
            Served first attempts from the stable time after the cut on, and
            the violations.
        """
        loop = asyncio.get_running_loop()
        async with trials.Trial(
            self.directory,
            self.instance_count,
            4,
            trials.SERVICES[self.route],
            module=linked_gateway.__name__,
        ) as trial:
            load = asyncio.create_task(
                trial.send_load(
                    self.route,
                    _RATE_PER_S,
                    _BEFORE_S + self.cut_s + _AFTER_S,
                    random.Random(self.seed),
                    f'{self.seed}-{self.route}',
                )
            )
            await asyncio.sleep(_BEFORE_S)
            cut_nodes = trial.nodes[: self.cut_count]
            began_s = loop.time()
            for node in cut_nodes:
                write_links(node, self.cut.name)
            await asyncio.sleep(self.cut_s)
            ended_s = loop.time()
            for node in cut_nodes:
                write_links(node, '')
            await load
            await trial.wait_answers()
        from_s = began_s + trials.STABLE_S
        cut_names = {node.name for node in cut_nodes}
        at_cut = _count(trial, cut_names, from_s, ended_s)
        others = {node.name for node in trial.nodes} - cut_names
        elsewhere = _count(trial, others, from_s, ended_s)
        after = _count(
            trial, cut_names | others, ended_s + 1.0, ended_s + _AFTER_S
        )
        return {
            'seed': self.seed,
            'cut': self.cut.name,
            'at_cut': attrs.asdict(at_cut),
            'elsewhere': attrs.asdict(elsewhere),
            'after': attrs.asdict(after),
            'violations': [
                *_find_violations(at_cut, elsewhere),
                *_find_repeats(trial, 1 if self.route in _ONCE else 2),
            ],
        }


def _count(
    trial: trials.Trial, names: set[str], from_s: float, until_s: float
) -> Served:
    """Counts the requests that were sent to some instances in some time."""
    answers = [
        answer
        for request_id, answer in trial.answers.items()
        if trial.receivers[request_id].name in names
        and from_s <= answer.sent_s < until_s
    ]
    whole = sum(answer.status == 200 for answer in answers)
    return Served(len(answers), whole)


def _find_violations(at_cut: Served, elsewhere: Served) -> list[str]:
    failed_max = _FAILED_MAX + _FAILED_SHARE_MAX * (
        at_cut.sent + elsewhere.sent
    )
    share = at_cut.whole / max(1, at_cut.sent)
    share_elsewhere = elsewhere.whole / max(1, elsewhere.sent)
    if share >= _SERVED_SHARE_MIN * share_elsewhere:
        return []
    if at_cut.sent - at_cut.whole <= failed_max:
        return []
    return [f'served {at_cut} at instances that were cut off']


def _find_repeats(trial: trials.Trial, runs_max: int) -> list[str]:
    """Returns a line for each request that ran too often."""
    counts: dict[str, int] = {}
    for engine in trial.engines.values():
        for request_id in engine.ran:
            counts[request_id] = counts.get(request_id, 0) + 1
    return [
        f'{request_id}: ran {count} times'
        for request_id, count in counts.items()
        if count > runs_max
    ]


@click.command()
@click.option('--seed', type=int, required=True)
@click.option(
    '--cut',
    'cut_name',
    type=click.Choice([cut.name for cut in target_links.Cut]),
    default='RESET',
    show_default=True,
)
@click.option(
    '--instances', 'instance_count', type=int, default=6, show_default=True
)
@click.option('--cut-off', 'cut_count', type=int, default=2, show_default=True)
@click.option('--seconds', type=float, default=12.0, show_default=True)
@click.option(
    '--route',
    type=click.Choice([*trials.SERVICES]),
    default='read',
    show_default=True,
)
@click.option('--directory', type=click.Path(path_type=pathlib.Path))
def partitions(
    seed: int,
    cut_name: str,
    instance_count: int,
    cut_count: int,
    seconds: float,
    route: str,
    directory: pathlib.Path | None,
) -> None:
    """Runs gateway processes, some of which lose all targets for a time.

    The last line is one JSON object. Exit code 1 if callers of these are
    served far worse than those of the others.
    """
    with tempfile.TemporaryDirectory() as temporary:
        output_directory = directory or pathlib.Path(temporary)
        output_directory.mkdir(parents=True, exist_ok=True)
        play = PartitionPlay(
            seed,
            target_links.Cut[cut_name],
            instance_count,
            cut_count,
            seconds,
            route,
            output_directory,
        )
        result = asyncio.run(play.run())
    click.echo(orjson.dumps(result).decode())
    sys.exit(1 if result['violations'] else 0)
