package gateway

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/clock"
	"github.com/waxwingreel/waxwingreel/control"
	"github.com/waxwingreel/waxwingreel/event"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/ledger"
	"github.com/waxwingreel/waxwingreel/origin"
	"github.com/waxwingreel/waxwingreel/ratelimit"
	"github.com/waxwingreel/waxwingreel/roster"
	"github.com/waxwingreel/waxwingreel/wire"
)

// mesh connects the servers of several entry nodes with one another and with a ledger
// that takes the place of the control group. Nodes in unreachable do not respond.
type mesh struct {
	servers     map[netip.AddrPort]*Server
	reports     []roster.Report
	unreachable map[netip.AddrPort]bool
	calls       atomic.Int64
	sends       atomic.Int64

	mu       sync.Mutex
	ledger   *ledger.State
	commands int
	// partitioned is set while no node can reach the ledger.
	partitioned bool
	// up are the nodes in the roster, nil for all.
	up []roster.Report
	// heartbeats has the nodes that want to send a heartbeat.
	heartbeats chan fleet.NodeID
}

// meshControl is the ControlClient of one node.
type meshControl struct {
	*mesh
	holder fleet.Holder
}

// newMesh returns a mesh of nodes and their servers.
func newMesh(t *testing.T, nodes int) (*mesh, []*Server) {
	m := &mesh{
		servers:     map[netip.AddrPort]*Server{},
		unreachable: map[netip.AddrPort]bool{},
		ledger:      ledger.New(),
		heartbeats:  make(chan fleet.NodeID, 16*nodes),
	}
	for i := range nodes {
		m.reports = append(m.reports, roster.Report{
			Holder: fleet.Holder{
				Node:        fleet.NodeID(fmt.Sprintf("n%d", i)),
				Incarnation: 1,
			},
			State:         roster.StateUp,
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			WireAddress:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 90),
		})
		m.ledger.Join(m.reports[i].Holder)
	}
	var servers []*Server
	for _, report := range m.reports {
		s := New(Config{
			Node: report.Holder.Node,
			Control: meshControl{
				mesh:   m,
				holder: report.Holder,
			},
			Peers: m,
			// The platform's rate of a large deployment.
			ListRate: 50,
			Log:      event.New(io.Discard, string(report.Holder.Node)),
		})
		t.Cleanup(func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = s.Close(ended)
		})
		s.HandleEntryNodes(nodes)
		m.servers[report.WireAddress] = s
		servers = append(servers, s)
	}
	return m, servers
}

// Submit implements ControlClient.
func (m *mesh) Submit(_ context.Context, command control.Command) (control.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitioned {
		return control.Result{}, eris.New("control group is unreachable")
	}
	m.commands++
	result := control.Result{}
	for _, change := range command.Leases {
		leaseResult, recalls := m.ledger.ChangeLease(change)
		result.Leases = append(result.Leases, leaseResult)
		for _, recall := range recalls {
			for i, report := range m.reports {
				if report.Holder == recall.Holder {
					go m.servers[m.reports[i].WireAddress].HandleRecalls([]ledger.Recall{recall})
				}
			}
		}
	}
	return result, nil
}

func (c meshControl) Holder() fleet.Holder { return c.holder }

// SendHeartbeat implements ControlClient. It asks for a call of passOnLimits.
func (c meshControl) SendHeartbeat() {
	select {
	case c.heartbeats <- c.holder.Node:
	default:
	}
}

// passOnLimits takes the place of the control replicas: it passes what responses to a node have said
// of limits on to all nodes, until the context ends.
func (m *mesh) passOnLimits(ctx context.Context) {
	table := ratelimit.Table{}
	changes := table.Changes()
	for {
		select {
		case <-ctx.Done():
			return
		case node := <-m.heartbeats:
			for _, report := range m.reports {
				if report.Holder.Node == node {
					for _, r := range m.servers[report.WireAddress].TakeLimits(false) {
						table.Apply(r, clock.SinceBoot())
					}
				}
			}
		}
		if changes == table.Changes() {
			continue
		}
		changes = table.Changes()
		for _, s := range m.servers {
			s.HandleLimits(ratelimit.List{Reports: table.Reports(clock.SinceBoot())})
		}
	}
}

// FindOrigin implements ControlClient. The control group of a mesh knows no streams.
func (m *mesh) FindOrigin(context.Context, origin.Key) (origin.Answer, error) {
	return origin.Answer{}, nil
}

// ControlReachable implements ControlClient.
func (m *mesh) Unconfirmed() time.Duration { return 0 }

func (m *mesh) ControlReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.partitioned
}

// Roster implements ControlClient.
func (m *mesh) Roster() []roster.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up != nil {
		return m.up
	}
	return m.reports
}

// setRoster makes the nodes from first up to but not including last the only ones that are up.
func (m *mesh) setRoster(first, last int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = m.reports[first:last]
}

// setUnreachable makes a node unresponsive while requests go on.
func (m *mesh) setUnreachable(address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[address] = true
}

func (m *mesh) isUnreachable(address netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable[address]
}

// Call implements PeerClient.
func (m *mesh) Call(ctx context.Context, address netip.AddrPort, method wire.Method, request, response any) error {
	m.calls.Add(1)
	if m.isUnreachable(address) {
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	s := m.servers[address]
	handle := map[wire.Method]wire.CallHandler{
		MethodClaim:  s.HandleClaim,
		MethodPermit: s.HandlePermit,
		MethodDraw:   s.HandleDraw,
		MethodLend:   s.HandleLend,
		MethodList:   s.HandleList,
	}[method]
	result, err := handle(ctx, "", body)
	if err != nil {
		return err
	}
	if body, err = cbor.Marshal(result); err != nil {
		return err
	}
	return wire.Decode(body, response)
}

// Open implements PeerClient. A mesh has no channels.
func (m *mesh) Open(context.Context, netip.AddrPort, wire.Method) (*wire.Channel, error) {
	return nil, eris.New("no channels")
}

// Send implements PeerClient.
func (m *mesh) Send(address netip.AddrPort, method wire.Method, value any) {
	m.sends.Add(1)
	body, err := cbor.Marshal(value)
	if err != nil || m.isUnreachable(address) || m.servers[address] == nil {
		return
	}
	switch method {
	case MethodClaimUpdate:
		m.servers[address].HandleClaimUpdate("", body)
	case MethodLimit:
		m.servers[address].HandleLimit("", body)
	case MethodPermitEnd:
		m.servers[address].HandlePermitEnd("", body)
	case MethodReturn:
		m.servers[address].HandleReturn("", body)
	}
}
