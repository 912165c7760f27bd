package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDigestFollowsContent compares the digests of histories and of views that follow deltas with those of whole
// configurations. Guards
// against contents that differ unnoticed, and against equal ones that count as different.
func TestDigestFollowsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t, 1)
		h, view := NewHistory(config), NewView(config)
		for version := Version(2); version < 8; version++ {
			config = drawConfig(t, version)
			h.Advance(config)
			d, _ := h.Since(view.Config.Version)
			next, ok := view.With(d)
			if got, want := next.Digest, config.Digest(); !ok || got != want {
				t.Fatalf("got digest %s after the delta to version %d, want %s", got, version, want)
			}
			if got, want := h.Digest(), config.Digest(); got != want {
				t.Fatalf("got digest %s of the history at version %d, want %s", got, version, want)
			}
			other := sorted(config)
			if got, want := other.Digest(), config.Digest(); got != want {
				t.Fatalf("got digest %s for the parts in another order, want %s", got, want)
			}
			other.Routes = append(other.Routes, Route{Host: "other"})
			if other.Digest() == config.Digest() {
				t.Fatal("got the same digest with one more route")
			}
			view = next
		}
	})
}
