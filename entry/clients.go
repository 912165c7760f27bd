package entry

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Times of the load polls.
const (
	pollPeriod = 500 * time.Millisecond
	// pollsPerPeriod bounds how many servers are asked in one period; with
	// more, each is asked less often.
	pollsPerPeriod = 8
	// eventsEvery is how many load polls pass between two cache polls.
	eventsEvery = 4
)

// clientSet keeps a client for each backend server that the node uses.
type clientSet struct {
	mu      sync.Mutex
	clients map[fleet.BackendServerID]*clientEntry
}

type clientEntry struct {
	address string
	client  *backend.Client
	engine  bool
	events  uint64
	polls   int
}

func newClientSet() *clientSet {
	return &clientSet{clients: map[fleet.BackendServerID]*clientEntry{}}
}

// get returns the server's client, making one on first use.
func (s *clientSet) get(server catalog.BackendServer) *backend.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.clients[server.ID]
	if !ok || entry.address != server.Address {
		entry = &clientEntry{
			address: server.Address,
			client:  backend.NewClient(server),
			engine:  server.Service == "",
		}
		s.clients[server.ID] = entry
	}
	return entry.client
}

// retain drops the clients of servers that are no longer configured.
func (s *clientSet) retain(servers []catalog.BackendServer) {
	listed := map[fleet.BackendServerID]bool{}
	for _, server := range servers {
		listed[server.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, entry := range s.clients {
		if !listed[id] {
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

func (s *clientSet) entry(id fleet.BackendServerID) (clientEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.clients[id]
	if !ok {
		return clientEntry{}, false
	}
	entry.polls++
	return *entry, true
}

func (s *clientSet) setEvents(id fleet.BackendServerID, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.clients[id]; ok {
		entry.events = next
	}
}

// poll asks the servers in use for their load and cache events, a few at a time.
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
		n := min(pollsPerPeriod, len(due))
		for _, id := range due[:n] {
			go s.pollOne(ctx, d, id)
		}
		due = due[n:]
	}
}

func (s *clientSet) pollOne(ctx context.Context, d *dispatcher, id fleet.BackendServerID) {
	entry, ok := s.entry(id)
	if !ok {
		return
	}
	load, err := entry.client.Load(ctx)
	if err != nil {
		return
	}
	d.report(id, load)
	if !entry.engine || entry.polls%eventsEvery != 0 {
		return
	}
	events, err := entry.client.CacheEvents(ctx, entry.events)
	if err != nil {
		return
	}
	s.setEvents(id, events.Next)
	d.cacheEvents(id, events.Events)
}
