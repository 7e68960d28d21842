"""Callers that verify every token and every answer."""

import asyncio
import time

import aiohttp
import attrs
import orjson

from dotterelweir_fakes.engine import tokens as engine_tokens
from dotterelweir_fakes.load import balancer as balancer_module
from dotterelweir_fakes.load import tally

_RESUME_ATTEMPTS = 5
_RESUME_PAUSE_S = 0.3


@attrs.define
class StreamChecker:
    """Checks the order, origin and uniqueness of the tokens of one answer.

    Attributes:
        expected_tokens: Number of tokens of the complete answer.
        last_id: Id of the last event that had one.
        tokens: Number of distinct tokens received, in order.
        duplicated_tokens: Number of tokens received again.
        finished: Whether the end mark arrived.
        fault: First fault that was found, one line; empty for none.
        problem: Problem document of an error event, if one arrived.
        handover: Whether the stream has to be resumed at another instance:
            a handover event arrived, or the connection failed after an
            event with an id.
    """

    expected_tokens: int
    last_id: str = ''
    tokens: int = 0
    duplicated_tokens: int = 0
    finished: bool = False
    fault: str = ''
    problem: dict | None = None
    handover: bool = False
    _generation: str = ''

    def check_event(self, event_id: str, name: str, data: str) -> None:
        """Checks one event.

        Args:
            event_id: Id of the event; empty for none.
            name: Name of the event; empty for a token or the end mark.
            data: Data of the event.
        """
        if name == 'error':
            self.problem = orjson.loads(data)
            return
        if name == 'handover':
            self.handover = True
            return
        if data == '[DONE]':
            self.finished = True
            self._check_length()
            return
        if event_id:
            self.last_id = event_id
        chunk = orjson.loads(data)
        text = _content(chunk)
        if text:
            self._check_token(chunk['id'], text)

    def check_whole_text(self, generation: str, text: str) -> None:
        """Checks an answer that was not streamed.

        Args:
            generation: Id of its generation.
            text: Text of the answer.
        """
        expected_text = engine_tokens.answer_text(
            generation, self.expected_tokens
        )
        self.finished = True
        if text != expected_text:
            self.fault = 'the text differs from the answer of its generation'

    def _check_token(self, generation: str, text: str) -> None:
        self._generation = self._generation or generation
        if generation != self._generation:
            self.fault = self.fault or 'tokens of two generations'
        elif text == engine_tokens.token_text(generation, self.tokens):
            self.tokens += 1
        elif self._is_duplicate(generation, text):
            self.duplicated_tokens += 1
        else:
            self.fault = self.fault or (
                f'{text!r} arrived instead of token {self.tokens}'
            )

    def _is_duplicate(self, generation: str, text: str) -> bool:
        return any(
            text == engine_tokens.token_text(generation, index)
            for index in range(self.tokens)
        )

    def _check_length(self) -> None:
        if self.tokens != self.expected_tokens:
            self.fault = self.fault or (
                f'{self.tokens} tokens instead of {self.expected_tokens}'
            )


def _content(chunk: dict) -> str:
    choices = chunk.get('choices') or [{}]
    choice = choices[0]
    if 'delta' in choice:
        return choice['delta'].get('content') or ''
    return choice.get('text') or ''


class Caller:
    """Sends requests through the balancer and checks the answers."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        balancer: balancer_module.Balancer,
    ) -> None:
        self._http = http
        self._balancer = balancer

    async def stream(
        self,
        organisation: str,
        body: dict,
        first_token_received: asyncio.Event | None = None,
    ) -> tally.CallResult:
        """Requests a streamed chat completion; resumes an interrupted stream.

        Args:
            organisation: Name of the organisation.
            body: Body of the request.
            first_token_received: Set when the first token arrives.

        Returns:
            The verified result of the request.
        """
        started_s = time.monotonic()
        checker = StreamChecker(_requested_tokens(body))
        url = self._balancer.pick()
        if url is None:
            return _no_instance_ready()
        first_token_s: float | None = None
        resumes = 0
        while True:
            try:
                response = await self._open_stream(
                    url, organisation, body, checker
                )
                if response.status != 200:
                    return await _refusal_result(response, checker, resumes)
                async for event in _events(response):
                    checker.check_event(*event)
                    if first_token_s is None and checker.tokens:
                        first_token_s = time.monotonic() - started_s
                        if first_token_received is not None:
                            first_token_received.set()
            except (aiohttp.ClientError, TimeoutError, OSError) as exc:
                checker.handover = bool(checker.last_id)
                detail = type(exc).__name__
            else:
                detail = 'the stream ended without its end mark'
            if checker.finished or checker.problem or checker.fault:
                return _checked_result(checker, first_token_s, resumes)
            if not checker.last_id or resumes >= _RESUME_ATTEMPTS:
                return tally.CallResult(
                    tally.Outcome.BROKEN,
                    resumes=resumes,
                    duplicated_tokens=checker.duplicated_tokens,
                    detail=detail,
                )
            resumes += 1
            await asyncio.sleep(_RESUME_PAUSE_S)
            url = self._balancer.pick(avoid=url) or url

    async def complete(
        self, organisation: str, body: dict
    ) -> tally.CallResult:
        """Requests a chat completion that is not streamed.

        Args:
            organisation: Name of the organisation.
            body: Body of the request.

        Returns:
            The verified result of the request.
        """
        url = self._balancer.pick()
        if url is None:
            return _no_instance_ready()
        headers = {'X-Organisation': organisation}
        try:
            async with self._http.post(
                f'{url}/v1/chat/completions', json=body, headers=headers
            ) as response:
                if response.status != 200:
                    return await _refusal_result(response, None, 0)
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return tally.CallResult(
                tally.Outcome.BROKEN, detail=type(exc).__name__
            )
        checker = StreamChecker(_requested_tokens(body))
        checker.check_whole_text(
            answer['id'], answer['choices'][0]['message']['content']
        )
        return _checked_result(checker, None, 0)

    async def call(
        self,
        organisation: str,
        path: str,
        body: dict,
        business_key: str,
        idempotency_key: str | None,
    ) -> tally.CallResult:
        """Calls a plain service once; does not retry.

        Args:
            organisation: Name of the organisation.
            path: Path of the request.
            body: Body of the request.
            business_key: Key by which the service counts executions; the
                answer has to repeat it.
            idempotency_key: Idempotency key of the call; None for none.

        Returns:
            The verified result of the request.
        """
        url = self._balancer.pick()
        if url is None:
            return _no_instance_ready(business_key)
        headers = {'X-Organisation': organisation}
        if idempotency_key is not None:
            headers['Idempotency-Key'] = idempotency_key
        try:
            async with self._http.post(
                f'{url}{path}', json=body, headers=headers
            ) as response:
                if response.status >= 400:
                    result = await _refusal_result(response, None, 0)
                    return attrs.evolve(result, business_key=business_key)
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return tally.CallResult(
                tally.Outcome.BROKEN,
                detail=type(exc).__name__,
                business_key=business_key,
            )
        key_matches = answer.get('key') == business_key
        return tally.CallResult(
            tally.Outcome.WHOLE if key_matches else tally.Outcome.BROKEN,
            detail=''
            if key_matches
            else 'the answer belongs to another request',
            business_key=business_key,
        )

    async def _open_stream(
        self,
        url: str,
        organisation: str,
        body: dict,
        checker: StreamChecker,
    ) -> aiohttp.ClientResponse:
        headers = {'X-Organisation': organisation}
        if checker.last_id:
            headers['Last-Event-ID'] = checker.last_id
            return await self._http.get(f'{url}/v1/streams', headers=headers)
        return await self._http.post(
            f'{url}/v1/chat/completions',
            json={**body, 'stream': True},
            headers=headers,
        )


def _requested_tokens(body: dict) -> int:
    return body['metadata']['output_tokens']


def _no_instance_ready(business_key: str = '') -> tally.CallResult:
    return tally.CallResult(
        tally.Outcome.REFUSED,
        execution='not run',
        code='balancer-no-instance',
        business_key=business_key,
    )


def _checked_result(
    checker: StreamChecker, first_token_s: float | None, resumes: int
) -> tally.CallResult:
    problem = checker.problem or {}
    if checker.fault:
        outcome = tally.Outcome.BROKEN
    elif problem:
        outcome = tally.Outcome.INCOMPLETE
    else:
        outcome = (
            tally.Outcome.WHOLE if checker.finished else tally.Outcome.BROKEN
        )
    return tally.CallResult(
        outcome,
        execution=str(problem.get('execution', '')),
        code=str(problem.get('code', '')),
        duplicated_tokens=checker.duplicated_tokens,
        first_token_s=first_token_s,
        resumes=resumes,
        detail=checker.fault or str(problem.get('detail', '')),
    )


async def _refusal_result(
    response: aiohttp.ClientResponse,
    checker: StreamChecker | None,
    resumes: int,
) -> tally.CallResult:
    body = await response.read()
    duplicated = checker.duplicated_tokens if checker else 0
    if response.content_type != 'application/problem+json':
        return tally.CallResult(
            tally.Outcome.BROKEN,
            duplicated_tokens=duplicated,
            resumes=resumes,
            detail=f'status {response.status} without a problem document',
        )
    problem = orjson.loads(body)
    outcome = tally.Outcome.REFUSED
    if checker is not None and checker.last_id:
        outcome = tally.Outcome.INCOMPLETE
    return tally.CallResult(
        outcome,
        execution=str(problem.get('execution', '')),
        code=str(problem.get('code', '')),
        duplicated_tokens=duplicated,
        resumes=resumes,
        detail=str(problem.get('detail', '')),
    )


async def _events(response: aiohttp.ClientResponse):
    """Yields the id, name and data of each server-sent event."""
    event_id, name, data = '', '', []
    async for raw in response.content:
        line = raw.decode().rstrip('\r\n')
        if not line:
            if data:
                yield event_id, name, '\n'.join(data)
            event_id, name, data = '', '', []
            continue
        field, _, value = line.partition(':')
        value = value.removeprefix(' ')
        match field:
            case 'id':
                event_id = value
            case 'event':
                name = value
            case 'data':
                data.append(value)
