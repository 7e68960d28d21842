"""Adapter that sends orders to engines, over aiohttp."""

import aiohttp
import cattrs
import orjson

from dotterelweir_core import errors
from dotterelweir_core.orders import plan
from dotterelweir_core.targets import model as targets_model
from dotterelweird.orders import api as orders_api

_REFUSAL_STATUSES = frozenset({409, 410, 412, 429, 503})


class HttpOrderClient(orders_api.OrderClient):
    """Sends the desired state of an engine by PUT to ``/v1/desired``."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Creates the adapter.

        Args:
            session: HTTP session of the target adapters.
        """
        self._session = session

    async def send_order(
        self,
        target: targets_model.Target,
        order: plan.Order,
        timeout_s: float,
    ) -> None:
        document = {
            'fencing': order.fencing,
            'expires_at_s': order.expires_at_s,
            **cattrs.unstructure(order.desired),
        }
        try:
            async with self._session.put(
                f'{target.base_url}/v1/desired',
                data=orjson.dumps(document),
                headers={'Content-Type': 'application/json'},
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise _order_error(
                errors.ErrorKind.TARGET_UNREACHABLE, target, str(error)
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _order_error(
                errors.ErrorKind.TARGET_FAILED, target, str(error)
            ) from error
        if status in _REFUSAL_STATUSES:
            raise _order_error(
                errors.ErrorKind.TARGET_REFUSED, target, f'status {status}'
            )
        if not 200 <= status < 300:
            raise _order_error(
                errors.ErrorKind.TARGET_FAILED, target, f'status {status}'
            )


def _order_error(
    kind: errors.ErrorKind, target: targets_model.Target, reason: str
) -> errors.DotterelweirError:
    return errors.DotterelweirError(
        kind,
        f'The order to {target.target_id} failed: {reason}',
        errors.Execution.UNKNOWN
        if kind is errors.ErrorKind.TARGET_FAILED
        else errors.Execution.NOT_RUN,
    )
