package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validSettings is a settings file without problems. Tests replace a part of it.
const validSettings = `{
  "node": "n1", // the VM's name
  "dataCentre": "inari",
  "listen": {
    "wire": "127.0.0.1:7101",
    "callers": "127.0.0.1:8101",
    "operators": "127.0.0.1:9101"
  },
  "fleetSecret": "0123456789abcdef",
  "operatorKeys": ["0000000000000000000000000000000000000000000000000000000000000000"],
  "controlNodes": [
    {"node": "n1", "wire": "127.0.0.1:7101"}
  ],
  "control": {"dataFolder": "/tmp/n1", "bootstrap": true},
  "entry": {}
}`

// expect replaces a part of validSettings and checks that the problems found include want.
func expect(t *testing.T, old, replacement, want string) {
	t.Helper()
	if !strings.Contains(validSettings, old) {
		t.Fatalf("validSettings does not contain %q", old)
	}
	_, err := Parse("f.jsonc", []byte(strings.Replace(validSettings, old, replacement, 1)))
	got := fmt.Sprint(err)
	if !strings.Contains(got, want) {
		t.Errorf("%q for %q:\ngot  %s\nwant %s", replacement, old, got, want)
	}
}

func TestProblemsNameLineAndField(t *testing.T) {
	expect(t, `"node": "n1", //`, `//`, `f.jsonc:1: node: is missing`)
	expect(t, `"dataCentre"`, `"dataCenter"`, `f.jsonc:3: dataCenter: is not a known field`)
	expect(t, `"wire": "127.0.0.1:7101",`, `"wire": "n1:7101",`, `f.jsonc:`)
	expect(t, `"wire": "127.0.0.1:7101",`, `"wire": "0.0.0.0:7101",`, `f.jsonc:5: listen.wire: 0.0.0.0:7101 is an unspecified address, which other nodes cannot reach`)
	expect(t, `"127.0.0.1:9101"`, `"127.0.0.1:8101"`, `f.jsonc:7: listen.operators: is the same address as listen.callers`)
	expect(t, `0123456789abcdef`, `short`, `f.jsonc:9: fleetSecret: has fewer than 16 characters`)
	expect(t, `["0000`, `["zz00`, `f.jsonc:10: operatorKeys.0: is not a SHA-256 sum`)
	expect(t, `{"node": "n1", "wire": "127.0.0.1:7101"}`, `{"node": "n1", "wire": "127.0.0.1:7101"}, {"node": "n1", "wire": "127.0.0.1:7102"}, {"node": "n3", "wire": "127.0.0.1:7103"}`, `f.jsonc:12: controlNodes.1.node: "n1" is listed twice`)
	expect(t, `"dataFolder": "/tmp/n1"`, `"dataFolder": "/no/such/folder/n1"`, `f.jsonc:14: control.dataFolder: parent folder /no/such/folder does not exist`)
	expect(t, `"dataFolder": "/tmp/n1", `, ``, `f.jsonc:14: control.dataFolder: is missing`)
	expect(t, `"entry": {}`, `"entry": {"leaseSharePerMille": 2000}`, `f.jsonc:15: entry.leaseSharePerMille: 2000 is outside 1 to 1000`)
	expect(t, `"entry": {}`, `"entry": {"queueLength": "long"}`, `f.jsonc:15: entry.queueLength: is a string, want int`)
	expect(t, `"entry": {}`, `"entry": {`, `is not JSON with comments`)
}

func TestValidSettings(t *testing.T) {
	s, err := Parse("f.jsonc", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Entry.LeaseSharePerMille, int64(defaultLeaseSharePerMille); got != want {
		t.Errorf("got lease share %d, want the default %d", got, want)
	}
	if got, want := s.Advertise.Wire, s.Listen.Wire; got != want {
		t.Errorf("got advertised address %s, want %s", got, want)
	}
}

// TestExamples parses the settings files in the examples folder.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../examples/*/n*.jsonc")
	if err != nil || len(paths) < 10 {
		t.Fatalf("got %d examples, error %v; want at least 10", len(paths), err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(path, text); err != nil {
			t.Errorf("%v", err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"entry": {"serviceLevels": [{"class": 3}]}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = Parse("f.jsonc", text)
	})
}

// TestResponseLimits checks the limits on what is read of a response.
func TestResponseLimits(t *testing.T) {
	const site = `"site": {"seeds": ["127.0.0.1:1"], "seedPort": 7101, "instanceList": "127.0.0.1:2", "instanceListRate": 1, "stopMillis": 1000, "responseLimits": `
	expect(t, `"entry": {}`, site+`{"lineBytes": 10}}`, `site.responseLimits.lineBytes: 10 is outside 1024 to 65536`)
	expect(t, `"entry": {}`, site+`{"bodyBytes": -1}}`, `site.responseLimits.bodyBytes: -1 is outside 1024 to 67108864`)
	expect(t, `"entry": {}`, site+`{"fields": 5000}}`, `site.responseLimits.fields: 5000 is outside 16 to 1024`)
}

// TestStopSecondsMayHaveAFraction reads the time of a planned stop as platforms state it.
func TestStopSecondsMayHaveAFraction(t *testing.T) {
	text := strings.Replace(validSettings, `"entry": {}`,
		`"site": {"seeds": ["127.0.0.1:1"], "seedPort": 7101, "listen": {"control": "127.0.0.1:3"},
		"instanceList": "127.0.0.1:2", "instanceListRate": 1, "stopSeconds": 8.5}`, 1)
	s, err := Parse("f.jsonc", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Site.StopMillis, int64(8500); got != want {
		t.Errorf("got %d ms for a planned stop, want %d", got, want)
	}
	if got, want := s.Site.DrainMillis, int64(defaultDrainMillis); got != want {
		t.Errorf("got %d ms for draining, want the default of %d", got, want)
	}
}
