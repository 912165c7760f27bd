package event

import (
	"io"
	"testing"
)

// BenchmarkLine logs the end of a routed request, the longer of the two lines of a request.
func BenchmarkLine(b *testing.B) {
	l := NewBounded(io.Discard, "entry-1")
	defer l.Close()
	b.ReportAllocs()
	for b.Loop() {
		l.Info(RequestEnded).
			Str("request", "e7d94f2f048e008f").
			Str("route", "r-2fhpepx").
			Str("workspace", "noba961").
			Uint64("version", 80).
			Int("status", 200).
			Str("cause", "").
			Str("instance", "i-8c0c561423").
			Int("attempts", 1).
			Int("connects", 0).
			Int("events", 20).
			Int64("costTokens", 17_260).
			Bool("mayHaveRun", true).
			Bool("controlFresh", true).
			Int64("tookMillis", 269).
			Int64("leftMillis", 7731).
			AnErr("error", nil).
			Msg("request ended")
	}
}
