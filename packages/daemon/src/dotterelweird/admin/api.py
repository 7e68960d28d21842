"""What the operators' HTTP interface asks of the daemon."""

import abc

import attrs


@attrs.frozen
class ExplainQuery:
    """A request that an operator asks about.

    Attributes:
        path: URL path.
        model: Model that the request names.
        organisation: Organisation of the request.
        prompt_tokens: Size of the prompt, in tokens.
        max_output_tokens: Bound on the output; None for none.
    """

    path: str
    model: str = ''
    organisation: str = ''
    prompt_tokens: int = 100
    max_output_tokens: int | None = None


class AdminQueries(abc.ABC):
    """Queries of the running instance; none changes anything.

    Each returns plain data that can be encoded as JSON.
    """

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """State of the instance, its tables, targets, peers and work."""

    @abc.abstractmethod
    def tables(self) -> dict[str, object]:
        """Routes and pools in force, with their revision."""

    @abc.abstractmethod
    def explain(self, query: ExplainQuery) -> dict[str, object]:
        """Route, pool and target that a request would get, and why."""
