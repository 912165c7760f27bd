package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/backend"
	"github.com/waxwingreel/waxwingreel/caller"
	"github.com/waxwingreel/waxwingreel/fleet"
	"github.com/waxwingreel/waxwingreel/standin"
)

// Config configures a run.
type Config struct {
	Mix   Mix
	Seeds []string
	// Duration is how long new requests are sent.
	Duration time.Duration
	// Rate overrides the mix's rate if it is above 0.
	Rate float64
	Seed uint64
	// Attempts is the maximum number of attempts per request.
	Attempts int
	// OnProgress is called every second with the counts so far; it may be nil.
	OnProgress func(sent, ended int)
}

// Outcome is the result of a request.
type Outcome struct {
	ID      fleet.RequestID `json:"id"`
	Kind    string          `json:"kind"`
	Key     string          `json:"-"`
	Service bool            `json:"service,omitempty"`
	// AtMostOnce is true for a call that must not run twice.
	AtMostOnce bool `json:"atMostOnce,omitempty"`
	Answered   bool `json:"answered"`
	// Refusal is the type of the last refusal, or "broken" if no complete response was
	// received.
	Refusal string `json:"refusal,omitempty"`
	Message string `json:"message,omitempty"`
	NotRun  bool   `json:"notRun,omitempty"`
	// WrongAnswer describes a response that differs from the expected one.
	WrongAnswer string       `json:"wrong,omitempty"`
	Billed      fleet.Tokens `json:"billed"`
	MaxPrice    fleet.Tokens `json:"highest"`
	Attempts    int          `json:"attempts"`
	// At is the time of arrival since the start of the run.
	At         time.Duration
	FirstToken time.Duration `json:"firstToken"`
	Total      time.Duration `json:"total"`
}

// runner is the state of a run.
type runner struct {
	cfg     Config
	clients map[string]*caller.Client

	mu       sync.Mutex
	outcomes []Outcome
}

// Run sends the mix's requests at random times that do not depend on when earlier requests
// complete. It returns the outcomes in the order of arrival.
func Run(ctx context.Context, cfg Config) []Outcome {
	r := &runner{
		cfg:     cfg,
		clients: map[string]*caller.Client{},
	}
	for _, k := range cfg.Mix.Kinds {
		for w := range max(cfg.Mix.Workspaces, 1) {
			r.addClient(workspaceKey(k.Key, w+1))
		}
	}
	requests := sync.WaitGroup{}
	started := time.Now()
	rng := rand.New(rand.NewPCG(cfg.Seed, 7))
	sent := 0
	next := time.Duration(0)
	progress := time.Second
	for next < cfg.Duration && ctx.Err() == nil {
		time.Sleep(next - time.Since(started))
		if cfg.OnProgress != nil && time.Since(started) > progress {
			progress += time.Second
			cfg.OnProgress(sent, r.completed())
		}
		kind := r.pickKind(rng)
		sent++
		at := next
		requests.Go(func() { r.sendRequest(ctx, kind, at) })
		next += time.Duration(rng.ExpFloat64() / r.rate(next) * float64(time.Second))
	}
	requests.Wait()
	sort.Slice(r.outcomes, func(i, j int) bool { return r.outcomes[i].At < r.outcomes[j].At })
	return r.outcomes
}

func workspaceKey(pattern string, workspace int) string {
	return strings.ReplaceAll(pattern, "*", itoa(workspace))
}

func (r *runner) addClient(key string) {
	if r.clients[key] != nil {
		return
	}
	r.clients[key] = caller.New(caller.Config{
		Seeds:    r.cfg.Seeds,
		Key:      key,
		Attempts: r.cfg.Attempts,
	})
}

func (r *runner) rate(at time.Duration) float64 {
	rate := r.cfg.Mix.RatePerSecond
	if r.cfg.Rate > 0 {
		rate = r.cfg.Rate
	}
	return rate * max(r.cfg.Mix.rateFactor(at), 0.001)
}

func (r *runner) completed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.outcomes)
}

func (r *runner) pickKind(rng *rand.Rand) Kind {
	total := 0.0
	for _, k := range r.cfg.Mix.Kinds {
		total += k.Share
	}
	at := rng.Float64() * total
	for _, k := range r.cfg.Mix.Kinds {
		at -= k.Share
		if at < 0 {
			k.Key = workspaceKey(k.Key, 1+rng.IntN(max(r.cfg.Mix.Workspaces, 1)))
			return k
		}
	}
	return r.cfg.Mix.Kinds[0]
}

func (r *runner) sendRequest(ctx context.Context, kind Kind, at time.Duration) {
	o := Outcome{
		ID:      fleet.NewRequestID(),
		Kind:    kind.Name,
		Key:     kind.Key,
		Service: kind.Service != "",
		At:      at,

		AtMostOnce: kind.AtMostOnce,
	}
	if o.Service {
		r.sendCall(ctx, kind, &o)
	} else {
		r.sendChat(ctx, kind, &o)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *runner) sendChat(ctx context.Context, kind Kind, o *Outcome) {
	prompt := kind.prompt(o.ID)
	o.MaxPrice = fleet.Tokens(len(prompt)) + 64 + kind.MaxTokens
	response, err := r.clients[kind.Key].Chat(ctx, caller.Chat{
		ID:        o.ID,
		Model:     kind.Model,
		Prompt:    prompt,
		MaxTokens: kind.MaxTokens,
		Class:     kind.Class,
	})
	o.FirstToken = response.FirstToken
	o.Total = response.Total
	o.Attempts = response.Attempts
	if err != nil {
		o.recordError(err)
		return
	}
	o.Answered = true
	o.Billed = response.Billed
	promptText := standin.PromptText(backend.Chat{Messages: []backend.Message{{
		Role:    "user",
		Content: prompt,
	}}})
	if want := standin.Completion(promptText, kind.MaxTokens); response.Text != want {
		o.WrongAnswer = "got a completion of " + itoa(len(response.Text)) + " bytes that differs from the expected one of " + itoa(len(want)) + " bytes"
	}
}

func (r *runner) sendCall(ctx context.Context, kind Kind, o *Outcome) {
	response, err := r.clients[kind.Key].Call(ctx, caller.Call{
		ID:      o.ID,
		Service: kind.Service,
		Path:    kind.Path,
		Body:    []byte(`{"id":"` + o.ID.String() + `"}`),
	})
	o.Total = response.Total
	o.Attempts = response.Attempts
	if err != nil {
		o.recordError(err)
		return
	}
	o.Answered = true
	serviceResponse := standin.CallResponse{}
	if json.Unmarshal(response.Body, &serviceResponse) != nil || serviceResponse.ID != o.ID.String() {
		o.WrongAnswer = "got the response to request " + serviceResponse.ID
	}
}

func (o *Outcome) recordError(err error) {
	refusal := (*caller.RefusalError)(nil)
	o.Refusal = "broken"
	o.Message = eris.ToString(err, false)
	if eris.As(err, &refusal) {
		o.Refusal = refusal.Type
		o.NotRun = refusal.NotRun
		o.Billed = refusal.BilledTokens
	}
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
