"""Messages of clients and upstreams, written by hand and fed to a judge."""

from __future__ import annotations

from fescueshunt_standins.hosted import judge, judge_rules

SUCCESS = "COMPLETE -"


class Conversation:
    """Feeds a judge; all messages of a request follow each other."""

    def __init__(self, checked: judge.Judge | None = None) -> None:
        self.judge = checked or judge.Judge()

    def rules(self) -> set[judge_rules.Rule]:
        """Returns the rules that were broken."""
        return {violation.rule for violation in self.judge.violations}

    def open(self, *clients: str) -> None:
        """Opens sessions of clients."""
        for client in clients:
            self.judge.client_sent(client, b"START db caller\r\n")
            self.judge.client_received(client, b"READY I -\r\n")

    def connect(self, *connections: str) -> None:
        """Opens connections to upstreams."""
        for conn in connections:
            self.judge.upstream_received(conn, b"START db proxy u-a\r\n")
            self.judge.upstream_sent(conn, b"READY I 1.0\r\n")

    def send(self, client: str, text: str, statement_id: str = "") -> None:
        """Lets a client send a statement, by default with its name as id."""
        line = f"QUERY {statement_id or client} {text}\r\n"
        self.judge.client_sent(client, line.encode("latin-1"))

    def answer(self, client: str, *lines: str, state: str = "I") -> None:
        """Lets a client receive an answer."""
        for line in (*lines, f"READY {state} -"):
            self.judge.client_received(client, f"{line}\r\n".encode("latin-1"))

    def run(
        self,
        conn: str,
        text: str,
        *lines: str,
        state: str = "I",
    ) -> None:
        """Lets an upstream receive a request and answer it.

        Args:
          conn: the connection.
          text: the id and the text of the request.
          lines: the answer without its last message; by default a success.
          state: the state of the connection after it.
        """
        request = f"QUERY {text}\r\n".encode("latin-1")
        self.judge.upstream_received(conn, request)
        for line in (*(lines or (SUCCESS,)), f"READY {state} 1.0"):
            self.judge.upstream_sent(conn, f"{line}\r\n".encode("latin-1"))

    def serve(
        self, client: str, conn: str, text: str, receipt: str, state: str = "I"
    ) -> None:
        """Passes a client's statement on unchanged, and its answer back."""
        self.send(client, text)
        self.run(conn, f"{client} {text}", f"COMPLETE {receipt}", state=state)
        self.answer(client, f"COMPLETE {receipt}", state=state)

    def answer_locally(self, client: str, text: str) -> None:
        """Lets the proxy acknowledge a statement by itself."""
        self.send(client, text)
        self.answer(client, SUCCESS)

    def begin(self, client: str, conn: str, text: str = "BEGIN") -> None:
        """Opens a transaction of a client on a connection."""
        self.serve(client, conn, text, "-", state="T")


def start(*clients: str, connections: tuple[str, ...]) -> Conversation:
    """Returns a conversation with open sessions and connections."""
    conversation = Conversation()
    conversation.open(*clients)
    conversation.connect(*connections)
    return conversation
