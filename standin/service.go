package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/waxwingreel/waxwingreel/backend"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Name string
	// Work is the duration of a call.
	Work time.Duration
}

// Service simulates a plain service. It runs every call and counts the runs per request id,
// so that duplicates can be detected.
type Service struct {
	cfg ServiceConfig

	mu       sync.Mutex
	draining bool
	active   int
	runs     map[string]int
}

// NewService returns a service without runs.
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
			Draining: s.draining,
		})
	case "/standin/runs":
		writeJSON(w, s.Runs())
	case "/standin/leave":
		s.mu.Lock()
		s.draining = true
		s.mu.Unlock()
		writeJSON(w, true)
	default:
		s.handleCall(w, r)
	}
}

// CallResponse is the response body of a call.
type CallResponse struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	ID      string `json:"id"`
	Run     int    `json:"run"`
	Echo    string `json:"echo"`
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		w.Header().Set(backend.HeaderNotRun, "true")
		w.Header().Set("Idempotency-Key", id)
		w.Header().Set(backend.HeaderDraining, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	s.active++
	s.runs[id]++
	run := s.runs[id]
	s.mu.Unlock()
	// The call runs to completion even if the caller disconnects, so a retry would run
	// it twice.
	time.Sleep(s.cfg.Work)
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
	writeJSON(w, CallResponse{
		Service: s.cfg.Name,
		Path:    r.URL.Path,
		ID:      id,
		Run:     run,
		Echo:    string(body),
	})
}

// Runs returns the number of runs per request id.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}
