package measure

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/controlclient"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// The expected size of the fleet in two years.
const (
	fullNodes      = 660
	fullServers    = 2800
	fullWorkspaces = 6100
	fullModels     = 20
)

const (
	measureDuration = 10 * time.Second
	// settleDelay is the wait before the steady state is measured.
	settleDelay = 4 * time.Second
	changeCount = 5
)

// Capacity measures the inputs of the estimates in docs/CAPACITY.md: the cost of each
// subscribed entry node, how long a configuration change takes to reach all of them, and the
// size of the configuration in memory.
func Capacity() ([]Group, error) {
	view, err := measureViews()
	if err != nil {
		return nil, err
	}
	subscribers := Group{
		Name:    "subscribers",
		Setting: "One control replica with the full configuration (2,800 backend servers, 6,100 workspaces, 20 models) and entry nodes' links to it, all in one process over real QUIC connections on loopback. Processor time is that of both ends.",
	}
	f, err := startFleet(fleetConfig{
		nodes:   1,
		control: 1,
	})
	if err != nil {
		return nil, err
	}
	defer f.close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if err := applyFullConfig(ctx, f); err != nil {
		return nil, err
	}
	var clients []*testClient
	defer func() {
		for _, c := range clients {
			c.close()
		}
	}()
	for _, n := range []int{66, 220, fullNodes} {
		for len(clients) < n {
			c, err := newClient(f, len(clients))
			if err != nil {
				return nil, err
			}
			clients = append(clients, c)
		}
		if err := measureSubscribers(ctx, &subscribers, f, clients); err != nil {
			return nil, err
		}
	}
	return []Group{subscribers, view}, nil
}

// applyFullConfig applies the full configuration, in tickets of bounded size.
func applyFullConfig(ctx context.Context, f *testFleet) error {
	var changes []catalog.Change
	for i := range fullModels {
		changes = append(changes, modelChange(fmt.Sprintf("model-%02d", i), "1"))
	}
	for i := range fullServers {
		changes = append(changes, serverChange(i))
	}
	number := fleet.TicketNumber(1)
	if err := f.apply(ctx, number, changes); err != nil {
		return err
	}
	for first := 0; first < fullWorkspaces; first += 1000 {
		changes = nil
		for i := first; i < min(first+1000, fullWorkspaces); i++ {
			id := fleet.WorkspaceID(fmt.Sprintf("workspace-%04d", i))
			changes = append(changes, workspaceChanges(id, "key-"+string(id))...)
		}
		number++
		if err := f.apply(ctx, number, changes); err != nil {
			return err
		}
	}
	return nil
}

func modelChange(id, version string) catalog.Change {
	return catalog.Change{Body: catalog.Body{Model: &catalog.Model{
		ID:        fleet.ModelID(id),
		Version:   version,
		MaxOutput: 4096,
		MaxPrompt: 100_000,
	}}}
}

func serverChange(i int) catalog.Change {
	return catalog.Change{Body: catalog.Body{BackendServer: &catalog.BackendServer{
		ID:           fleet.BackendServerID(fmt.Sprintf("runner-%04d", i)),
		Address:      fmt.Sprintf("127.%d.%d.1:1", i/250, i%250),
		DataCentre:   fleet.DataCentre(fmt.Sprintf("dc%d", i%7)),
		Models:       []fleet.ModelID{fleet.ModelID(fmt.Sprintf("model-%02d", i%fullModels))},
		Slots:        64,
		ChecksOrders: true,
		// No engine listens on these addresses. A draining server gets no orders to
		// load models.
		Draining: true,
	}}}
}

// testClient is the control client of an entry node, without the rest of the node.
type testClient struct {
	endpoint *wire.Endpoint
	client   *controlclient.Client
}

func newClient(f *testFleet, i int) (*testClient, error) {
	node := fleet.NodeID(fmt.Sprintf("entry-%03d", i))
	endpoint, err := wire.New(wire.Config{
		Node:   node,
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Secret: fleetSecret,
	})
	if err != nil {
		return nil, err
	}
	endpoint.Start()
	var replicas []netip.AddrPort
	for k := range f.cfg.control {
		replicas = append(replicas, f.settings[(i+k)%f.cfg.control].Advertise.Wire)
	}
	seq := &atomic.Uint64{}
	holder := fleet.Holder{
		Node:        node,
		Incarnation: 1,
	}
	return &testClient{
		endpoint: endpoint,
		client: controlclient.New(controlclient.Config{
			Holder:   holder,
			Endpoint: endpoint,
			Replicas: replicas,
			Report: func() roster.Report {
				return roster.Report{
					Holder:        holder,
					Seq:           seq.Add(1),
					State:         roster.StateUp,
					DataCentre:    "dc1",
					CallerAddress: netip.MustParseAddrPort("127.0.0.1:80"),
					WireAddress:   endpoint.Address(),
				}
			},
			Log: event.New(io.Discard, string(node)),
		}),
	}, nil
}

func (c *testClient) close() {
	c.client.Close()
	c.endpoint.Close()
}

func counter(name string) int64 {
	return expvar.Get(name).(*expvar.Int).Value()
}

// measureSubscribers measures traffic, processor time and propagation with the given
// control clients.
func measureSubscribers(ctx context.Context, g *Group, f *testFleet, clients []*testClient) error {
	if err := awaitVersion(ctx, clients, f.nodes[0].ConfigVersion()); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	n := float64(len(clients))
	cpu, sent := cpuTime(), counter("waxwingreel.wire.bytesSent")
	time.Sleep(measureDuration)
	used := cpuTime() - cpu
	bytes := float64(counter("waxwingreel.wire.bytesSent")-sent) / measureDuration.Seconds()
	g.add(fmt.Sprintf("%d nodes: processor time for each, both ends", len(clients)), 100*used.Seconds()/measureDuration.Seconds()/n, "% of a core")
	g.addWithBound(fmt.Sprintf("%d nodes: traffic for each, both ways", len(clients)), bytes/n, "bytes/s", 8192)
	var times []time.Duration
	for i := range changeCount {
		number := fleet.TicketNumber(len(clients)*100 + i)
		changes := []catalog.Change{modelChange("model-00", fmt.Sprint(number))}
		started := time.Now()
		result, err := f.nodes[0].Submit(ctx, ticketCommand(number, changes))
		if err != nil {
			return err
		}
		if err := awaitVersion(ctx, clients, result.Outcome.Version); err != nil {
			return err
		}
		times = append(times, time.Since(started))
	}
	g.addWithBound(fmt.Sprintf("%d nodes: a change in force on all, slowest of %d", len(clients), changeCount), millis(percentile(times, 1000)), "ms", 4000)
	return nil
}

func awaitVersion(ctx context.Context, clients []*testClient, version fleet.Version) error {
	for _, c := range clients {
		for c.client.View().Version < version {
			if ctx.Err() != nil {
				return eris.New("measure: a change did not reach all control clients in time")
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// measureViews measures the memory of an entry node's view of the configuration.
func measureViews() (Group, error) {
	g := Group{
		Name:    "configuration",
		Setting: "The configuration as an entry node holds it, at three sizes, and the time to put one more change in force.",
	}
	for _, part := range []int{10, 3, 1} {
		if err := measureView(&g, fullServers/part, fullWorkspaces/part); err != nil {
			return g, err
		}
	}
	return g, nil
}

func measureView(g *Group, servers, workspaces int) error {
	state := catalog.New()
	var changes []catalog.Change
	for i := range fullModels {
		changes = append(changes, modelChange(fmt.Sprintf("model-%02d", i), "1"))
	}
	for i := range servers {
		changes = append(changes, serverChange(i))
	}
	state.Apply(catalog.Ticket{
		Number:  1,
		Changes: changes,
	}, 0, nil)
	for i := range workspaces {
		id := fleet.WorkspaceID(fmt.Sprintf("workspace-%04d", i))
		state.Apply(catalog.Ticket{
			Number:  fleet.TicketNumber(i + 2),
			Changes: workspaceChanges(id, string(id)),
		}, 0, nil)
	}
	before := heapInUse()
	delta, err := encodeAndDecode(state.Since(0))
	if err != nil {
		return err
	}
	view, ok := catalog.NewView().With(delta)
	if !ok {
		return eris.New("measure: the view rejected the configuration delta")
	}
	delta = catalog.Delta{}
	objects := len(view.Objects())
	g.add(fmt.Sprintf("%d objects: heap of the view", objects), float64(int64(heapInUse())-int64(before))/1024, "KB")
	last := view.Version
	state.Apply(catalog.Ticket{
		Number:  1_000_000,
		Changes: []catalog.Change{modelChange("model-00", "2")},
	}, 0, nil)
	started := time.Now()
	if _, ok := view.With(state.Since(last)); !ok {
		return eris.New("measure: the view rejected the change")
	}
	g.add(fmt.Sprintf("%d objects: one more change", objects), millis(time.Since(started)), "ms")
	runtime.KeepAlive(view)
	runtime.KeepAlive(state)
	return nil
}

// encodeAndDecode returns a delta as it is received over the wire.
func encodeAndDecode(delta catalog.Delta) (catalog.Delta, error) {
	data, err := cbor.Marshal(delta)
	if err != nil {
		return catalog.Delta{}, eris.Wrap(err, "measure: encode a delta")
	}
	decoded := catalog.Delta{}
	err = wire.Decode(data, &decoded)
	return decoded, eris.Wrap(err, "measure: decode a delta")
}
