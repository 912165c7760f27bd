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

// Config sets up a run.
type Config struct {
	Mix   Mix
	Seeds []string
	// Duration is how long requests arrive.
	Duration time.Duration
	// Rate replaces the mix's rate where it is above 0.
	Rate float64
	Seed uint64
	// Attempts bounds the tries of each request.
	Attempts int
	// OnProgress hears the counts each second; it may be nil.
	OnProgress func(sent, ended int)
}

// Outcome is what became of one request.
type Outcome struct {
	ID      fleet.RequestID `json:"id"`
	Kind    string          `json:"kind"`
	Key     string          `json:"-"`
	Service bool            `json:"service,omitempty"`
	// AtMostOnce is true for a call that may not run twice.
	AtMostOnce bool `json:"atMostOnce,omitempty"`
	Answered   bool `json:"answered"`
	// Refusal is the type of the last refusal; "broken" stands for an answer
	// that broke off or never came.
	Refusal     string       `json:"refusal,omitempty"`
	Message     string       `json:"message,omitempty"`
	NotRun      bool         `json:"notRun,omitempty"`
	WrongAnswer string       `json:"wrong,omitempty"`
	Billed      fleet.Tokens `json:"billed"`
	MaxPrice    fleet.Tokens `json:"highest"`
	Attempts    int          `json:"attempts"`
	At          time.Duration
	FirstToken  time.Duration `json:"firstToken"`
	Total       time.Duration `json:"total"`
}

// runner holds the state of a run.
type runner struct {
	cfg     Config
	clients map[string]*caller.Client

	mu       sync.Mutex
	outcomes []Outcome
}

// Run sends the mix's requests at their times, whatever becomes of the earlier
// ones, and returns the outcomes in the order of arrival.
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
			cfg.OnProgress(sent, r.ended())
		}
		kind := r.pick(rng)
		sent++
		at := next
		requests.Go(func() { r.request(ctx, kind, at) })
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
	return rate * max(r.cfg.Mix.factor(at), 0.001)
}

func (r *runner) ended() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.outcomes)
}

func (r *runner) pick(rng *rand.Rand) Kind {
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

func (r *runner) request(ctx context.Context, kind Kind, at time.Duration) {
	o := Outcome{
		ID:      fleet.NewRequestID(),
		Kind:    kind.Name,
		Key:     kind.Key,
		Service: kind.Service != "",
		At:      at,

		AtMostOnce: kind.AtMostOnce,
	}
	if o.Service {
		r.call(ctx, kind, &o)
	} else {
		r.chat(ctx, kind, &o)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *runner) chat(ctx context.Context, kind Kind, o *Outcome) {
	prompt := kind.prompt(o.ID)
	o.MaxPrice = fleet.Tokens(len(prompt)) + 64 + kind.MaxTokens
	answer, err := r.clients[kind.Key].Chat(ctx, caller.Chat{
		ID:        o.ID,
		Model:     kind.Model,
		Prompt:    prompt,
		MaxTokens: kind.MaxTokens,
		Class:     kind.Class,
	})
	o.FirstToken = answer.FirstToken
	o.Total = answer.Total
	o.Attempts = answer.Attempts
	if err != nil {
		o.refused(err)
		return
	}
	o.Answered = true
	o.Billed = answer.Billed
	whole := standin.PromptText(backend.Chat{Messages: []backend.Message{{
		Role:    "user",
		Content: prompt,
	}}})
	if want := standin.Answer(whole, kind.MaxTokens); answer.Text != want {
		o.WrongAnswer = "got an answer of " + itoa(len(answer.Text)) + " bytes that is not the " + itoa(len(want)) + " bytes of its own"
	}
}

func (r *runner) call(ctx context.Context, kind Kind, o *Outcome) {
	answer, err := r.clients[kind.Key].Call(ctx, caller.Call{
		ID:      o.ID,
		Service: kind.Service,
		Path:    kind.Path,
		Body:    []byte(`{"id":"` + o.ID.String() + `"}`),
	})
	o.Total = answer.Total
	o.Attempts = answer.Attempts
	if err != nil {
		o.refused(err)
		return
	}
	o.Answered = true
	reply := standin.Reply{}
	if json.Unmarshal(answer.Body, &reply) != nil || reply.ID != o.ID.String() {
		o.WrongAnswer = "got the answer of request " + reply.ID
	}
}

func (o *Outcome) refused(err error) {
	refused := (*caller.RefusalError)(nil)
	o.Refusal = "broken"
	o.Message = eris.ToString(err, false)
	if eris.As(err, &refused) {
		o.Refusal = refused.Type
		o.NotRun = refused.NotRun
		o.Billed = refused.BilledTokens
	}
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
