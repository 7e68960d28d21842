"""Tests of the estimates and hashes of prompts."""

import pytest

from dotterelweir_core.delivery import prompts


def test_prefixes_are_hashed_by_whole_blocks():
    """Guards against hashes that differ for prompts with equal prefixes."""
    first = prompts.prefix_hashes(b'a' * 256 + b'b' * 256 + b'c' * 100)
    second = prompts.prefix_hashes(b'a' * 256 + b'x' * 256)
    assert len(first) == len(second) == 2
    assert first[0] == second[0]
    assert first[1] != second[1]
    assert prompts.prefix_hashes(b'a' * 255) == ()
    assert len(prompts.prefix_hashes(b'a' * 100_000)) == 32


@pytest.mark.parametrize(
    ('body', 'tokens'),
    [
        ({'prompt': 'x' * 400}, 100),
        ({'prompt': ['x' * 200, 'y' * 200]}, 100),
        ({'prompt': list(range(100))}, 99),
        ({'messages': [{'role': 'user', 'content': 'x' * 395}]}, 100),
        (
            {
                'messages': [
                    {
                        'role': 'user',
                        'content': [{'type': 'text', 'text': 'x' * 395}],
                    }
                ]
            },
            100,
        ),
        ({'messages': [{'role': 'tool', 'content': None}]}, 1),
    ],
)
def test_prompt_sizes_are_estimated(body, tokens):
    """Guards against forms of a prompt that are counted as empty."""
    estimate = prompts.prompt_tokens(prompts.prompt_bytes(body))
    assert abs(estimate - tokens) <= 1


@pytest.mark.parametrize(
    'body', [{}, {'messages': []}, {'messages': ['x']}, {'prompt': 3}]
)
def test_bodies_without_a_prompt_are_rejected(body):
    """Guards against a crash on a malformed body."""
    with pytest.raises(ValueError, match='must be|needs'):
        prompts.prompt_bytes(body)
