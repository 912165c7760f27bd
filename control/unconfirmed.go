package control

import "time"

// ConfigurationBound is the time within which an acknowledged configuration is in force. A node that
// does not know its configuration to be that recent must not deny that something exists.
const ConfigurationBound = 2 * time.Second

const (
	// minUnconfirmedDelay is roughly the time in which a node finds another control replica,
	// maxUnconfirmedDelay limits the delay in a long partition.
	minUnconfirmedDelay = 500 * time.Millisecond
	maxUnconfirmedDelay = 5 * time.Second
)

// UnconfirmedRetryDelay returns when to ask a node again whose configuration has not been confirmed
// for some time. The longer that has lasted, the longer it is likely to go on.
func UnconfirmedRetryDelay(unconfirmed time.Duration) time.Duration {
	return min(max(unconfirmed/4, minUnconfirmedDelay), maxUnconfirmedDelay)
}
