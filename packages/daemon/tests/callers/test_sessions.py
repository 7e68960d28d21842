"""Tests of complete sessions of a caller against golden files.

Only request ids and the tokens of event ids are normalised. Date and Server
come from the HTTP library and are left out. ``UPDATE_GOLDEN=1`` rewrites the
files.
"""

import os
import pathlib
import re

import pytest

GOLDEN = pathlib.Path(__file__).parent.parent / 'golden'
CHAT = '/v1/chat/completions'
_NORMALISED = (
    (re.compile(r'i[12]-[0-9a-f]{16}'), 'REQUEST'),
    (re.compile(r'[A-Za-z0-9_-]{60,}(?=\.-?\d)'), 'TOKEN'),
)


class Session:
    """Makes requests and records what the caller receives."""

    def __init__(self):
        self.lines = []
        self.last_event_id = ''

    async def request(self, instance, method, path, body=None, **headers):
        """Makes one request and waits for its complete answer."""
        self.lines.append(f'> {method} {path}')
        self.lines += [f'> {name}: {headers[name]}' for name in headers]
        async with instance.session.request(
            method, path, json=body, headers=headers
        ) as response:
            self._write_head(response)
            await self._write_body(response)

    async def stream_and_interrupt(self, instance, body, interrupt):
        """Starts a stream and calls ``interrupt`` after its first event."""
        self.lines.append(f'> POST {CHAT}')
        async with instance.session.post(CHAT, json=body) as response:
            self._write_head(response)
            first = await response.content.readuntil(b'\n\n')
            interrupt()
            await self._write_body(response, first)

    def _write_head(self, response):
        self.lines.append(f'< {response.status} {response.reason}')
        self.lines += [
            f'< {name}: {value}'
            for name, value in response.headers.items()
            if name not in ('Date', 'Server', 'Content-Length')
        ]

    async def _write_body(self, response, start=b''):
        text = (start + await response.read()).decode()
        self.lines += [text, '']
        ids = re.findall(r'^id: (.*)$', text, re.MULTILINE)
        self.last_event_id = ids[-1] if ids else self.last_event_id

    def text(self):
        """Returns the recorded text, normalised."""
        text = '\n'.join(self.lines)
        for pattern, name in _NORMALISED:
            text = pattern.sub(name, text)
        return text


async def _streamed(cluster, session, body, fault):
    await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1')
    await session.request(first_instance, 'POST', CHAT, body(3))


async def _not_streamed(cluster, session, body, fault):
    await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1')
    await session.request(first_instance, 'POST', CHAT, body(3, False))


async def _completion(cluster, session, body, fault):
    await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1')
    for stream in (True, False):
        fields = body(3, stream, prompt='hello', max_tokens=2)
        del fields['messages']
        await session.request(
            first_instance, 'POST', '/v1/completions', fields
        )


async def _cut_and_healed(cluster, session, body, fault):
    engine = await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1')
    engine.engine.inject(fault('cut', at=2))
    await session.request(first_instance, 'POST', CHAT, body(3))


async def _lost(cluster, session, body, fault):
    engine = await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1', resume_attempts=1)
    engine.engine.inject(fault('die', at=2))
    await session.request(first_instance, 'POST', CHAT, body(3))


async def _lost_not_streamed(cluster, session, body, fault):
    engine = await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1', resume_attempts=1)
    engine.engine.inject(fault('die', at=2))
    await session.request(first_instance, 'POST', CHAT, body(3, False))


async def _handed_over_and_resumed(cluster, session, body, fault):
    engine = await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1', stall_timeout_s=5.0)
    second_instance = await cluster.add_instance('i2')
    # The stall blocks the link after the first event until the handover.
    engine.engine.inject(fault('stall', at=1))
    await session.stream_and_interrupt(
        first_instance, body(4), first_instance.hand_over
    )
    await session.request(first_instance, 'POST', CHAT, body(4))
    headers = {'Last-Event-ID': session.last_event_id}
    await session.request(second_instance, 'GET', '/v1/streams', **headers)


async def _resume_refused(cluster, session, body, fault):
    await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1')
    await session.request(first_instance, 'POST', CHAT, body(1))
    headers = {'Last-Event-ID': session.last_event_id}
    other_headers = headers | {'X-Organisation': 'other'}
    await session.request(
        first_instance, 'GET', '/v1/streams', **other_headers
    )
    forged = {'Last-Event-ID': f'{headers["Last-Event-ID"][9:-2]}.1'}
    await session.request(first_instance, 'GET', '/v1/streams', **forged)
    cluster.engines.clear()
    await session.request(first_instance, 'GET', '/v1/streams', **headers)


async def _refused(cluster, session, body, fault):
    engine = await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1')
    engine.engine.inject(fault('refuse'))
    await session.request(first_instance, 'POST', CHAT, body(3))
    await session.request(first_instance, 'POST', CHAT, {'messages': []})
    await session.request(first_instance, 'POST', '/nowhere', body(3))


async def _timed_out(cluster, session, body, fault):
    engine = await cluster.add_engine('e1')
    first_instance = await cluster.add_instance('i1', stall_timeout_s=5.0)
    headers = {'X-Request-Timeout-S': '0.2'}
    for at in (0, 2):
        engine.engine.inject(fault('stall', at=at))
        await session.request(first_instance, 'POST', CHAT, body(3), **headers)


SESSIONS = (
    _streamed,
    _not_streamed,
    _completion,
    _cut_and_healed,
    _lost,
    _lost_not_streamed,
    _handed_over_and_resumed,
    _resume_refused,
    _refused,
    _timed_out,
)


@pytest.mark.parametrize(
    'run_session', SESSIONS, ids=lambda run_session: run_session.__name__[1:]
)
async def test_sessions(cluster, body, fault, run_session):
    """Guards against unintended changes of what callers receive."""
    session = Session()
    await run_session(cluster, session, body, fault)
    path = GOLDEN / f'{run_session.__name__[1:]}.txt'
    if os.environ.get('UPDATE_GOLDEN'):
        path.write_text(session.text())
    assert session.text() == path.read_text()
