"""Records of the claim streams."""

import attrs
import cattrs
from cattrs import strategies
from cattrs.preconf import orjson as orjson_converter

from dotterelweir_core import errors


def _validate_not_empty(
    instance: object, attribute: attrs.Attribute, value: str
) -> None:
    if not value:
        raise ValueError('must not be empty')


@attrs.frozen
class Claim:
    """A claim of an instance to execute the call of an idempotency key.

    Attributes:
        claim_id: Unique id of the claim; repeated appends share it.
        key_hash: Hash of organisation, route and key.
        request_hash: Hash of the request.
        key_time_s: Creation time in the key, in seconds since the Unix
            epoch; None without one.
    """

    claim_id: str = attrs.field(validator=_validate_not_empty)
    key_hash: str = attrs.field(validator=_validate_not_empty)
    request_hash: str
    key_time_s: float | None = None


@attrs.frozen
class Release:
    """The release of a claim whose call was not and will not be executed.

    The key can be claimed again.

    Attributes:
        claim_id: Unique id of the claim.
        key_hash: Hash of the claim's key.
    """

    claim_id: str = attrs.field(validator=_validate_not_empty)
    key_hash: str = attrs.field(validator=_validate_not_empty)


@attrs.frozen
class Outcome:
    """The outcome of a claimed call that has ended.

    Attributes:
        claim_id: Unique id of the claim.
        key_hash: Hash of the claim's key.
        execution: Whether the call was executed.
        status: HTTP status of the response; None without a response.
        headers: Headers of the response.
        body: Body of the response; None if it was not kept.
    """

    claim_id: str = attrs.field(validator=_validate_not_empty)
    key_hash: str = attrs.field(validator=_validate_not_empty)
    execution: errors.Execution
    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


ClaimRecord = Claim | Release | Outcome

_CONVERTER = orjson_converter.make_converter()
strategies.configure_tagged_union(
    ClaimRecord,
    _CONVERTER,
    tag_name='kind',
    tag_generator=lambda record_type: record_type.__name__.lower(),
)


def encode(record: ClaimRecord) -> bytes:
    """Encodes a record as JSON with a ``kind`` field."""
    return _CONVERTER.dumps(record, unstructure_as=ClaimRecord)


def decode(data: bytes) -> ClaimRecord:
    """Decodes a record; unknown fields are ignored.

    Raises:
        ValueError: The data is not a valid claim record.
    """
    try:
        return _CONVERTER.loads(data, ClaimRecord)
    except (cattrs.BaseValidationError, KeyError, TypeError) as error:
        raise ValueError(f'not a claim record: {error}') from error
