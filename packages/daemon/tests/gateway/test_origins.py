"""Tests of the messages that tell instances where streams began."""

import pytest

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.gateway import stream_origins
from dotterelweir_core.gateway import targets
from dotterelweird.gateway import digests
from dotterelweird.gateway import origins
from dotterelweird.gateway import peer_view
from dotterelweird.gateway import statistics

ORIGIN = stream_origins.StreamOrigin('model', 'v1.1')
MESSAGES = [
    stream_origins.OriginNews(
        (stream_origins.OriginStatement('request-1', ORIGIN, 12.0),)
    ),
    stream_origins.OriginQuery(7, 'request-1', 'model', 12.0),
    stream_origins.OriginAnswer(
        7,
        ORIGIN,
        stream_origins.KnownVersions(frozenset({'v1', 'v1.1'}), True),
    ),
    stream_origins.OriginAnswer(7, None),
]


@pytest.mark.parametrize('message', MESSAGES)
def test_messages_arrive_as_they_were_sent(message):
    """Guards against origins that are lost on the way to a holder."""
    assert digests.decode(digests.encode(message)) == message


@pytest.mark.parametrize(
    'body',
    [
        b'{"j":7}',
        b'{"j":[["request-1","model",12]]}',
        b'{"j":[["request-1","model","v1",-1]]}',
        b'{"jq":[7,"request-1","model"]}',
        b'{"jq":["x","request-1","model",12]}',
        b'{"ja":[7]}',
        b'{"ja":[7,1,["model"]]}',
        b'{"ja":[-1,1,null]}',
    ],
)
def test_malformed_messages_are_dropped(body):
    """Guards against a process that ends, or learns a wrong origin."""
    with pytest.raises(digests.DatagramInvalid):
        digests.decode(body)


class Instance:
    """The origins that one instance knows, without a network.

    Attributes:
        sent: Messages that it sent, with the host of each.
    """

    def __init__(self, hosts=(), age_s=0.0, reachable_share=1.0):
        self.directory = targets.TargetDirectory()
        self.timers = timers.VirtualTimerService()
        self.sent = []
        self.age_s = age_s
        # Engines that the store has and this instance has not read, by id,
        # and whether the store answers it.
        self.unread = {}
        self.reads = True
        self.origins = origins.StreamOrigins(
            self.timers,
            statistics.Statistics(),
            self.directory,
            lambda: self.age_s,
            self.confirm,
            lambda host, message: self.sent.append((host, message)),
            lambda: peer_view.PeerView(
                tuple(peer_view.Peer(host, host) for host in hosts),
                reachable_share,
            ),
        )
        self.origins.begin()
        self.timers.advance(30.0)

    async def confirm(self, since_s):
        """Reads the targets; what is new there is registered first."""
        for target_id, version in self.unread.items():
            self.register(target_id, version)
        return self.reads

    async def find(self, request_id='request-1'):
        """Returns where a stream began, and how that is known."""
        return await self.origins._find(request_id, 'model', 12.0, 0.0)

    def register(self, target_id, version):
        target = targets.Target(
            *(target_id, 'model', '10.0.0.1', 80, 'zone-a', 8),
            targets.TargetState.READY,
            software_version=version,
        )
        self.origins.apply_change(
            self.directory.apply(target_id, target, len(self.sent) + 1)
        )

    def answer(self):
        self.origins.handle_message(
            stream_origins.OriginQuery(1, 'request-1', 'model', 12.0), 'peer'
        )
        return self.sent.pop()[1]


def test_an_instance_that_lost_the_store_and_others_vouches_for_nothing():
    """Guards against a version that it cannot have heard of."""
    instance = Instance(age_s=2.0, reachable_share=0.5)
    instance.register('engine-1', 'v1')
    assert instance.answer().known.only is None
    instance.age_s = 1.0
    assert instance.answer().known.only == 'v1'


def test_an_outage_of_the_store_alone_refuses_no_stream():
    """Guards against refusals while all instances know the same."""
    instance = Instance(age_s=60.0)
    instance.register('engine-1', 'v1')
    assert instance.answer().known.only == 'v1'
    instance.register('engine-2', 'v2')
    assert instance.answer().known.only is None


def test_streams_of_before_a_second_version_are_stated_then():
    """Guards against streams that nobody knows if their instance ends."""
    hosts = [f'10.1.0.{number}' for number in range(1, 7)]
    instance = Instance(hosts)
    instance.register('engine-1', 'v1')
    statement = stream_origins.OriginStatement('request-1', ORIGIN, 12.0)
    instance.origins._registry.record(
        statement, instance.timers.monotonic_s(), is_own=True
    )
    assert not instance.sent
    instance.register('engine-2', 'v2')
    news = stream_origins.OriginNews((statement,))
    assert [message for _, message in instance.sent] == 4 * [news]


def test_an_unknown_origin_is_refused_as_not_run():
    """Guards against a status that tells the caller not to come back."""
    kind = errors.ErrorKind.STREAM_ORIGIN_UNKNOWN
    assert errors.RESPONSES[kind].status == 503


async def test_a_version_that_was_not_read_yet_is_found():
    """Guards against streams joined to the only version known here."""
    instance = Instance(age_s=1.3)
    instance.register('engine-1', 'v1')
    instance.unread = {'engine-2': 'v2'}
    assert await instance.find() == (None, origins.Knowledge.NONE)


async def test_without_a_read_and_peers_that_answer_nothing_is_known():
    """Guards against silence that is taken for an answer."""
    instance = Instance(['10.1.0.1'], age_s=0.0)
    instance.register('engine-1', 'v1')
    instance.reads = False
    assert await instance.find() == (None, origins.Knowledge.NONE)


async def test_the_only_version_is_known_by_a_read():
    """Guards against refusals where no second version has served."""
    instance = Instance(['10.1.0.1'], age_s=0.0)
    instance.register('engine-1', 'v1')
    origin, knowledge = await instance.find()
    assert origin.software_version == 'v1'
    assert knowledge is origins.Knowledge.ONLY_VERSION
    # Nobody had to be asked.
    assert not instance.sent


@pytest.mark.parametrize('versions', [('v1',), ('v1', 'v2')])
@pytest.mark.parametrize('silent', [False, True])
async def test_without_the_store_all_peers_must_answer(versions, silent):
    """Guards against one peer out of step that vouches for all."""
    hosts = [f'10.1.0.{number}' for number in range(1, 4)]
    instance = Instance(hosts)
    instance.register('engine-1', 'v1')
    instance.reads = False
    known = stream_origins.KnownVersions(frozenset({'v1'}), True)
    other = stream_origins.KnownVersions(frozenset(versions), True)

    def send(host, query):
        if host == hosts[2] and silent:
            return
        row = other if host == hosts[1] else known
        answer = stream_origins.OriginAnswer(query.number, None, row)
        instance.origins.handle_message(answer, host)

    instance.origins._send = send
    origin, _ = await instance.find()
    assert (origin is not None) == (versions == ('v1',) and not silent)
