// Package demo runs a small fleet and stand-ins for its backend servers in one process,
// and sends sample requests to it.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/burn"
	"github.com/waxwingreel/waxwingreel/caller"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/node"
	"github.com/waxwingreel/waxwingreel/settings"
	"github.com/waxwingreel/waxwingreel/standin"
)

// Config configures a Fleet.
type Config struct {
	Nodes   []settings.Settings
	Ticket  catalog.Ticket
	Log     io.Writer
	Version string
}

// Fleet is a running fleet with its stand-ins.
type Fleet struct {
	cfg     Config
	nodes   []*node.Node
	servers []*http.Server
	data    string
}

// Start starts stand-ins for the ticket's backend servers, and the nodes. The nodes keep
// their state in a temporary folder.
func Start(cfg Config) (*Fleet, error) {
	data, err := os.MkdirTemp("", "waxwingreel-fleet-")
	if err != nil {
		return nil, eris.Wrap(err, "demo: create a data folder")
	}
	f := &Fleet{
		cfg:  cfg,
		data: data,
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	for _, change := range f.cfg.Ticket.Changes {
		if change.BackendServer == nil {
			continue
		}
		if err := f.startStandin(*change.BackendServer); err != nil {
			return err
		}
	}
	for _, s := range f.cfg.Nodes {
		if s.Control != nil {
			control := *s.Control
			control.DataFolder = filepath.Join(f.data, string(s.Node))
			s.Control = &control
		}
		n, err := node.Start(node.Config{
			Settings: s,
			Log:      event.New(f.cfg.Log, string(s.Node)),
			Version:  f.cfg.Version,
		})
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	return nil
}

func (f *Fleet) startStandin(spec catalog.BackendServer) error {
	listener, err := net.Listen("tcp", spec.Address)
	if err != nil {
		return eris.Wrapf(err, "demo: start stand-in %s", spec.ID)
	}
	server := &http.Server{
		Handler:           newStandinHandler(spec),
		ReadHeaderTimeout: 5 * time.Second,
	}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func newStandinHandler(spec catalog.BackendServer) http.Handler {
	if spec.Service != "" {
		return standin.NewService(standin.ServiceConfig{
			Name: string(spec.ID),
			Work: 5 * time.Millisecond,
		})
	}
	return standin.NewEngine(standin.EngineConfig{
		Name:            string(spec.ID),
		Slots:           spec.Slots,
		QueueLength:     4 * spec.Slots,
		TokenTime:       4 * time.Millisecond,
		PromptTime:      20 * time.Millisecond,
		CacheBlocks:     2048,
		LoadLag:         300 * time.Millisecond,
		ChecksOrders:    spec.ChecksOrders,
		LoseCacheEvents: 10,
	})
}

// Close stops the nodes and stand-ins and removes the fleet's data.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		n.Kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.data)
}

// AwaitReady waits until all nodes are ready and each knows all entry nodes.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		for !n.Ready() || n.KnownEntryNodes() < len(f.nodes) {
			select {
			case <-ctx.Done():
				return eris.New("demo: the fleet did not become ready in time")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// BurnReport returns the burn report of the first node.
func (f *Fleet) BurnReport(ctx context.Context) burn.Report {
	return f.nodes[0].BurnReport(ctx)
}

// Request is a sample request. Either Chat or Call is set. WantRefusal means that the
// fleet is expected to refuse it.
type Request struct {
	Title       string
	Key         string
	Chat        *caller.Chat
	Call        *caller.Call
	WantRefusal bool
}

// SendRequests sends the requests one after another and prints the responses. It fails if
// a request that should be answered is refused, or the reverse.
func (f *Fleet) SendRequests(ctx context.Context, out io.Writer, requests []Request) error {
	seeds := []string{}
	for _, s := range f.cfg.Nodes {
		seeds = append(seeds, s.Listen.Callers.String())
	}
	for _, r := range requests {
		client := caller.New(caller.Config{
			Seeds:    seeds,
			Key:      r.Key,
			Attempts: 3,
		})
		_, _ = fmt.Fprintf(out, "%s\n", r.Title)
		err := sendOne(ctx, out, client, r)
		refused := (*caller.RefusalError)(nil)
		switch {
		case err == nil && r.WantRefusal:
			return eris.Errorf("demo: %s: request was answered, want a refusal", r.Title)
		case eris.As(err, &refused) && r.WantRefusal:
			_, _ = fmt.Fprintf(out, "  refused as expected: %s\n\n", refused.Message)
		case err != nil:
			return eris.Wrapf(err, "demo: %s", r.Title)
		}
	}
	return nil
}

func sendOne(ctx context.Context, out io.Writer, client *caller.Client, r Request) error {
	if r.Call != nil {
		answer, err := client.Call(ctx, *r.Call)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "  %s  [node %s, replayed %v]\n\n", answer.Body, answer.Entry, answer.Replayed)
		return nil
	}
	answer, err := client.Chat(ctx, *r.Chat)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "  %s\n  [node %s, billed %d, billed before %v, first token after %s]\n\n", answer.Text, answer.Entry, answer.Billed, answer.BilledBefore, answer.FirstToken.Round(time.Millisecond))
	return nil
}
