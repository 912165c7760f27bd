package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
)

// ServiceConfig sets up a Service.
type ServiceConfig struct {
	Name string
	// Work is the time that a call takes.
	Work time.Duration
}

// Service is a stand-in for a plain service. It runs every call that it gets, and
// counts the runs for each request id, so that a double run is seen.
type Service struct {
	cfg ServiceConfig

	mu      sync.Mutex
	leaving bool
	active  int
	runs    map[string]int
}

// NewService returns a service that is ready to serve.
func NewService(cfg ServiceConfig) *Service {
	return &Service{
		cfg:  cfg,
		runs: map[string]int{},
	}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/load":
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, backend.Load{
			Active:   s.active,
			Draining: s.leaving,
		})
	case "/standin/runs":
		writeJSON(w, s.Runs())
	case "/standin/leave":
		s.mu.Lock()
		s.leaving = true
		s.mu.Unlock()
		writeJSON(w, true)
	default:
		s.call(w, r)
	}
}

// Reply is the stand-in's answer to a call.
type Reply struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	ID      string `json:"id"`
	Run     int    `json:"run"`
	Echo    string `json:"echo"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		w.Header().Set(backend.HeaderNotRun, "true")
		w.Header().Set(backend.HeaderDraining, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	s.active++
	s.runs[id]++
	run := s.runs[id]
	s.mu.Unlock()
	// The work goes on when the caller leaves: that is what makes a second run
	// harmful.
	time.Sleep(s.cfg.Work)
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
	writeJSON(w, Reply{
		Service: s.cfg.Name,
		Path:    r.URL.Path,
		ID:      id,
		Run:     run,
		Echo:    string(body),
	})
}

// Runs returns how often each request id was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}
