package controlclient

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/routing"
)

// serveOrigins returns the address of a replica that knows a stream of a version, none if that is
// empty, or does not respond if silent is set.
func serveOrigins(t *testing.T, node fleet.NodeID, software routing.SoftwareVersion, silent bool) netip.AddrPort {
	t.Helper()
	e := newEndpoint(t, node)
	e.HandleCall(control.MethodFindOrigin, func(ctx context.Context, _ fleet.NodeID, _ []byte) (any, error) {
		if silent {
			<-ctx.Done()
		}
		return control.OriginResponse{
			Known:    software != "",
			Record:   origin.Record{Origin: routing.Origin{Software: software}},
			Versions: origin.Report{SinceMillis: 1},
		}, nil
	})
	e.Start()
	return e.Address()
}

// TestFindOrigin asks replicas of which some are silent or have started after the stream began.
func TestFindOrigin(t *testing.T) {
	silent := serveOrigins(t, "silent", "v1", true)
	unknown := serveOrigins(t, "unknown", "", false)
	known := serveOrigins(t, "known", "v1", false)
	for name, c := range map[string]struct {
		replicas []netip.AddrPort
		software routing.SoftwareVersion
		reports  int
		fails    bool
	}{
		"one knows": {
			replicas: []netip.AddrPort{silent, unknown, known},
			software: "v1",
		},
		"none knows": {
			replicas: []netip.AddrPort{unknown, silent},
			reports:  1,
		},
		"none responds": {
			replicas: []netip.AddrPort{silent},
			fails:    true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := New(Config{
				Holder:   fleet.Holder{Node: "entry"},
				Endpoint: newEndpoint(t, "entry"),
				Replicas: c.replicas,
				Report:   func() roster.Report { return roster.Report{} },
				Log:      event.New(io.Discard, "entry"),
			})
			defer client.Close()
			started := time.Now()
			answer, err := client.FindOrigin(context.Background(), origin.Key{Request: "a"})
			if got := err != nil; got != c.fails {
				t.Errorf("got error %v, want one: %t", err, c.fails)
			}
			if took, most := time.Since(started), 2*originTimeout; took > most {
				t.Errorf("got the answer after %s, want it within %s", took, most)
			}
			got := routing.SoftwareVersion("")
			if answer.Record != nil {
				got = answer.Record.Origin.Software
			}
			if got != c.software {
				t.Errorf("got version %q, want %q", got, c.software)
			}
			if c.software == "" && len(answer.Versions) != c.reports {
				t.Errorf("got %d reports on versions, want %d", len(answer.Versions), c.reports)
			}
		})
	}
}
