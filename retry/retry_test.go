package retry

import (
	"testing"
)

// TestRetriesAreProportionalToRequests guards against retries that multiply the load if every
// request fails.
func TestRetriesAreProportionalToRequests(t *testing.T) {
	b := New(Config{
		Ratio: 0.1,
		Burst: 5,
	})
	retries := 0
	for range 1000 {
		b.Request()
		if b.Retry() {
			retries++
		}
	}
	if got, least, most := retries, 100, 106; got < least || got > most {
		t.Errorf("got %d retries for 1000 requests that all failed, want %d to %d", got, least, most)
	}
}
