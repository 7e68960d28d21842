"""Streams that callers of the soak take up again after they broke off."""

import re

import aiohttp

from dotterelweir_fakes.soak import guarantees

_TIMEOUT_S = 4.0
# Software version at the end of an event.
_VERSION = re.compile(rb' (v\d+)\n\n')


class CallerStream:
    """One stream of a caller, over one attempt or several.

    Args:
        headers: Headers of the first attempt.
        events: Number of events of the whole stream.
        attempts_max: Maximum number of attempts.
    """

    def __init__(
        self, headers: dict[str, str], events: int, attempts_max: int
    ) -> None:
        self.request_id = self.attempt_id = headers['X-Attempt-Id']
        self._headers = headers
        self._events = events
        # Whole events that have arrived.
        self._received = b''
        # Id of the attempt that brought the first event; empty before it.
        self._first_id = ''
        # Statuses of the attempts that were answered without a stream.
        self._ends: dict[str, int] = {}
        self._attempts_max = attempts_max
        self._attempts = 0
        self._complete = False

    @property
    def may_continue(self) -> bool:
        """Whether the stream broke off and its caller tries once more."""
        return not self._complete and self._attempts < self._attempts_max

    async def attempt(
        self, session: aiohttp.ClientSession, method: str, url: str
    ) -> None:
        """Sends one attempt and reads what arrives of it.

        Args:
            session: HTTP client.
            method: HTTP method.
            url: URL at an instance.
        """
        self._attempts += 1
        headers = dict(self._headers)
        if self._attempts > 1:
            self.attempt_id = f'{self.request_id}-{self._attempts}'
            headers['X-Attempt-Id'] = self.attempt_id
        if self._first_id:
            count = self._received.count(b'\n\n')
            headers |= {
                'Last-Event-Id': str(count),
                'Resumes': self._first_id,
            }
        body = b''
        try:
            async with session.request(
                method,
                url,
                headers=headers,
                data=b'x',
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as answer:
                if answer.status != 200:
                    self._ends[self.attempt_id] = answer.status
                    return
                async for chunk in answer.content.iter_any():
                    body += chunk
                self._complete = True
        except (aiohttp.ClientError, TimeoutError):
            pass
        whole = body[: body.rfind(b'\n\n') + 2] if b'\n\n' in body else b''
        if self._complete:
            whole = body
        self._received += whole
        if whole and not self._first_id:
            self._first_id = self.attempt_id

    def record(self, ledger: guarantees.Ledger) -> None:
        """Checks the stream.

        Args:
            ledger: Runs and answers of all requests.
        """
        expected = b''.join(
            b'id: %d\ndata: token-%d\n\n' % (number, number)
            for number in range(1, self._events + 1)
        )
        versions = {
            version.decode() for version in _VERSION.findall(self._received)
        }
        ledger.record_versions(self.request_id, versions)
        for attempt_id, status in self._ends.items():
            ledger.record_answer(attempt_id, status, b'', expected)
        body = _VERSION.sub(b'\n\n', self._received)
        if self._attempts > 1 and self._first_id:
            ledger.taken_up += 1
            ledger.taken_up_whole += self._complete
        if self._complete:
            ledger.record_answer(self.request_id, 200, body, expected)
        else:
            ledger.record_partial_answer(self.request_id, body, expected)
