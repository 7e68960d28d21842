"""Queries that the operators' HTTP interface makes to the daemon."""

import abc

import attrs


@attrs.frozen
class ExplainQuery:
    """Attributes of a request whose decision is to be explained.

    Attributes:
        path: URL path.
        model: Model named by the request; empty if it names none.
        organisation: Organisation of the request; may be empty.
        prompt_tokens: Size of the prompt, in tokens.
        max_output_tokens: Upper bound on the output; None if unbounded.
    """

    path: str
    model: str = ''
    organisation: str = ''
    prompt_tokens: int = 100
    max_output_tokens: int | None = None


class AdminQueries(abc.ABC):
    """Read-only queries of the running instance.

    Each method returns plain data that can be encoded as JSON.
    """

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Returns the state of the instance and of its components.

        It covers the tables, requests, targets and peers.
        """

    @abc.abstractmethod
    def tables(self) -> dict[str, object]:
        """Returns the routes and pools in force, with their revision."""

    @abc.abstractmethod
    def explain(self, query: ExplainQuery) -> dict[str, object]:
        """Explains the decision on a request without dispatching it.

        Args:
            query: Attributes of the request.

        Returns:
            Match result of each route and the decision; if a route matches,
            also its pool and the candidate targets.
        """
