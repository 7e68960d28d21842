"""Claims idempotency keys in the log before calls are dispatched."""

import random
import uuid

from dotterelweir_core import errors
from dotterelweir_core import timers
from dotterelweir_core.claims import keys
from dotterelweir_logservice import api as platform_api
from dotterelweird.claims import api as claims_api
from dotterelweird.claims import refusals as claim_errors
from dotterelweird.claims import stream as claim_stream
from dotterelweird.settings import model as settings_model

# Bounds the memory of the claim tables to about 24 MB; 100,000 claims took
# 47 MB.
TABLE_MAX_CLAIMS = 50_000


class ClaimsService(claims_api.Claims):
    """Spreads claims over the claim streams by hash of their key."""

    def __init__(
        self,
        log: platform_api.LogClient,
        timer: timers.TimerService,
        rng: random.Random,
        platform: settings_model.Platform,
        claims: settings_model.Claims,
        run_id: str | None = None,
    ) -> None:
        """Creates the service; ``start`` begins its work.

        Args:
            log: The log service.
            timer: Source of time.
            rng: Random source of the backoff.
            platform: Settings of the platform's services.
            claims: Settings of claims.
            run_id: Name of this run of the process, for tests. It must
                never be used again, because a run releases claims that bear
                its name; so it does not come from the seeded source.

        Raises:
            DotterelweirError: SETTINGS_INVALID if claims could expire while
                they matter.
        """
        _check_settings(platform, claims)
        self._timer = timer
        self._settings = claims
        self._streams = [
            claim_stream.ClaimStream(
                log,
                f'{platform.claim_stream_prefix}{number}',
                timer,
                rng,
                platform,
                claims,
                run_id or uuid.uuid4().hex,
            )
            for number in range(platform.claim_partitions)
        ]

    def start(self) -> None:
        """Begins to follow the claim streams."""
        for stream in self._streams:
            stream.start()

    async def stop(self, drain_s: float = 2.0) -> None:
        """Stops after waiting outcomes and releases were appended.

        Args:
            drain_s: Most time to spend on that, in seconds.
        """
        for stream in self._streams:
            await stream.stop(drain_s)

    async def claim(
        self, request: claims_api.ClaimRequest
    ) -> claims_api.Grant | claims_api.Outcome:
        key = keys.parse(request.key, request.route.key_format)
        self._check_age(key)
        key_hash = keys.key_hash(request.organisation, request.route.name, key)
        partition_number = keys.partition(key_hash, len(self._streams))
        stream = self._streams[partition_number]
        if sum(len(each) for each in self._streams) >= TABLE_MAX_CLAIMS:
            raise claim_errors.unavailable(
                f'There are {TABLE_MAX_CLAIMS} claims already'
            )
        return await stream.claim(
            key_hash, request.request_hash, key.time_s, request.deadline_s
        )

    def _check_age(self, key: keys.IdempotencyKey) -> None:
        """Refuses early what the log's clock would refuse too."""
        if key.time_s is None:
            return
        age_s = self._timer.wall_s() - key.time_s
        if age_s > self._settings.window_s:
            raise claim_errors.key_expired()
        if age_s < -keys.FUTURE_TOLERANCE_S:
            raise claim_errors.key_in_future()


def _check_settings(
    platform: settings_model.Platform, claims: settings_model.Claims
) -> None:
    # An expired claim frees its key, so a holder must be certain to have
    # dispatched or given up long before.
    if claims.window_s < 2.0 * claims.dispatch_limit_s:
        raise errors.DotterelweirError(
            errors.ErrorKind.SETTINGS_INVALID,
            'claims.window_s must be at least twice claims.dispatch_limit_s',
        )
    longest_s = claims.window_s + keys.FUTURE_TOLERANCE_S
    if longest_s >= platform.log_retention_s:
        raise errors.DotterelweirError(
            errors.ErrorKind.SETTINGS_INVALID,
            'claims.window_s must be at least '
            f'{keys.FUTURE_TOLERANCE_S:g} s below platform.log_retention_s',
        )
