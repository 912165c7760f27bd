package metrics_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/metrics"
)

func ExampleSet() {
	m := metrics.New()
	m.Count("requests", metrics.Label{
		Name:  "route",
		Value: "r",
	})
	m.AddGauges(func(gauge func(string, float64)) { gauge("leads", 1) })
	text := strings.Builder{}
	m.Write(&text)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "waxwingreel_") {
			fmt.Print(line)
		}
	}
	// Output:
	// waxwingreel_requests_total{route="r"} 1
	// waxwingreel_leads 1
}

// TestSeriesAreBounded counts more routes than are kept.
func TestSeriesAreBounded(t *testing.T) {
	m := metrics.New()
	for i := range 2000 {
		route := metrics.Label{
			Name:  "route",
			Value: fmt.Sprint(i),
		}
		m.Count("requests", route)
		m.Observe("request", time.Millisecond, route)
	}
	text := strings.Builder{}
	m.Write(&text)
	if got, most := strings.Count(text.String(), "waxwingreel_requests_total"), 512; got > most {
		t.Errorf("got %d counters, want at most %d", got, most)
	}
	if got, most := strings.Count(text.String(), "waxwingreel_request_seconds_count"), 512; got > most {
		t.Errorf("got %d histograms, want at most %d", got, most)
	}
}
