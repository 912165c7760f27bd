package placement

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

// Times of the table.
const (
	// loadHalfLife is the age at which a load report counts half.
	loadHalfLife = time.Second
	// suspectTime keeps a server that failed out of the choice.
	suspectTime = 2 * time.Second
	// maxSuspectTime bounds the same after repeated failures.
	maxSuspectTime = 15 * time.Second
	// leavingHold is how much newer than the word that a server is leaving a
	// report must be to be believed that it stays: reports lag.
	leavingHold = 3 * time.Second
	// hintLife is how long a prefix is expected to stay in a server's cache.
	hintLife = 60 * time.Second
)

// maxHints bounds the remembered prefixes.
const maxHints = 8192

// Shares of a server's slots.
const (
	longPerMille  = 500
	trialPerMille = 700
	// fullPerMille lets a little work queue at the server, so that a slot is
	// not idle for a round trip.
	fullPerMille = 1250
)

// PrefixHash identifies a leading part of a prompt.
type PrefixHash uint64

// Policy chooses how a server is picked.
type Policy string

// The policies. Best is in use; round robin is the baseline of measurements.
const (
	PolicyBest       Policy = "best"
	PolicyRoundRobin Policy = "roundRobin"
)

// Config sets up a Table.
type Config struct {
	Policy Policy
	Seed   uint64
	// Nodes is how many nodes are likely to use each server.
	Nodes int
}

// Request is what the choice depends on.
type Request struct {
	Class fleet.Class
	Tier  fleet.Tier
	// Cost is the expected work, in tokens.
	Cost fleet.Tokens
	// Prefixes are the hashes of the prompt's leading blocks, the longest
	// last, each standing for BlockTokens more tokens.
	Prefixes    []PrefixHash
	BlockTokens fleet.Tokens
	// Avoid lists servers that an earlier attempt failed on.
	Avoid []fleet.BackendServerID
}

// LoadReport is what a server says of its load.
type LoadReport struct {
	Active   int
	Queued   int
	Age      time.Duration
	Draining bool
}

// Table is what a node knows of the servers of one model or service. It is not
// safe for concurrent use.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	servers map[fleet.BackendServerID]*server
	order   []fleet.BackendServerID
	turn    int
	hints   map[PrefixHash]hint
}

type server struct {
	spec        catalog.BackendServer
	limit       float64
	outstanding int
	long        int
	trial       int
	tokens      fleet.Tokens
	// reported is the load of others at the time of the latest report.
	reported   float64
	reportedAt time.Duration
	// leaving servers get no new work; leavingAt is when that was last heard.
	leaving   bool
	leavingAt time.Duration
	failures  int
	suspect   time.Duration
}

type hint struct {
	server fleet.BackendServerID
	at     time.Duration
}

// New returns a table without servers.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		servers: map[fleet.BackendServerID]*server{},
		hints:   map[PrefixHash]hint{},
	}
}

// SetServers puts a set of servers in place. What is known of those that stay is
// kept; the others get no new work.
func (t *Table) SetServers(specs []catalog.BackendServer) {
	listed := map[fleet.BackendServerID]bool{}
	for _, spec := range specs {
		listed[spec.ID] = true
		s, ok := t.servers[spec.ID]
		if !ok || s.spec.Address != spec.Address {
			s = &server{limit: t.firstLimit(spec.Slots)}
			t.servers[spec.ID] = s
		}
		s.spec = spec
	}
	t.order = t.order[:0]
	for id, s := range t.servers {
		if listed[id] {
			t.order = append(t.order, id)
			continue
		}
		s.leaving = true
		if s.outstanding == 0 {
			delete(t.servers, id)
		}
	}
	slices.Sort(t.order)
}

// firstLimit is the share of a server's slots that a node starts with. It is twice
// an even share, since the nodes are seldom busy together.
func (t *Table) firstLimit(slots int) float64 {
	return max(2, 2*float64(slots)/float64(max(t.cfg.Nodes, 1)))
}

// Report takes in a server's load report.
func (t *Table) Report(id fleet.BackendServerID, report LoadReport, now time.Duration) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	s.reported = max(0, float64(report.Active+report.Queued-s.outstanding))
	s.reportedAt = now - report.Age
	switch {
	case report.Draining:
		s.leave(now)
	case s.reportedAt > s.leavingAt+leavingHold:
		s.leaving = false
	}
}

func (s *server) leave(now time.Duration) {
	s.leaving = true
	s.leavingAt = now
}

// others estimates the load that other nodes put on a server: the reported one,
// discounted by its age. An old report says little, and trusting it would send all
// nodes to the server that was idle a while ago.
func (s *server) others(now time.Duration) float64 {
	age := max(now-s.reportedAt, 0)
	return s.reported / (1 + float64(age)/float64(loadHalfLife))
}

func (s *server) usable(now time.Duration) bool {
	return !s.leaving && !s.spec.Leaving && now >= s.suspect
}

// hasRoom reports whether a server can take a request of a tier and class.
func (s *server) hasRoom(policy Policy, tier fleet.Tier, class fleet.Class, now time.Duration) bool {
	slots := float64(s.spec.Slots)
	load := float64(s.outstanding) + s.others(now)
	if policy == PolicyRoundRobin {
		return float64(s.outstanding) < slots*fullPerMille/1000
	}
	switch {
	case float64(s.outstanding) >= s.limit:
		return false
	case load >= slots*fullPerMille/1000:
		return false
	case class == fleet.ClassLong && float64(s.long) >= max(1, min(s.limit, slots)*longPerMille/1000):
		return false
	case tier == fleet.TierTrial && (load >= max(1, slots*trialPerMille/1000) || float64(s.trial) >= max(1, s.limit*trialPerMille/1000)):
		return false
	}
	return true
}

// HasRoom reports whether any server can take a request of a tier and class.
func (t *Table) HasRoom(tier fleet.Tier, class fleet.Class, now time.Duration) bool {
	for _, id := range t.order {
		if s := t.servers[id]; s.usable(now) && s.hasRoom(t.cfg.Policy, tier, class, now) {
			return true
		}
	}
	return false
}

// Usable returns how many servers may get new work.
func (t *Table) Usable(now time.Duration) int {
	n := 0
	for _, id := range t.order {
		if t.servers[id].usable(now) {
			n++
		}
	}
	return n
}

// Pick chooses a server with room and counts the request as started on it.
func (t *Table) Pick(r Request, now time.Duration) (catalog.BackendServer, bool) {
	candidates := t.candidates(r, now)
	if len(candidates) == 0 {
		return catalog.BackendServer{}, false
	}
	chosen := t.choose(candidates, r, now)
	t.start(chosen, r)
	t.remember(r.Prefixes, chosen.spec.ID, now)
	return chosen.spec, true
}

// candidates returns the servers with room, those to avoid only if there is no
// other.
func (t *Table) candidates(r Request, now time.Duration) []*server {
	var candidates, avoided []*server
	for _, id := range t.order {
		s := t.servers[id]
		switch {
		case !s.usable(now) || !s.hasRoom(t.cfg.Policy, r.Tier, r.Class, now):
		case slices.Contains(r.Avoid, id):
			avoided = append(avoided, s)
		default:
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return avoided
	}
	return candidates
}

func (t *Table) choose(candidates []*server, r Request, now time.Duration) *server {
	if t.cfg.Policy == PolicyRoundRobin {
		t.turn++
		return candidates[t.turn%len(candidates)]
	}
	first := candidates[t.rng.IntN(len(candidates))]
	second := candidates[t.rng.IntN(len(candidates))]
	best := first
	if t.cost(second, r, now) < t.cost(first, r, now) {
		best = second
	}
	for _, holder := range t.holders(candidates, r, now) {
		if t.cost(holder, r, now) < t.cost(best, r, now) {
			best = holder
		}
	}
	return best
}

// cost is the work that a request would find before it on a server and bring with
// it, for each of the server's slots. Prompt tokens that the server is likely to
// hold in its cache bring no work.
func (t *Table) cost(s *server, r Request, now time.Duration) float64 {
	average := float64(r.Cost)
	if s.outstanding > 0 {
		average = float64(s.tokens) / float64(s.outstanding)
	}
	before := float64(s.tokens) + s.others(now)*average
	return before/float64(max(s.spec.Slots, 1)) + float64(r.Cost) - t.cached(s, r, now)
}

func (t *Table) cached(s *server, r Request, now time.Duration) float64 {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		h, ok := t.hints[r.Prefixes[i]]
		if ok && h.server == s.spec.ID && now-h.at < hintLife {
			return float64(i+1) * float64(r.BlockTokens)
		}
	}
	return 0
}

// holders returns the candidates that are likely to hold a prefix of the prompt.
func (t *Table) holders(candidates []*server, r Request, now time.Duration) []*server {
	var holders []*server
	for _, prefix := range r.Prefixes {
		h, ok := t.hints[prefix]
		if !ok || now-h.at >= hintLife {
			continue
		}
		for _, s := range candidates {
			if s.spec.ID == h.server && !slices.Contains(holders, s) {
				holders = append(holders, s)
			}
		}
	}
	return holders
}

func (t *Table) remember(prefixes []PrefixHash, id fleet.BackendServerID, now time.Duration) {
	for _, prefix := range prefixes {
		t.hints[prefix] = hint{
			server: id,
			at:     now,
		}
	}
	if len(t.hints) > maxHints {
		t.forgetOldHints()
	}
}

func (t *Table) forgetOldHints() {
	hashes := make([]PrefixHash, 0, len(t.hints))
	for hash := range t.hints {
		hashes = append(hashes, hash)
	}
	sort.Slice(hashes, func(i, j int) bool { return t.hints[hashes[i]].at < t.hints[hashes[j]].at })
	for _, hash := range hashes[:len(hashes)/4] {
		delete(t.hints, hash)
	}
}

// CacheEvent takes in a server's late word that it keeps or has dropped a prefix.
func (t *Table) CacheEvent(id fleet.BackendServerID, prefix PrefixHash, kept bool, now time.Duration) {
	h, known := t.hints[prefix]
	switch {
	case !kept && known && h.server == id:
		delete(t.hints, prefix)
	case kept && (!known || now-h.at >= hintLife):
		t.remember([]PrefixHash{prefix}, id, now)
	}
}

// CacheMiss takes note that a server did not hold a prefix that it was expected to.
func (t *Table) CacheMiss(id fleet.BackendServerID, prefixes []PrefixHash) {
	for _, prefix := range prefixes {
		if t.hints[prefix].server == id {
			delete(t.hints, prefix)
		}
	}
}

func (t *Table) start(s *server, r Request) {
	s.outstanding++
	s.tokens += r.Cost
	if r.Class == fleet.ClassLong {
		s.long++
	}
	if r.Tier == fleet.TierTrial {
		s.trial++
	}
}

// Outcome tells how an attempt ended.
type Outcome int

// The outcomes.
const (
	// OutcomeOK means that the server did its work in good time.
	OutcomeOK Outcome = iota
	// OutcomeSlow means that the server did its work late.
	OutcomeSlow
	// OutcomeBusy means that the server refused for lack of room.
	OutcomeBusy
	// OutcomeDraining means that the server refused because it is leaving.
	OutcomeDraining
	// OutcomeFailed means that the server could not be reached or broke off.
	OutcomeFailed
	// OutcomeNeutral says nothing of the server, as when the caller left.
	OutcomeNeutral
)

// Finish ends an attempt that Pick began, and learns from it.
func (t *Table) Finish(id fleet.BackendServerID, r Request, outcome Outcome, now time.Duration) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	full := float64(s.outstanding) >= s.limit-1
	s.outstanding--
	s.tokens -= r.Cost
	if r.Class == fleet.ClassLong {
		s.long--
	}
	if r.Tier == fleet.TierTrial {
		s.trial--
	}
	s.learn(outcome, full, now)
}

// learn adapts the limit: up by a little for good work while it was in the way,
// down by a part for work that came late or was refused.
func (s *server) learn(outcome Outcome, full bool, now time.Duration) {
	switch outcome {
	case OutcomeOK:
		s.failures = 0
		if full {
			s.limit = min(s.limit+1/s.limit, float64(s.spec.Slots)*fullPerMille/1000)
		}
	case OutcomeSlow, OutcomeBusy:
		s.limit = max(1, s.limit*0.9)
	case OutcomeDraining:
		s.leave(now)
	case OutcomeFailed:
		s.failures++
		pause := suspectTime << min(s.failures-1, 3)
		s.suspect = now + min(pause, maxSuspectTime)
	}
}

// ServerView is one server as operators see it.
type ServerView struct {
	ID          fleet.BackendServerID `json:"id"`
	Outstanding int                   `json:"outstanding"`
	Limit       float64               `json:"limit"`
	Others      float64               `json:"others"`
	Usable      bool                  `json:"usable"`
}

// Servers returns the present view, in order of id.
func (t *Table) Servers(now time.Duration) []ServerView {
	var views []ServerView
	for _, id := range t.order {
		s := t.servers[id]
		views = append(views, ServerView{
			ID:          id,
			Outstanding: s.outstanding,
			Limit:       s.limit,
			Others:      s.others(now),
			Usable:      s.usable(now),
		})
	}
	return views
}
