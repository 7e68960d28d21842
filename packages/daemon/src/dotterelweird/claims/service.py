"""Claims idempotency keys in the log before calls are dispatched.

A key belongs to one of several claim streams, chosen by its hash.
"""

import asyncio
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

# Limit on the claims held in memory, over all streams; a claim takes about
# 0.5 KB, so that all take about 24 MB.
TABLE_MAX_CLAIMS = 50_000


class ClaimsService(claims_api.Claims):
    """Claims keys in the claim stream that the hash of the key selects."""

    def __init__(
        self,
        log: platform_api.LogClient,
        timer: timers.TimerService,
        rng: random.Random,
        platform: settings_model.Platform,
        claims: settings_model.Claims,
        run_id: str | None = None,
    ) -> None:
        """Creates the service without starting it.

        Args:
            log: The log service.
            timer: Clock and timers.
            rng: Random source of the backoff.
            platform: Settings of the platform's services.
            claims: Settings of claims.
            run_id: Unique id of this run of the process; random by default.
                It must never be reused, because a run releases claims that
                carry its id. The default is therefore not drawn from
                ``rng``, which may be seeded.

        Raises:
            DotterelweirError: SETTINGS_INVALID if a claim could expire before
                its call is dispatched, or its record before the claim.
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
        """Starts reading and appending to the claim streams."""
        for stream in self._streams:
            stream.start()

    async def stop(self, drain_s: float = 2.0) -> None:
        """Appends queued outcomes and releases, then stops.

        Args:
            drain_s: Longest wait for all of them, in seconds.
        """
        await asyncio.gather(
            *(stream.stop(drain_s) for stream in self._streams)
        )

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
        """Rejects a key that is expired or in the future by the local clock.

        This saves an append. The decision in the stream applies the same
        limits with the clock of the log.
        """
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
    # An expired claim frees its key, so its holder must have dispatched or
    # abandoned the call well before the claim expires.
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
