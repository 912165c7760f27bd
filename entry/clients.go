package entry

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Intervals and limits of the load polls.
const (
	pollPeriod = 500 * time.Millisecond
	// maxPollsPerPeriod is the maximum number of servers that are polled in one
	// period. With more servers, each is polled less often.
	maxPollsPerPeriod = 8
	// pollsPerCacheEvents is the number of load polls of a server per poll of its
	// cache events.
	pollsPerCacheEvents = 4
)

// clientSet has a client for each backend server that the node uses.
type clientSet struct {
	mu      sync.Mutex
	clients map[fleet.BackendServerID]*clientEntry
}

type clientEntry struct {
	address   string
	client    *backend.Client
	isEngine  bool
	nextEvent uint64
	polls     int
}

func newClientSet() *clientSet {
	return &clientSet{clients: map[fleet.BackendServerID]*clientEntry{}}
}

// get returns the client of a server. It creates the client on first use and when the
// server's address has changed.
func (s *clientSet) get(server catalog.BackendServer) *backend.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.clients[server.ID]
	if !ok || entry.address != server.Address {
		entry = &clientEntry{
			address:  server.Address,
			client:   backend.NewClient(server),
			isEngine: server.Service == "",
		}
		s.clients[server.ID] = entry
	}
	return entry.client
}

// retain closes the clients of servers that are no longer configured.
func (s *clientSet) retain(servers []catalog.BackendServer) {
	configured := map[fleet.BackendServerID]bool{}
	for _, server := range servers {
		configured[server.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, entry := range s.clients {
		if !configured[id] {
			entry.client.Close()
			delete(s.clients, id)
		}
	}
}

func (s *clientSet) ids() []fleet.BackendServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]fleet.BackendServerID, 0, len(s.clients))
	for id := range s.clients {
		ids = append(ids, id)
	}
	return ids
}

// beginPoll counts a poll of a server and returns a copy of its entry.
func (s *clientSet) beginPoll(id fleet.BackendServerID) (clientEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.clients[id]
	if !ok {
		return clientEntry{}, false
	}
	entry.polls++
	return *entry, true
}

// setNextEvent sets the sequence number from which the server's cache events are polled
// next.
func (s *clientSet) setNextEvent(id fleet.BackendServerID, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.clients[id]; ok {
		entry.nextEvent = next
	}
}

// poll polls the load and the cache events of the servers in use, a few servers per period.
func (s *clientSet) poll(ctx context.Context, d *dispatcher) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	var due []fleet.BackendServerID
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if len(due) == 0 {
			due = s.ids()
		}
		n := min(maxPollsPerPeriod, len(due))
		for _, id := range due[:n] {
			go s.pollOne(ctx, d, id)
		}
		due = due[n:]
	}
}

func (s *clientSet) pollOne(ctx context.Context, d *dispatcher, id fleet.BackendServerID) {
	entry, ok := s.beginPoll(id)
	if !ok {
		return
	}
	load, err := entry.client.Load(ctx)
	if err != nil {
		return
	}
	d.reportLoad(id, load)
	if !entry.isEngine || entry.polls%pollsPerCacheEvents != 0 {
		return
	}
	events, err := entry.client.CacheEvents(ctx, entry.nextEvent)
	if err != nil {
		return
	}
	s.setNextEvent(id, events.Next)
	d.reportCacheEvents(id, events.Events)
}
