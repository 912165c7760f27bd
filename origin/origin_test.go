package origin

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/routing"
)

// historyCase is a case of testdata/history.txt.
type historyCase struct {
	node  History
	other History
}

func seconds(t *testing.T, text string) time.Duration {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(n) * time.Second
}

func listOf(versions string) []routing.Instance {
	list := []routing.Instance{{
		Service:  "another",
		Software: "v9",
	}}
	if versions == "none" {
		return list
	}
	for _, v := range strings.Split(versions, ",") {
		list = append(list, routing.Instance{
			Service:  "s",
			Software: routing.SoftwareVersion(strings.Trim(v, "?")),
		})
	}
	return list
}

func (c *historyCase) run(t *testing.T, line string) {
	fields := strings.Fields(line)
	switch fields[0] {
	case "list":
		c.node.Observe(listOf(fields[2]), seconds(t, fields[1]))
	case "repeat", "other":
		h := &c.node
		if fields[0] == "other" {
			h = &c.other
		}
		for at := seconds(t, fields[1]); at <= seconds(t, fields[2]); at += time.Second {
			h.Observe(listOf(fields[3]), at)
		}
	case "merge":
		now := seconds(t, fields[1])
		c.node.Merge(c.other.Report(now), now)
	case "single":
		got, ok := c.node.Single("s", seconds(t, fields[2]), seconds(t, fields[1]))
		if !ok {
			got = "unknown"
		}
		if want := fields[4]; string(got) != want {
			t.Errorf("%s: got %s", line, got)
		}
	default:
		t.Fatalf("unknown step %q", line)
	}
}

// TestHistory guards against a stream that is continued by the only version in the list although
// another one has just left it. It runs the cases in testdata/history.txt.
func TestHistory(t *testing.T) {
	text, err := os.ReadFile("testdata/history.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, block := range strings.Split(string(text), "\ncase ")[1:] {
		name, steps, _ := strings.Cut(block, "\n")
		t.Run(name, func(t *testing.T) {
			c := historyCase{}
			for line := range strings.Lines(steps) {
				if line = strings.TrimSpace(line); line != "" {
					c.run(t, line)
				}
			}
		})
	}
}

func record(id, software string, ttl time.Duration) Record {
	return Record{
		Key: Key{
			Caller:  "w",
			Request: routing.RequestID(id),
		},
		Origin: routing.Origin{
			Service:  "s",
			Instance: fleet.BackendServerID("i-" + software),
			Software: routing.SoftwareVersion(software),
		},
		TTLMillis: ttl.Milliseconds(),
	}
}

// TestTableForgets checks that a stream is known until its time is over, counted from when it was last
// resumed, and that a full table forgets the oldest.
func TestTableForgets(t *testing.T) {
	table := Table{}
	table.Add(record("a", "v1", time.Minute), 0)
	table.Add(record("b", "v1", time.Minute), time.Second)
	table.Add(record("a", "v1", time.Minute), 30*time.Second)
	for at, want := range map[time.Duration][2]bool{
		59 * time.Second: {true, true},
		62 * time.Second: {true, false},
		91 * time.Second: {false, false},
	} {
		_, a := table.Find(record("a", "", 0).Key, at)
		_, b := table.Find(record("b", "", 0).Key, at)
		if got := [2]bool{a, b}; got != want {
			t.Errorf("at %s: got %v, want %v", at, got, want)
		}
	}
	if got := table.Latest(10, 31*time.Second); len(got) != 2 || got[0].Key.Request != "a" || got[0].TTLMillis != 59_000 {
		t.Errorf("got the latest %+v, want a, with 59 s left, and b", got)
	}
	for i := range maxRecords + 10 {
		table.Add(record(fmt.Sprint(i), "v1", time.Minute), 100*time.Second)
	}
	if got := len(table.rows); got > maxRecords {
		t.Errorf("got %d streams in the table, want at most %d", got, maxRecords)
	}
	_, oldest := table.Find(record("0", "", 0).Key, 101*time.Second)
	_, newest := table.Find(record(fmt.Sprint(maxRecords+9), "", 0).Key, 101*time.Second)
	if oldest || !newest {
		t.Errorf("got the oldest stream %v and the newest %v, want false and true", oldest, newest)
	}
}

// TestReusedRequestIsAmbiguous checks that two streams with the same key are told apart by the caller,
// and count as of unknown origin if the caller used one id for both.
func TestReusedRequestIsAmbiguous(t *testing.T) {
	table := Table{}
	other := record("a", "v2", time.Minute)
	other.Key.Caller = "w2"
	table.Add(record("a", "v1", time.Minute), 0)
	table.Add(other, 0)
	if got, _ := table.Find(record("a", "", 0).Key, 0); got.Ambiguous || got.Origin.Software != "v1" {
		t.Errorf("got %+v, want the stream of v1", got)
	}
	table.Add(record("a", "v2", time.Minute), time.Second)
	if got, ok := table.Find(record("a", "", 0).Key, time.Second); !ok || !got.Ambiguous {
		t.Errorf("got %+v, want an ambiguous record", got)
	}
	table.Add(record("a", "v2", time.Minute), 2*time.Minute)
	if got, ok := table.Find(record("a", "", 0).Key, 2*time.Minute); !ok || got.Ambiguous {
		t.Errorf("got %+v, want the record of v2 alone after the others have expired", got)
	}
}

// TestLateReportProvesNothingNew guards against a report that was under way while its receiver was frozen and
// counts as new when it arrives.
func TestLateReportProvesNothingNew(t *testing.T) {
	sender, receiver := History{}, History{}
	sender.Observe(listOf("v1"), 10*time.Second)
	sender.Prove(10 * time.Second)
	report := sender.Report(11 * time.Second)
	// The receiver asked at 50 s of its own clock, and is frozen from 51 to 56 s.
	receiver.Merge(report, 56*time.Second)
	receiver.Prove(ProvenAt(report.ProvenMillis, 50*time.Second))
	for _, test := range []struct {
		at   time.Duration
		want bool
	}{
		{
			at:   48 * time.Second,
			want: true,
		},
		{
			at:   49*time.Second + 500*time.Millisecond,
			want: false,
		},
		{
			at:   56 * time.Second,
			want: false,
		},
	} {
		if got := receiver.Proven(test.at); got != test.want {
			t.Errorf("at %s: got proven %v, want %v", test.at, got, test.want)
		}
	}
	if got := ProvenAt(nil, 50*time.Second); got != 0 {
		t.Errorf("got %s proven by a report of the build before, want 0", got)
	}
}
