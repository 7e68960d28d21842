"""Tokens that are derived from the generation's id and the token's index."""

import random

import orjson
import xxhash


def token_text(generation_id: str, index: int) -> str:
    """Returns the text of one token.

    It contains the index and a hash, so that a test can check the order of
    the tokens and the generation that they come from.
    """
    digest = xxhash.xxh32_hexdigest(f'{generation_id}:{index}'.encode())
    return f' {index}-{digest[:4]}'


def answer_text(generation_id: str, count: int) -> str:
    """Returns the text of a complete answer.

    Args:
        generation_id: Id of the generation.
        count: Number of tokens.
    """
    return ''.join(token_text(generation_id, i) for i in range(count))


def draw_length(rng: random.Random, median: int, longest: int) -> int:
    """Draws an output length from a heavy-tailed distribution.

    Args:
        rng: Random source.
        median: Median length, in tokens.
        longest: Maximum length, in tokens.

    Returns:
        The length, in tokens.
    """
    drawn = median * rng.lognormvariate(0.0, 1.0)
    return max(1, min(longest, round(drawn)))


class EventWriter:
    """Encodes the server-sent events of one generation.

    Args:
        generation_id: Id of the generation.
        model: Name of the model.
        chat: Whether the events are chunks of a chat completion.
    """

    def __init__(self, generation_id: str, model: str, chat: bool) -> None:
        self._generation_id = generation_id
        self._chat = chat
        kind = 'chat.completion.chunk' if chat else 'text_completion'
        self._event_prefix = (
            b'{"id":'
            + orjson.dumps(generation_id)
            + b',"object":"'
            + kind.encode()
            + b'","created":0,"model":'
            + orjson.dumps(model)
            + b',"choices":[{"index":0,'
        )

    def token(self, index: int) -> bytes:
        """Returns the event of one token."""
        text = orjson.dumps(token_text(self._generation_id, index))
        if self._chat:
            choice = b'"delta":{"content":' + text + b'}'
        else:
            choice = b'"text":' + text
        return self._event(index, choice + b',"finish_reason":null')

    def finish(self, index: int, reason: str) -> bytes:
        """Returns the event after the last token.

        Args:
            index: Index of the event.
            reason: The finish reason.
        """
        choice = b'"delta":{}' if self._chat else b'"text":""'
        end = b',"finish_reason":' + orjson.dumps(reason)
        return self._event(index, choice + end)

    def _event(self, index: int, choice: bytes) -> bytes:
        return b'id: %d\ndata: %s%s}]}\n\n' % (
            index,
            self._event_prefix,
            choice,
        )


END_MARK = b'data: [DONE]\n\n'
