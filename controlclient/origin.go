package controlclient

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/origin"
)

const (
	// originTimeout limits a search for the origin of a stream.
	originTimeout = 300 * time.Millisecond
	// originReplicas is the number of replicas that are asked. Each knows all streams but for the
	// latest moments, and for those of the time before it was started.
	originReplicas = 3
)

// originResult is the response of one replica.
type originResult struct {
	response control.OriginResponse
	err      error
}

// FindOrigin asks control replicas where a stream began, the one that this node follows first. It
// returns as soon as one of them knows. It fails if none responds.
func (c *Client) FindOrigin(ctx context.Context, key origin.Key) (origin.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	replicas := c.originReplicas()
	results := make(chan originResult, len(replicas))
	asked := clock.SinceBoot()
	for _, address := range replicas {
		go func() {
			result := originResult{}
			err := c.cfg.Endpoint.Call(ctx, address, control.MethodFindOrigin, key, &result.response)
			result.err = eris.Wrapf(err, "controlclient: ask replica %s for the origin of a stream", address)
			results <- result
		}()
	}
	answer, lastErr := origin.Answer{}, error(ErrUnavailable)
	for range replicas {
		result := <-results
		if result.err != nil {
			lastErr = result.err
			continue
		}
		answer.Versions = append(answer.Versions, result.response.Versions)
		answer.ProvenAt = max(answer.ProvenAt, origin.ProvenAt(result.response.Versions.ProvenMillis, asked))
		if result.response.Known {
			answer.Record = &result.response.Record
			return answer, nil
		}
	}
	if len(answer.Versions) == 0 {
		return origin.Answer{}, lastErr
	}
	return answer, nil
}

// originReplicas returns the replicas to ask.
func (c *Client) originReplicas() []netip.AddrPort {
	replicas := c.Replicas()
	if followed := c.followed.Load(); followed != nil {
		replicas = slices.DeleteFunc(replicas, func(a netip.AddrPort) bool { return a == *followed })
		replicas = append([]netip.AddrPort{*followed}, replicas...)
	}
	responsive := slices.DeleteFunc(slices.Clone(replicas), c.isUnresponsive)
	if len(responsive) > 0 {
		replicas = responsive
	}
	return replicas[:min(originReplicas, len(replicas))]
}
