// Package explain reconstructs from the logs of several nodes how one request ended and
// why.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/gateway"
)

// contextWindow is the time before and after a request in which changes of its node's
// state are reported.
const contextWindow = 5 * time.Second

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is one event in a log.
type Line struct {
	Time  time.Time
	Node  string
	Event event.ID
	// Fields holds all fields of the line.
	Fields map[string]any
}

// Explanation describes how one request was processed, according to the logs.
type Explanation struct {
	Request string   `json:"request"`
	Node    string   `json:"node"`
	Status  int      `json:"status"`
	Cause   string   `json:"cause"`
	Verdict string   `json:"verdict"`
	Steps   []string `json:"steps"`
	// NodeEvents lists the changes of the state of the request's node around that time.
	NodeEvents []string `json:"beliefs,omitempty"`
}

// Read parses a log. It skips lines that are not events, and ignores text before the
// opening brace, which log collectors add.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "explain: read a log")
}

func parse(text []byte) (Line, bool) {
	fields := map[string]any{}
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	number, ok := fields["event"].(float64)
	if !ok {
		return Line{}, false
	}
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return Line{}, false
	}
	node, _ := fields["node"].(string)
	return Line{
		Time:   at,
		Node:   node,
		Event:  event.ID(number),
		Fields: fields,
	}, true
}

// Request explains a request. It fails if the logs contain no line of it.
func Request(id string, lines []Line) (Explanation, error) {
	explanation := Explanation{Request: id}
	var requestLines []Line
	for _, line := range lines {
		if line.Fields["request"] == id {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return explanation, eris.Errorf("explain: the logs contain no line of request %s; the node may have been killed before it wrote one, or log lines were dropped (event %d)", id, event.LinesDropped)
	}
	slices.SortStableFunc(requestLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range requestLines {
		explanation.Steps = append(explanation.Steps, describeLine(line))
	}
	end := requestLines[len(requestLines)-1]
	explanation.Node = end.Node
	if end.Event == event.RequestEnded || end.Event == event.RequestRefused {
		explanation.Status = int(numberField(end, "status"))
		explanation.Cause, _ = end.Fields["cause"].(string)
	}
	explanation.Verdict = verdict(end, explanation, lines)
	explanation.NodeEvents = describeNodeState(lines, end.Node, requestLines[0].Time, end.Time)
	return explanation, nil
}

// partitionDetectionTime is the time a node needs at most to detect that it cannot reach the
// control group.
const partitionDetectionTime = 2 * time.Second

// controlLostSoonAfter reports whether the node that logged the line end detected, within
// partitionDetectionTime after that line, that it could not reach the control group.
func controlLostSoonAfter(lines []Line, end Line) bool {
	for _, line := range lines {
		after := line.Time.Sub(end.Time)
		if line.Node == end.Node && line.Event == event.ControlLost && after > 0 && after < partitionDetectionTime {
			return true
		}
	}
	return false
}

func numberField(line Line, field string) float64 {
	n, _ := line.Fields[field].(float64)
	return n
}

// describeLine describes one log line of the request.
func describeLine(line Line) string {
	at := line.Time.Format("15:04:05.000")
	f := func(format string, fields ...string) string {
		values := []any{at, line.Node}
		for _, field := range fields {
			values = append(values, line.Fields[field])
		}
		return fmt.Sprintf("%s %s: "+format, values...)
	}
	switch line.Event {
	case event.RequestPlaced:
		return f("attempt %v goes to %v of %v usable instances; predicted wait %v ms, load report %v ms old (-1: none), list %v ms old, %v ms left",
			"attempt", "instance", "candidates", "predictedMillis", "loadAgeMillis", "listAgeMillis", "leftMillis")
	case event.AttemptFailed:
		return f("attempt at %v failed: %v (%v); %v ms left", "instance", "outcome", "error", "leftMillis")
	case event.RequestEnded, event.RequestRefused:
		return f("ended with status %v, cause %q, after %v ms and %v attempts; configuration %v, control group reachable: %v",
			"status", "cause", "tookMillis", "attempts", "version", "controlFresh")
	}
	return f("%v", "message")
}

// verdict explains why the request ended as it did.
func verdict(end Line, explanation Explanation, lines []Line) string {
	switch gateway.Cause(explanation.Cause) {
	case gateway.CauseNone:
		if explanation.Status == 0 {
			return "the logs do not contain its end: the node may have been killed, or the request was still in flight"
		}
		return "an instance responded to it"
	case gateway.CauseNoQuota:
		return quotaVerdict(end, lines)
	case gateway.CauseBudgetSpent:
		return fmt.Sprintf("its workspace's budget is used up: the ledger had %v tokens free and %v leased to other nodes, and the request could cost %v",
			end.Fields["budgetFreeTokens"], end.Fields["leasedElsewhereTokens"], end.Fields["costTokens"])
	case gateway.CauseDeadline:
		return fmt.Sprintf("instance %v had not answered when the caller's time or the route's timeout was over", end.Fields["instance"])
	case gateway.CauseInDoubt:
		return fmt.Sprintf("the connection to instance %v ended before the response was complete; the work may have run, so it was not sent again", end.Fields["instance"])
	case gateway.CauseInstanceFailed:
		return fmt.Sprintf("instance %v ran it and failed", end.Fields["instance"])
	case gateway.CauseInstanceBusy:
		return busyVerdict(end)
	case gateway.CauseRequestSuspended:
		return fmt.Sprintf("instances had crashed on the same request before, whose identity %v is suspended for %v ms more; it was not sent to another instance",
			end.Fields["suspendedPart"], end.Fields["suspendedMillis"])
	case gateway.CausePartSuspended:
		return fmt.Sprintf("engines had crashed on part %v of its prompt, which is suspended for %v ms more; it was not sent to another engine",
			end.Fields["suspendedPart"], end.Fields["suspendedMillis"])
	case gateway.CauseNodeBusy:
		return "its node had as many requests in flight as its memory allows; it has not run"
	case gateway.CauseNoInstance:
		return "its service had no listed instances, or all of them were draining"
	case gateway.CauseEvacuated:
		return "all instances of its service were in evacuated data centres; it has not run"
	case gateway.CauseUnreachable:
		return "no connection to an instance could be opened; it has not run"
	case gateway.CauseNoConfiguration:
		return "the node had just started and had no configuration yet"
	case gateway.CauseUnknownKey:
		return fmt.Sprintf("its key is in no workspace of configuration %v", end.Fields["version"])
	case gateway.CauseNoRoute:
		return fmt.Sprintf("no route of configuration %v matches its host and path", end.Fields["version"])
	case gateway.CauseUnconfirmed:
		return fmt.Sprintf("configuration %v does not have its route or key, but had not been confirmed to be the newest for %v ms: the node was out of touch with the control group; it has not run",
			end.Fields["version"], end.Fields["unconfirmedMillis"])
	case gateway.CauseCallerDisconnected:
		return "its caller disconnected before the response was complete"
	}
	return "cause: " + explanation.Cause
}

// busyVerdict explains a refusal for want of an instance that takes requests.
func busyVerdict(end Line) string {
	if numberField(end, "limitedInstances") > 0 {
		return fmt.Sprintf("all instances were full, %v of them for the limits that they name, which other requests had used up; the first takes requests again in %v ms; it has not run",
			end.Fields["limitedInstances"], end.Fields["fullMillis"])
	}
	return "every instance that was tried refused it for lack of capacity; it has not run"
}

// quotaVerdict explains why the node had no quota.
func quotaVerdict(end Line, lines []Line) string {
	reachable := end.Fields["controlFresh"]
	switch {
	case reachable == false:
		return "its workspace's quota on this node was used up while the control group could not be reached, and no other node could lend; the budget itself may have more"
	case reachable == true && controlLostSoonAfter(lines, end):
		return "this node's quota was used up and no more arrived: the node lost contact with the control group a moment later, so a partition had begun that was not detected yet; the budget itself may have more"
	case end.Fields["cutOff"] == true:
		return "the nodes that hold its workspace's quota had used theirs up while the control group could not be reached; the budget itself may have more"
	}
	return "this node's quota was used up and more did not arrive in time; the ledger may have been electing a leader or recalling quota"
}

// nodeStateEvents are the events that change a node's state, its connection to the control
// group, or its view of the configuration and the instances.
var nodeStateEvents = map[event.ID]bool{
	event.NodeStarted:      true,
	event.NodeStopping:     true,
	event.NodeReloaded:     true,
	event.ControlConnected: true,
	event.ControlLost:      true,
	event.RoutingInForce:   true,
	event.ListUnreadable:   true,
	event.ListReadable:     true,
	event.LinesDropped:     true,
	event.PartJudged:       true,
	event.InstanceLimited:  true,
}

func describeNodeState(lines []Line, node string, from, to time.Time) []string {
	var descriptions []string
	for _, line := range lines {
		near := line.Time.After(from.Add(-contextWindow)) && line.Time.Before(to.Add(contextWindow))
		if line.Node != node || !near || !nodeStateEvents[line.Event] {
			continue
		}
		text := fmt.Sprintf("%s %v", line.Time.Format("15:04:05.000"), line.Fields["message"])
		for _, field := range []string{"replica", "error", "version", "part", "instance", "state", "perSecond"} {
			if value, ok := line.Fields[field]; ok && value != nil {
				text += fmt.Sprintf(", %s %v", field, value)
			}
		}
		descriptions = append(descriptions, text)
	}
	slices.Sort(descriptions)
	return descriptions
}

// Text returns the explanation as readable text.
func (e Explanation) Text() string {
	text := strings.Builder{}
	_, _ = fmt.Fprintf(&text, "request %s on %s: %s\n", e.Request, e.Node, e.Verdict)
	for _, step := range e.Steps {
		_, _ = fmt.Fprintf(&text, "  %s\n", step)
	}
	if len(e.NodeEvents) > 0 {
		_, _ = fmt.Fprintf(&text, "state changes of %s at about that time:\n", e.Node)
		for _, nodeEvent := range e.NodeEvents {
			_, _ = fmt.Fprintf(&text, "  %s\n", nodeEvent)
		}
	}
	return text.String()
}
