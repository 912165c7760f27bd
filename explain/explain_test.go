package explain_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/waxwingreel/waxwingreel/explain"
)

// TestIncidentLog explains requests of a recorded incident: a refusal for lack of quota
// in a network partition, an instance that did not respond in time, and a broken
// connection after which the request may have run.
func TestIncidentLog(t *testing.T) {
	lines := readLog(t)
	for id, want := range map[string][]string{
		"6e43b91aee73bf02": {"quota on this node was used up while the control group could not be reached", "status 503", "subscription ended"},
		"3b0e651970d72ae4": {"instance i-b2c42f8153 had not answered when", "status 504"},
		"970df8a43fc2d472": {"may have run, so it was not sent again", "status 502", "connection reset by peer"},
	} {
		explanation, err := explain.Request(id, lines)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range want {
			if got := explanation.Text(); !strings.Contains(got, part) {
				t.Errorf("request %s: got\n%s\nwant it to contain %q", id, got, part)
			}
		}
	}
	if _, err := explain.Request("absent", lines); err == nil {
		t.Error("got an explanation of a request that the logs do not contain, want an error")
	}
}

// TestUndetectedPartition checks that a refusal for lack of quota shortly before its node
// detects that it cannot reach the control group is attributed to the partition, and that
// other refusals are not.
func TestUndetectedPartition(t *testing.T) {
	const refused = `{"time":"2026-06-21T05:08:16.000Z","node":"n1","event":406,"request":"r","status":503,"cause":"noQuota","controlFresh":true}
`
	for _, c := range []struct {
		name string
		more string
		want string
	}{
		{
			name: "detected a second later",
			more: `{"time":"2026-06-21T05:08:17.000Z","node":"n1","event":302}`,
			want: "not detected yet",
		},
		{
			name: "detected much later",
			more: `{"time":"2026-06-21T05:08:26.000Z","node":"n1","event":302}`,
			want: "did not arrive in time",
		},
		{
			name: "detected by another node",
			more: `{"time":"2026-06-21T05:08:17.000Z","node":"n2","event":302}`,
			want: "did not arrive in time",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			lines, err := explain.Read(strings.NewReader(refused + c.more))
			if err != nil {
				t.Fatal(err)
			}
			explanation, err := explain.Request("r", lines)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(explanation.Verdict, c.want) {
				t.Errorf("got verdict %q, want it to contain %q", explanation.Verdict, c.want)
			}
		})
	}
}

// TestSuspendedPart checks that a refusal for a suspended part names it, and the suspension.
func TestSuspendedPart(t *testing.T) {
	const log = `{"time":"2026-06-21T05:08:15.000Z","node":"n1","event":507,"service":"s","part":"12ca","state":"suspended","message":"a suspension of a part of prompts has begun or ended"}
{"time":"2026-06-21T05:08:16.000Z","node":"n1","event":406,"request":"r","status":503,"cause":"partSuspended","suspendedPart":"12ca","suspendedMillis":29000}
`
	lines, err := explain.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	explanation, err := explain.Request("r", lines)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"crashed on part 12ca", "29000 ms", "part 12ca, state suspended"} {
		if got := explanation.Text(); !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
}

// TestLimitedInstances checks that a refusal for want of permits says so, and which instance had
// named its limit.
func TestLimitedInstances(t *testing.T) {
	const log = `{"time":"2026-06-21T05:08:15.000Z","node":"n1","event":508,"service":"s","instance":"i-1","state":"named","perSecond":1.3,"message":"instance limits the requests that it takes from all nodes together"}
{"time":"2026-06-21T05:08:16.000Z","node":"n1","event":406,"request":"r","status":503,"cause":"instanceBusy","fullMillis":700,"limitedInstances":1}
`
	lines, err := explain.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	explanation, err := explain.Request("r", lines)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1 of them for the limits", "700 ms", "instance i-1, state named, perSecond 1.3"} {
		if got := explanation.Text(); !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
}

func readLog(t *testing.T) []explain.Line {
	t.Helper()
	file, err := os.Open("../examples/logs/incident.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines, err := explain.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func ExampleRead() {
	lines, err := explain.Read(strings.NewReader(`
collected: {"time":"2026-06-21T05:08:16.021Z","node":"n1","event":101,"message":"node started"}
not an event
`))
	fmt.Println(len(lines), lines[0].Node, err)
	// Output: 1 n1 <nil>
}
