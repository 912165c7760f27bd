// Package explain finds in the logs of several nodes what became of one request, and
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

// around is how long before and after the request what its node believed is told.
const around = 5 * time.Second

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time  time.Time
	Node  string
	Event event.ID
	// Fields holds all fields of the line.
	Fields map[string]any
}

// Explanation is what the logs tell of one request.
type Explanation struct {
	Request string   `json:"request"`
	Node    string   `json:"node"`
	Status  int      `json:"status"`
	Cause   string   `json:"cause"`
	Verdict string   `json:"verdict"`
	Steps   []string `json:"steps"`
	// NodeEvents are changes of what the request's node believed, at about that time.
	NodeEvents []string `json:"beliefs,omitempty"`
}

// Read reads a log. Lines that are no events are left out, as are words before the
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

// Request tells the story of a request. It fails where the logs have no line of it.
func Request(id string, lines []Line) (Explanation, error) {
	story := Explanation{Request: id}
	var own []Line
	for _, line := range lines {
		if line.Fields["request"] == id {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return story, eris.Errorf("explain: no line of request %s; the node may have been killed before it wrote one, or lines were dropped (event %d)", id, event.LinesDropped)
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range own {
		story.Steps = append(story.Steps, step(line))
	}
	end := own[len(own)-1]
	story.Node = end.Node
	if end.Event == event.RequestEnded || end.Event == event.RequestRefused {
		story.Status = int(number(end, "status"))
		story.Cause, _ = end.Fields["cause"].(string)
	}
	story.Verdict = verdict(end, story, lines)
	story.NodeEvents = beliefs(lines, end.Node, own[0].Time, end.Time)
	return story, nil
}

// noticed is how long a node takes to notice that the control group is out of reach.
const noticed = 2 * time.Second

// lostSoon reports whether a line's node lost the control group soon after it.
func lostSoon(lines []Line, end Line) bool {
	for _, line := range lines {
		after := line.Time.Sub(end.Time)
		if line.Node == end.Node && line.Event == event.ControlLost && after > 0 && after < noticed {
			return true
		}
	}
	return false
}

func number(line Line, field string) float64 {
	n, _ := line.Fields[field].(float64)
	return n
}

// step says what one line of the request means.
func step(line Line) string {
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
		return f("ended with status %v, cause %q, after %v ms and %v attempts; configuration %v, control group heard: %v",
			"status", "cause", "tookMillis", "attempts", "version", "controlFresh")
	}
	return f("%v", "message")
}

// verdict says in plain words why the request ended as it did.
func verdict(end Line, story Explanation, lines []Line) string {
	switch gateway.Cause(story.Cause) {
	case gateway.CauseNone:
		if story.Status == 0 {
			return "the logs do not hold its end: the node may have been killed, or still worked on it"
		}
		return "it was answered by an instance"
	case gateway.CauseNoQuota:
		return quotaVerdict(end, lines)
	case gateway.CauseBudgetSpent:
		return fmt.Sprintf("its workspace's budget is spent: the ledger had %v tokens free and %v with other nodes, where it could cost %v",
			end.Fields["budgetFreeTokens"], end.Fields["leasedElsewhereTokens"], end.Fields["costTokens"])
	case gateway.CauseDeadline:
		return fmt.Sprintf("instance %v had not answered when the caller's time or the route's timeout was over", end.Fields["instance"])
	case gateway.CauseInDoubt:
		return fmt.Sprintf("the connection to instance %v ended without a whole answer; the work may have run, so it was not sent again", end.Fields["instance"])
	case gateway.CauseInstanceFailed:
		return fmt.Sprintf("instance %v ran it and failed it", end.Fields["instance"])
	case gateway.CauseInstanceBusy:
		return "every instance that was tried refused it for lack of room; it has not run"
	case gateway.CauseNodeBusy:
		return "its node worked on as many requests as its memory allows; it has not run"
	case gateway.CauseNoInstance:
		return "no instance of its service was listed and staying"
	case gateway.CauseUnreachable:
		return "no connection to an instance could be opened; it has not run"
	case gateway.CauseNoConfiguration:
		return "the node had just started and had no configuration yet"
	case gateway.CauseUnknownKey:
		return fmt.Sprintf("its key is in no workspace of configuration %v", end.Fields["version"])
	case gateway.CauseNoRoute:
		return fmt.Sprintf("no route of configuration %v leads from its host and path", end.Fields["version"])
	case gateway.CauseCallerGone:
		return "its caller left before the end"
	}
	return "cause: " + story.Cause
}

// quotaVerdict says why there was no quota.
func quotaVerdict(end Line, lines []Line) string {
	fresh := end.Fields["controlFresh"]
	switch {
	case fresh == false:
		return "its workspace's quota on this node was used up while the control group could not be reached, and no other node could lend; the budget itself may have more"
	case fresh == true && lostSoon(lines, end):
		return "this node's quota was used up and more did not come: the node lost the control group a moment later, so the partition had begun and was not noticed yet; the budget itself may have more"
	case end.Fields["cutOff"] == true:
		return "the nodes that hold its workspace's quota had used theirs up while the control group could not be reached; the budget itself may have more"
	}
	return "this node's quota was used up and more did not come in time; the ledger may have been electing a leader or recalling quota"
}

// believed are the events that change what a node believes or is.
var believed = map[event.ID]bool{
	event.NodeStarted:      true,
	event.NodeStopping:     true,
	event.NodeReloaded:     true,
	event.ControlConnected: true,
	event.ControlLost:      true,
	event.RoutingInForce:   true,
	event.ListUnreadable:   true,
	event.ListReadable:     true,
	event.LinesDropped:     true,
}

func beliefs(lines []Line, node string, from, to time.Time) []string {
	var told []string
	for _, line := range lines {
		near := line.Time.After(from.Add(-around)) && line.Time.Before(to.Add(around))
		if line.Node != node || !near || !believed[line.Event] {
			continue
		}
		text := fmt.Sprintf("%s %v", line.Time.Format("15:04:05.000"), line.Fields["message"])
		for _, field := range []string{"replica", "error", "version"} {
			if value, ok := line.Fields[field]; ok && value != nil {
				text += fmt.Sprintf(", %s %v", field, value)
			}
		}
		told = append(told, text)
	}
	slices.Sort(told)
	return told
}

// Text writes the story for people.
func (s Explanation) Text() string {
	text := strings.Builder{}
	_, _ = fmt.Fprintf(&text, "request %s on %s: %s\n", s.Request, s.Node, s.Verdict)
	for _, step := range s.Steps {
		_, _ = fmt.Fprintf(&text, "  %s\n", step)
	}
	if len(s.NodeEvents) > 0 {
		_, _ = fmt.Fprintf(&text, "what %s believed at about that time:\n", s.Node)
		for _, belief := range s.NodeEvents {
			_, _ = fmt.Fprintf(&text, "  %s\n", belief)
		}
	}
	return text.String()
}
