"""Encoding of the waiting generations of an instance in its digests.

A row of a queue takes at most 60 bytes: names are sent as hashes, and
priorities and times are limited.
"""

from typing import Any

from dotterelweir_core.gateway import service_order
from dotterelweird.gateway import datagram_fields

# Greatest absolute value of a priority and of a time in milliseconds.
_PRIORITY_MAX = 9_999
_TIME_MAX_MS = 999_999
# Greatest number of tokens of an organisation.
_TOKENS_MAX = 999_999_999
# Maximum number of heads in a digest: 26 services with two queues each.
_HEADS_MAX = 64


def encode(state: service_order.WaitingState) -> list[Any]:
    """Returns the value of the field of a digest.

    Args:
        state: The waiting generations of the instance.
    """
    heads = [_encode_head(head) for head in state.heads[:_HEADS_MAX]]
    uses = [
        [organisation, _limit(tokens, _TOKENS_MAX)]
        for organisation, tokens in state.uses.items()
    ]
    return [heads, uses]


def decode(value: Any) -> service_order.WaitingState:
    """Decodes the field of a digest.

    Raises:
        ValueError: The value is malformed.
        TypeError: The value is malformed.
    """
    heads, uses = value
    return service_order.WaitingState(
        tuple(_decode_head(row) for row in heads[:_HEADS_MAX]),
        {
            datagram_fields.decode_integer(
                organisation
            ): datagram_fields.decode_duration_s(tokens)
            for organisation, tokens in uses[: service_order.USES_MAX]
        },
    )


def _encode_head(head: service_order.QueueHead) -> list[int]:
    return [
        head.queue.service_hash,
        int(head.queue.prefill_bound),
        _limit(head.urgency.priority, _PRIORITY_MAX),
        _limit(head.urgency.route_priority, _PRIORITY_MAX),
        _limit(head.late_in_s * 1000, _TIME_MAX_MS),
        _limit(head.due_in_s * 1000, _TIME_MAX_MS),
        int(head.over_share),
    ]


def _decode_head(row: list[Any]) -> service_order.QueueHead:
    service_hash, kind, priority, route_priority, late_ms, due_ms, over = row
    return service_order.QueueHead(
        service_order.QueueKey(
            datagram_fields.decode_integer(service_hash), bool(kind)
        ),
        service_order.Urgency(
            datagram_fields.decode_integer(priority, -_PRIORITY_MAX),
            datagram_fields.decode_integer(route_priority, -_PRIORITY_MAX),
        ),
        datagram_fields.decode_number(late_ms) / 1000.0,
        datagram_fields.decode_number(due_ms) / 1000.0,
        bool(over),
    )


def _limit(number: float, bound: int) -> int:
    return int(max(-bound, min(bound, number)))
