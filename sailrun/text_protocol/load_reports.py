"""Reports the values of the form servers' LOAD lines to the node, as loads or as delays."""

from __future__ import annotations

from sailrun.decisions.load_range import LoadOutOfRangeError
from sailrun.node.clock import log
from sailrun.node.core import Node
from sailrun.node.counters import InputSource
from sailrun.node.session import FormSession
from sailrun.text_protocol.lines import parse_load
from sailrun.text_protocol.load_lines import Load, LoadLineClassifier


class FormServerLoads:
    """The classifiers of the form servers' LOAD lines, by name."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._classifiers: dict[str, LoadLineClassifier[LoadReporter]] = {}
        self._servers_with_rejected_load: set[str] = set()

    def classifier_of(self, server_name: str) -> LoadLineClassifier[LoadReporter]:
        """Returns the classifier of a form server."""
        classifier = self._classifiers.get(server_name)
        if classifier is None:
            classifier = LoadLineClassifier(self._node.reported_delay_threshold_ms)
            self._classifiers[server_name] = classifier
        return classifier

    def report_rejected(self, server_name: str, error: LoadOutOfRangeError) -> None:
        """Counts a LOAD line that cannot be used, and logs the first one of each form server."""
        self._node.input_rejected(InputSource.FORM_SERVER)
        if server_name not in self._servers_with_rejected_load:
            self._servers_with_rejected_load.add(server_name)
            log("load-rejected", server=server_name, why=f"the load {error}")


class LoadReporter:
    """The load of one established session."""

    def __init__(
        self, node: Node, loads: FormServerLoads, session: FormSession, server_name: str, load: float | None
    ) -> None:
        """`load`: as a predecessor last reported it."""
        self._node, self._loads, self._session, self._server_name = node, loads, session, server_name
        self.load = load  # the last reported load, and the one before it
        self._previous_load: float | None = None

    def handle_line(self, line: bytes) -> bool:
        """Reports the value of a LOAD line; returns False for any other line, and for a value that cannot be
        used: the load last reported then stays in force.
        """
        try:
            value = parse_load(line)
        except LoadOutOfRangeError as error:
            self._loads.report_rejected(self._server_name, error)
            return False
        if value is not None:
            self._report(value)
        return value is not None

    def _report(self, value: float) -> None:
        classifier = self._loads.classifier_of(self._server_name)
        report = classifier.classify(self._node.clock.now_us(), value, self)
        if isinstance(report, Load):
            self._previous_load, self.load = self.load, value
            self._node.report_load(self._session, value)
            return
        self._node.report_delay(self._session, report.value)
        if report.misclassified_source is not None:
            report.misclassified_source.restore_load()

    def report_again(self) -> None:
        """Reports the load of a session that was taken over."""
        if self.load is not None:
            self._node.report_load(self._session, self.load)

    def restore_load(self) -> None:
        """Reports the load before the last one again, because the last value was a delay and not a load."""
        if self._previous_load is not None:
            self.load = self._previous_load
            self._node.report_load(self._session, self.load)
