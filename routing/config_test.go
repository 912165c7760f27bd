package routing

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"
)

// TestCheck reads testdata/check.txt. Each line has a name, a configuration in JSON and the
// prefix of the expected error, or "sound" if the configuration is valid.
func TestCheck(t *testing.T) {
	for name, c := range readCases(t, "testdata/check.txt") {
		t.Run(name, func(t *testing.T) {
			config := Config{}
			if err := json.Unmarshal([]byte(c.input), &config); err != nil {
				t.Fatal(err)
			}
			got := "sound"
			if err := config.Check(); err != nil {
				got = err.Error()
			}
			if want := c.want; !strings.HasPrefix(got, want) {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

type checkCase struct {
	input string
	want  string
}

// readCases reads lines of the form "name | input | want".
func readCases(t *testing.T, path string) map[string]checkCase {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	cases := map[string]checkCase{}
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Split(scanner.Text(), " | ")
		if len(fields) != 3 {
			continue
		}
		cases[fields[0]] = checkCase{
			input: fields[1],
			want:  fields[2],
		}
	}
	return cases
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	v := NewView(Config{Routes: []Route{
		{
			Name:   "short",
			Host:   "a.example",
			Prefix: "/x/",
		},
		{
			Name:   "long",
			Host:   "a.example",
			Prefix: "/x/y/",
		},
	}})
	for path, want := range map[string]RouteName{
		"/x/1":   "short",
		"/x/y/1": "long",
		"/x/y":   "short",
		"/y/":    "",
	} {
		got := RouteName("")
		if r := v.Match("a.example:8080", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: got route %q, want %q", path, got, want)
		}
	}
	if v.Match("b.example", "/x/1") != nil {
		t.Error("got a route of another host, want none")
	}
}

func TestChooseSplitsByWeight(t *testing.T) {
	r := Route{Targets: []Target{
		{
			Service: "a",
			Weight:  90,
		},
		{
			Service: "b",
			Weight:  10,
		},
		{
			Service: "c",
			Weight:  0,
		},
	}}
	const requests = 5000
	got := map[string]int{}
	for i := range requests {
		id := RequestID(time.Duration(i).String())
		service := r.Choose(id)
		if again := r.Choose(id); again != service {
			t.Fatalf("request %s: got %s and then %s, want the same", id, service, again)
		}
		got[string(service)]++
	}
	if got["c"] != 0 {
		t.Errorf("got %d requests at weight 0, want none", got["c"])
	}
	if share := got["b"] * 100 / requests; share < 7 || share > 13 {
		t.Errorf("got %d in 100 at weight 10 of 100", share)
	}
}
