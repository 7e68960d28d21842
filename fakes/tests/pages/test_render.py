"""Tests that the reference pages agree with the code."""

import pathlib

import pytest

from dotterelweir_fakes.pages import render

DOCS = pathlib.Path(__file__).parents[3] / 'docs'


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('events.md', render.events_page()),
        ('settings.md', render.settings_page()),
    ],
)
def test_page_agrees_with_the_code(name, text):
    """Guards against events or settings that differ from their page."""
    assert (DOCS / name).read_text() == text, (
        'render it again: python -m dotterelweir_fakes docs'
    )
