"""Claims of idempotency keys; a placeholder that refuses all of them."""

from dotterelweir_core import errors
from dotterelweird import claims_api


class ClaimsService(claims_api.Claims):
    """Refuses every keyed call, which is what an outage of the log gives."""

    def __init__(self, *parts: object) -> None:
        del parts

    def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    async def claim(
        self, request: claims_api.ClaimRequest
    ) -> claims_api.Grant | claims_api.Outcome:
        raise errors.DotterelweirError(errors.ErrorKind.CLAIMS_UNAVAILABLE)
