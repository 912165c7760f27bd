package catalog

import (
	"slices"
	"sort"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// RetainedOutcomes is how many outcomes of accepted tickets are kept, so that a resent
// ticket gets its original outcome.
const RetainedOutcomes = 20_000

// State is the whole configuration. It is not safe for concurrent use.
type State struct {
	version fleet.Version
	objects map[Key]Object
	// changes lists the objects in the order of their changes. An entry whose
	// version differs from its object's is outdated and skipped.
	changes  []changeEntry
	outcomes map[fleet.TicketNumber]acceptedTicket
	// highestDropped is the highest ticket number whose outcome is no longer kept.
	highestDropped fleet.TicketNumber
}

type changeEntry struct {
	version fleet.Version
	key     Key
}

type acceptedTicket struct {
	Digest  fleet.Digest `json:"digest"`
	Outcome Outcome      `json:"outcome"`
}

// New returns an empty configuration.
func New() *State {
	return &State{
		objects:  map[Key]Object{},
		outcomes: map[fleet.TicketNumber]acceptedTicket{},
	}
}

// Version returns the number of changes accepted so far.
func (s *State) Version() fleet.Version {
	return s.version
}

// Apply applies all changes of a ticket or none, and returns the outcome. The check
// function adds the rules of other state machines; it is called only for a ticket
// that is otherwise valid.
//
// Apply is idempotent: a ticket resent with the same content gets its original
// outcome. Only an accepted ticket takes up its number, so that a refused ticket can
// be corrected and sent again under the same number.
func (s *State) Apply(ticket Ticket, now fleet.UnixMillis, check func([]Change) []Problem) Outcome {
	digest := ticket.Digest()
	if first, ok := s.outcomes[ticket.Number]; ok {
		if first.Digest == digest {
			return first.Outcome
		}
		return s.duplicateNumberOutcome(ticket.Number, first, now)
	}
	problems := s.validate(ticket)
	if len(problems) == 0 && check != nil {
		problems = check(ticket.Changes)
	}
	if len(problems) > 0 {
		return Outcome{
			Number:   ticket.Number,
			Problems: problems,
			At:       now,
		}
	}
	s.version++
	for _, change := range ticket.Changes {
		s.setObject(ticket.Number, change)
	}
	outcome := Outcome{
		Number:   ticket.Number,
		Accepted: true,
		Version:  s.version,
		At:       now,
	}
	s.outcomes[ticket.Number] = acceptedTicket{
		Digest:  digest,
		Outcome: outcome,
	}
	s.evictOldOutcomes()
	return outcome
}

func (s *State) duplicateNumberOutcome(number fleet.TicketNumber, first acceptedTicket, now fleet.UnixMillis) Outcome {
	return Outcome{
		Number:         number,
		AcceptedDigest: first.Digest.String(),
		Problems: []Problem{{
			Field:  "number",
			Reason: "another ticket with this number was accepted already",
			Hint:   "read the accepted ticket with GET /v1/tickets/{number}, then send yours under a higher number",
		}},
		At: now,
	}
}

func (s *State) setObject(number fleet.TicketNumber, change Change) {
	object := Object{
		Ticket:  number,
		Version: s.version,
	}
	if change.Remove != nil {
		object.Key = *change.Remove
	} else {
		object.Key = change.keys()[0]
		object.Body = change.Body
	}
	s.objects[object.Key] = object
	s.changes = append(s.changes, changeEntry{
		version: object.Version,
		key:     object.Key,
	})
	if len(s.changes) > 2*len(s.objects)+1000 {
		s.rebuildChanges()
	}
}

// rebuildChanges rebuilds the list of changes without its outdated entries.
func (s *State) rebuildChanges() {
	s.changes = make([]changeEntry, 0, len(s.objects))
	for key, object := range s.objects {
		s.changes = append(s.changes, changeEntry{
			version: object.Version,
			key:     key,
		})
	}
	sort.Slice(s.changes, func(i, j int) bool {
		a, b := s.changes[i], s.changes[j]
		return a.version < b.version || a.version == b.version && lessKey(a.key, b.key)
	})
}

func (s *State) evictOldOutcomes() {
	if len(s.outcomes) <= RetainedOutcomes+RetainedOutcomes/10 {
		return
	}
	numbers := make([]fleet.TicketNumber, 0, len(s.outcomes))
	for number := range s.outcomes {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers[:len(numbers)-RetainedOutcomes] {
		delete(s.outcomes, number)
		s.highestDropped = max(s.highestDropped, number)
	}
}

// Outcome returns the outcome of an accepted ticket.
func (s *State) Outcome(number fleet.TicketNumber) (Outcome, fleet.Digest, bool) {
	first, ok := s.outcomes[number]
	return first.Outcome, first.Digest, ok
}

// Outcomes returns the outcomes of the last accepted tickets, newest first, at most
// limit.
func (s *State) Outcomes(limit int) []Outcome {
	all := make([]Outcome, 0, len(s.outcomes))
	for _, r := range s.outcomes {
		all = append(all, r.Outcome)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Version > all[j].Version })
	return all[:min(limit, len(all))]
}

// Object returns the object with this key, unless it was removed.
func (s *State) Object(key Key) (Object, bool) {
	object, ok := s.objects[key]
	return object, ok && !object.Removed()
}

// Delta holds the objects that changed between two versions of the configuration.
type Delta struct {
	// From is the version that the receiver must have reached, or 0 for a full
	// configuration that replaces what the receiver has.
	From    fleet.Version `json:"from"`
	To      fleet.Version `json:"to"`
	Objects []Object      `json:"objects"`
}

// Since returns the changes after the given version, for the entry nodes. Budgets are
// left out, since only the ledger uses their amounts. Removals stay in the state as
// tombstones, so a delta is complete whatever version it starts from.
func (s *State) Since(from fleet.Version) Delta {
	delta := Delta{
		From: from,
		To:   s.version,
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > from })
	for _, change := range s.changes[first:] {
		object := s.objects[change.key]
		current := object.Version == change.version
		included := change.key.Kind != KindBudget && (from > 0 || !object.Removed())
		if current && included {
			delta.Objects = append(delta.Objects, object)
		}
	}
	return delta
}

// Each calls visit for every object of a kind that is not removed, in no fixed order.
func (s *State) Each(kind Kind, visit func(Object)) {
	for key, object := range s.objects {
		if key.Kind == kind && !object.Removed() {
			visit(object)
		}
	}
}

func lessKey(a, b Key) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.ID < b.ID
}

// Image is the complete state as a snapshot stores it.
type Image struct {
	Version        fleet.Version      `json:"version"`
	HighestDropped fleet.TicketNumber `json:"floor"`
	Objects        []Object           `json:"objects"`
	Outcomes       []OutcomeImage     `json:"outcomes"`
}

// OutcomeImage is one retained ticket outcome.
type OutcomeImage struct {
	Digest  fleet.Digest `json:"digest"`
	Outcome Outcome      `json:"outcome"`
}

// Image returns a copy of the complete state, in a fixed order.
func (s *State) Image() Image {
	image := Image{
		Version:        s.version,
		HighestDropped: s.highestDropped,
	}
	for _, object := range s.objects {
		image.Objects = append(image.Objects, object)
	}
	sort.Slice(image.Objects, func(i, j int) bool { return lessKey(image.Objects[i].Key, image.Objects[j].Key) })
	for _, r := range s.outcomes {
		image.Outcomes = append(image.Outcomes, OutcomeImage(r))
	}
	sort.Slice(image.Outcomes, func(i, j int) bool {
		return image.Outcomes[i].Outcome.Number < image.Outcomes[j].Outcome.Number
	})
	return image
}

// FromImage restores the state from an image.
func FromImage(image Image) *State {
	s := New()
	s.version = image.Version
	s.highestDropped = image.HighestDropped
	for _, object := range image.Objects {
		s.objects[object.Key] = object
	}
	s.rebuildChanges()
	for _, o := range image.Outcomes {
		s.outcomes[o.Outcome.Number] = acceptedTicket(o)
	}
	return s
}
