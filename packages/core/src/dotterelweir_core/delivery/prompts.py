"""Estimates of the size of a prompt and hashes of its prefixes.

An instance has no tokenizer; it counts four bytes of text as one token.
"""

import typing

import xxhash

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64
MAX_BLOCKS = 32

_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def prompt_bytes(body: dict[str, typing.Any]) -> bytes:
    """Returns the text of the prompt of a request.

    Args:
        body: The decoded JSON body of a chat or a completion request.

    Raises:
        ValueError: The body has neither a prompt nor messages, or a message
            is not an object.
    """
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        return prompt.encode()
    if isinstance(prompt, list) and all(isinstance(p, str) for p in prompt):
        return '\n'.join(prompt).encode()
    if isinstance(prompt, list) and all(isinstance(p, int) for p in prompt):
        # Token ids; each is written with the bytes of about one token.
        return ' '.join(f'{p:03x}' for p in prompt).encode()
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise ValueError('needs "messages" or "prompt"')
    parts = []
    for message in messages:
        if not isinstance(message, dict):
            raise ValueError('each message must be an object')
        parts.append(f'{message.get("role")}\n{_message_text(message)}\n')
    return ''.join(parts).encode()


def prompt_tokens(prompt: bytes) -> int:
    """Estimates the number of tokens of a prompt; at least 1."""
    return max(1, len(prompt) // BYTES_PER_TOKEN)


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Returns hashes of the prefixes of 1, 2, 3 ... whole blocks.

    Covers the first ``MAX_BLOCKS`` blocks of ``BLOCK_TOKENS`` tokens each,
    shortest prefix first.
    """
    state = xxhash.xxh3_64()
    hashes = []
    end = min(len(prompt) // _BLOCK_BYTES, MAX_BLOCKS) * _BLOCK_BYTES
    for start in range(0, end, _BLOCK_BYTES):
        state.update(prompt[start : start + _BLOCK_BYTES])
        hashes.append(state.intdigest())
    return tuple(hashes)


def _message_text(message: dict[str, typing.Any]) -> str:
    content = message.get('content')
    if isinstance(content, list):
        return ''.join(
            str(part.get('text', ''))
            for part in content
            if isinstance(part, dict)
        )
    return '' if content is None else str(content)
