package placement

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/waxwingreel/waxwingreel/catalog"
	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// loadHalfLife is the age at which a load report has half its initial weight.
	loadHalfLife = time.Second
	// suspectTime is how long a server is excluded when it is first suspected of
	// failure.
	suspectTime = 2 * time.Second
	// maxSuspectTime bounds the exclusion after repeated failures.
	maxSuspectTime = 15 * time.Second
	// drainingHold is the minimum time between learning that a server is draining
	// and taking a load report that clears the mark. Load reports lag behind.
	drainingHold = 3 * time.Second
	// hintTTL is how long a prefix is assumed to stay in a server's cache.
	hintTTL = 60 * time.Second
)

// maxHints bounds the number of prefix hints in a table.
const maxHints = 8192

// Limits per server, in thousandths of its slots.
const (
	// maxLongPerMille leaves slots for short requests.
	maxLongPerMille = 500
	// maxTrialPerMille leaves slots for paying traffic.
	maxTrialPerMille = 700
	// maxLoadPerMille is above 1000 so that a few requests queue at the server and
	// a freed slot is not idle for a round trip.
	maxLoadPerMille = 1250
)

// PrefixHash identifies a prompt prefix.
type PrefixHash uint64

// Policy selects the load-balancing algorithm of a Table.
type Policy string

const (
	// PolicyBest is the production policy. It picks the server with the lowest cost
	// among two random ones and those likely to have a prefix of the prompt cached.
	PolicyBest Policy = "best"
	// PolicyRoundRobin is the baseline that measurements compare with.
	PolicyRoundRobin Policy = "roundRobin"
)

// Config configures a Table.
type Config struct {
	Policy Policy
	Seed   uint64
	// Nodes is the expected number of nodes that share each server.
	Nodes int
}

// Request describes a request for which Pick chooses a server.
type Request struct {
	Class fleet.Class
	Tier  fleet.Tier
	// Cost is the expected work, in tokens.
	Cost fleet.Tokens
	// Prefixes are the hashes of the prompt's prefixes, shortest first. Each is
	// BlockTokens longer than the one before it.
	Prefixes    []PrefixHash
	BlockTokens fleet.Tokens
	// Avoid lists the servers on which earlier attempts failed.
	Avoid []fleet.BackendServerID
}

// LoadReport is the load that a server reported.
type LoadReport struct {
	Active   int
	Queued   int
	Age      time.Duration
	Draining bool
}

// Table is a node's load balancer for the servers of one model or service. It is
// not safe for concurrent use.
type Table struct {
	cfg       Config
	rng       *rand.Rand
	servers   map[fleet.BackendServerID]*server
	serverIDs []fleet.BackendServerID
	nextIndex int
	hints     map[PrefixHash]hint
}

// server is the state of one server. The counters cover only this node's requests.
type server struct {
	spec catalog.BackendServer
	// limit is the adaptive concurrency limit of this node at the server.
	limit             float64
	outstanding       int
	longRequests      int
	trialRequests     int
	outstandingTokens fleet.Tokens
	// reportedOthers is the number of other nodes' requests as of the latest load
	// report, which the server made at reportedAt.
	reportedOthers float64
	reportedAt     time.Duration
	// draining servers get no new requests; drainingAt is when the node last
	// learned of it.
	draining   bool
	drainingAt time.Duration
	// failures counts consecutive failures.
	failures     int
	suspectUntil time.Duration
}

// hint records the server that probably has a prefix cached, as of at.
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

// SetServers replaces the list of servers. The state of servers that remain is kept;
// removed ones get no new requests.
func (t *Table) SetServers(specs []catalog.BackendServer) {
	listed := map[fleet.BackendServerID]bool{}
	for _, spec := range specs {
		listed[spec.ID] = true
		s, ok := t.servers[spec.ID]
		if !ok || s.spec.Address != spec.Address {
			s = &server{limit: t.initialLimit(spec.Slots)}
			t.servers[spec.ID] = s
		}
		s.spec = spec
	}
	t.serverIDs = t.serverIDs[:0]
	for id, s := range t.servers {
		if listed[id] {
			t.serverIDs = append(t.serverIDs, id)
			continue
		}
		s.draining = true
		if s.outstanding == 0 {
			delete(t.servers, id)
		}
	}
	slices.Sort(t.serverIDs)
}

// initialLimit returns the initial concurrency limit at a server. It is twice an even
// share of the slots, since the nodes are rarely busy at the same time.
func (t *Table) initialLimit(slots int) float64 {
	return max(2, 2*float64(slots)/float64(max(t.cfg.Nodes, 1)))
}

// Report records a server's load report.
func (t *Table) Report(id fleet.BackendServerID, report LoadReport, now time.Duration) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	s.reportedOthers = max(0, float64(report.Active+report.Queued-s.outstanding))
	s.reportedAt = now - report.Age
	switch {
	case report.Draining:
		s.setDraining(now)
	case s.reportedAt > s.drainingAt+drainingHold:
		s.draining = false
	}
}

// setDraining marks the server as draining.
func (s *server) setDraining(now time.Duration) {
	s.draining = true
	s.drainingAt = now
}

// othersLoad estimates the load from other nodes: the reported load, discounted by the
// age of the report. If nodes trusted old reports, all of them would send their requests
// to the server that was idle a while ago.
func (s *server) othersLoad(now time.Duration) float64 {
	age := max(now-s.reportedAt, 0)
	return s.reportedOthers / (1 + float64(age)/float64(loadHalfLife))
}

// usable reports whether the server may get new requests.
func (s *server) usable(now time.Duration) bool {
	return !s.draining && !s.spec.Draining && now >= s.suspectUntil
}

// hasRoom reports whether the server has capacity for a request of a tier and class.
func (s *server) hasRoom(policy Policy, tier fleet.Tier, class fleet.Class, now time.Duration) bool {
	slots := float64(s.spec.Slots)
	load := float64(s.outstanding) + s.othersLoad(now)
	if policy == PolicyRoundRobin {
		return float64(s.outstanding) < slots*maxLoadPerMille/1000
	}
	switch {
	case float64(s.outstanding) >= s.limit:
		return false
	case load >= slots*maxLoadPerMille/1000:
		return false
	case class == fleet.ClassLong && float64(s.longRequests) >= max(1, min(s.limit, slots)*maxLongPerMille/1000):
		return false
	case tier == fleet.TierTrial && (load >= max(1, slots*maxTrialPerMille/1000) || float64(s.trialRequests) >= max(1, s.limit*maxTrialPerMille/1000)):
		return false
	}
	return true
}

// HasRoom reports whether any server has capacity for a request of a tier and class.
func (t *Table) HasRoom(tier fleet.Tier, class fleet.Class, now time.Duration) bool {
	for _, id := range t.serverIDs {
		if s := t.servers[id]; s.usable(now) && s.hasRoom(t.cfg.Policy, tier, class, now) {
			return true
		}
	}
	return false
}

// Usable returns how many servers may get new requests.
func (t *Table) Usable(now time.Duration) int {
	n := 0
	for _, id := range t.serverIDs {
		if t.servers[id].usable(now) {
			n++
		}
	}
	return n
}

// Pick chooses a server with capacity and counts the request as outstanding there. It
// reports false if there is none.
func (t *Table) Pick(r Request, now time.Duration) (catalog.BackendServer, bool) {
	candidates := t.candidates(r, now)
	if len(candidates) == 0 {
		return catalog.BackendServer{}, false
	}
	chosen := t.choose(candidates, r, now)
	t.recordStart(chosen, r)
	t.addHints(r.Prefixes, chosen.spec.ID, now)
	return chosen.spec, true
}

// candidates returns the servers with capacity. Servers to avoid are returned only if
// there is no other.
func (t *Table) candidates(r Request, now time.Duration) []*server {
	var candidates, avoided []*server
	for _, id := range t.serverIDs {
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

// choose picks one of the candidates. It compares two random ones, which keeps nodes from
// choosing the same server, and those likely to have a prefix of the prompt cached.
func (t *Table) choose(candidates []*server, r Request, now time.Duration) *server {
	if t.cfg.Policy == PolicyRoundRobin {
		t.nextIndex++
		return candidates[t.nextIndex%len(candidates)]
	}
	first := candidates[t.rng.IntN(len(candidates))]
	second := candidates[t.rng.IntN(len(candidates))]
	best := first
	if t.cost(second, r, now) < t.cost(first, r, now) {
		best = second
	}
	for _, cached := range t.likelyCached(candidates, r, now) {
		if t.cost(cached, r, now) < t.cost(best, r, now) {
			best = cached
		}
	}
	return best
}

// cost estimates the work, in tokens, until the request is done on a server: the
// outstanding work divided by the server's slots, plus the request's own work. Prompt
// tokens that the server probably has cached are subtracted.
func (t *Table) cost(s *server, r Request, now time.Duration) float64 {
	average := float64(r.Cost)
	if s.outstanding > 0 {
		average = float64(s.outstandingTokens) / float64(s.outstanding)
	}
	queued := float64(s.outstandingTokens) + s.othersLoad(now)*average
	return queued/float64(max(s.spec.Slots, 1)) + float64(r.Cost) - t.cachedTokens(s, r, now)
}

// cachedTokens estimates how many prompt tokens the server has cached.
func (t *Table) cachedTokens(s *server, r Request, now time.Duration) float64 {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		h, ok := t.hints[r.Prefixes[i]]
		if ok && h.server == s.spec.ID && now-h.at < hintTTL {
			return float64(i+1) * float64(r.BlockTokens)
		}
	}
	return 0
}

// likelyCached returns the candidates that probably have a prefix of the prompt cached.
func (t *Table) likelyCached(candidates []*server, r Request, now time.Duration) []*server {
	var cached []*server
	for _, prefix := range r.Prefixes {
		h, ok := t.hints[prefix]
		if !ok || now-h.at >= hintTTL {
			continue
		}
		for _, s := range candidates {
			if s.spec.ID == h.server && !slices.Contains(cached, s) {
				cached = append(cached, s)
			}
		}
	}
	return cached
}

// addHints records that a server probably has prefixes cached.
func (t *Table) addHints(prefixes []PrefixHash, id fleet.BackendServerID, now time.Duration) {
	for _, prefix := range prefixes {
		t.hints[prefix] = hint{
			server: id,
			at:     now,
		}
	}
	if len(t.hints) > maxHints {
		t.evictOldHints()
	}
}

// evictOldHints removes the oldest quarter of the hints.
func (t *Table) evictOldHints() {
	hashes := make([]PrefixHash, 0, len(t.hints))
	for hash := range t.hints {
		hashes = append(hashes, hash)
	}
	sort.Slice(hashes, func(i, j int) bool { return t.hints[hashes[i]].at < t.hints[hashes[j]].at })
	for _, hash := range hashes[:len(hashes)/4] {
		delete(t.hints, hash)
	}
}

// CacheEvent records a server's delayed notice that it has cached or evicted a prefix.
// A hint for another server takes precedence until it expires after hintTTL.
func (t *Table) CacheEvent(id fleet.BackendServerID, prefix PrefixHash, cached bool, now time.Duration) {
	h, known := t.hints[prefix]
	switch {
	case !cached && known && h.server == id:
		delete(t.hints, prefix)
	case cached && (!known || now-h.at >= hintTTL):
		t.addHints([]PrefixHash{prefix}, id, now)
	}
}

// CacheMiss records that a server did not have the expected prefixes cached.
func (t *Table) CacheMiss(id fleet.BackendServerID, prefixes []PrefixHash) {
	for _, prefix := range prefixes {
		if t.hints[prefix].server == id {
			delete(t.hints, prefix)
		}
	}
}

// recordStart counts a request as outstanding.
func (t *Table) recordStart(s *server, r Request) {
	s.outstanding++
	s.outstandingTokens += r.Cost
	if r.Class == fleet.ClassLong {
		s.longRequests++
	}
	if r.Tier == fleet.TierTrial {
		s.trialRequests++
	}
}

// Outcome is the result of an attempt.
type Outcome int

const (
	// OutcomeOK means that the server responded in time.
	OutcomeOK Outcome = iota
	// OutcomeSlow means that the server responded late or with a 5xx status.
	OutcomeSlow
	// OutcomeBusy means that the server rejected the request for lack of capacity.
	OutcomeBusy
	// OutcomeDraining means that the server rejected the request because it is
	// draining.
	OutcomeDraining
	// OutcomeFailed means that the server was unreachable or the connection broke.
	OutcomeFailed
	// OutcomeNeutral means that the attempt is no evidence about the server, for
	// example because the caller disconnected.
	OutcomeNeutral
)

// Finish ends an attempt that Pick started and updates the server's state.
func (t *Table) Finish(id fleet.BackendServerID, r Request, outcome Outcome, now time.Duration) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	atLimit := float64(s.outstanding) >= s.limit-1
	s.outstanding--
	s.outstandingTokens -= r.Cost
	if r.Class == fleet.ClassLong {
		s.longRequests--
	}
	if r.Tier == fleet.TierTrial {
		s.trialRequests--
	}
	s.recordOutcome(outcome, atLimit, now)
}

// recordOutcome adapts the concurrency limit by additive increase and multiplicative
// decrease: up after a success at the limit, down after a slow or rejected request. It
// also excludes servers that are draining or failed.
func (s *server) recordOutcome(outcome Outcome, atLimit bool, now time.Duration) {
	switch outcome {
	case OutcomeOK:
		s.failures = 0
		if atLimit {
			s.limit = min(s.limit+1/s.limit, float64(s.spec.Slots)*maxLoadPerMille/1000)
		}
	case OutcomeSlow, OutcomeBusy:
		s.limit = max(1, s.limit*0.9)
	case OutcomeDraining:
		s.setDraining(now)
	case OutcomeFailed:
		s.failures++
		exclusion := suspectTime << min(s.failures-1, 3)
		s.suspectUntil = now + min(exclusion, maxSuspectTime)
	}
}

// ServerView is the state of one server as shown to operators.
type ServerView struct {
	ID          fleet.BackendServerID `json:"id"`
	Outstanding int                   `json:"outstanding"`
	Limit       float64               `json:"limit"`
	Others      float64               `json:"others"`
	Usable      bool                  `json:"usable"`
}

// Servers returns the current state of all servers, sorted by id.
func (t *Table) Servers(now time.Duration) []ServerView {
	var views []ServerView
	for _, id := range t.serverIDs {
		s := t.servers[id]
		views = append(views, ServerView{
			ID:          id,
			Outstanding: s.outstanding,
			Limit:       s.limit,
			Others:      s.othersLoad(now),
			Usable:      s.usable(now),
		})
	}
	return views
}
