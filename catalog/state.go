package catalog

import (
	"slices"
	"sort"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// RetainedOutcomes is how many ticket outcomes are kept for repeated tickets.
const RetainedOutcomes = 20_000

// State is the whole configuration. It is not safe for concurrent use.
type State struct {
	version fleet.Version
	objects map[Key]Object
	// changes lists the objects in the order of their changes. An item whose
	// version is not its object's is out of date and passed over.
	changes  []changeRef
	outcomes map[fleet.TicketNumber]record
	// floor is the highest ticket number whose outcome was dropped.
	floor fleet.TicketNumber
}

type changeRef struct {
	version fleet.Version
	key     Key
}

type record struct {
	Digest  fleet.Digest `json:"digest"`
	Outcome Outcome      `json:"outcome"`
}

// New returns an empty configuration.
func New() *State {
	return &State{
		objects:  map[Key]Object{},
		outcomes: map[fleet.TicketNumber]record{},
	}
}

// Version returns the number of changes accepted so far.
func (s *State) Version() fleet.Version {
	return s.version
}

// Apply carries out a ticket, whole or not at all, and returns its outcome. The
// check function adds the rules that other state machines hold; it is called
// only for a ticket that is otherwise sound.
//
// A ticket that comes again with the same content gets its first outcome again.
// Only accepted tickets take their number, so that a mistyped ticket can be
// mended and sent again.
func (s *State) Apply(ticket Ticket, now fleet.UnixMillis, check func([]Change) []Problem) Outcome {
	digest := ticket.Digest()
	if first, ok := s.outcomes[ticket.Number]; ok {
		if first.Digest == digest {
			return first.Outcome
		}
		return s.refuseNumber(ticket.Number, first, now)
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
		s.put(ticket.Number, change)
	}
	outcome := Outcome{
		Number:   ticket.Number,
		Accepted: true,
		Version:  s.version,
		At:       now,
	}
	s.outcomes[ticket.Number] = record{
		Digest:  digest,
		Outcome: outcome,
	}
	s.dropOldOutcomes()
	return outcome
}

func (s *State) refuseNumber(number fleet.TicketNumber, first record, now fleet.UnixMillis) Outcome {
	return Outcome{
		Number: number,
		Winner: first.Digest.String(),
		Problems: []Problem{{
			Field:  "number",
			Reason: "another ticket already has this number",
			Hint:   "read the winner with GET /v1/tickets/{number}, then send yours under a higher number",
		}},
		At: now,
	}
}

func (s *State) put(number fleet.TicketNumber, change Change) {
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
	s.changes = append(s.changes, changeRef{
		version: object.Version,
		key:     object.Key,
	})
	if len(s.changes) > 2*len(s.objects)+1000 {
		s.listChanges()
	}
}

// listChanges rebuilds the list of changes without its out-of-date items.
func (s *State) listChanges() {
	s.changes = make([]changeRef, 0, len(s.objects))
	for key, object := range s.objects {
		s.changes = append(s.changes, changeRef{
			version: object.Version,
			key:     key,
		})
	}
	sort.Slice(s.changes, func(i, j int) bool {
		a, b := s.changes[i], s.changes[j]
		return a.version < b.version || a.version == b.version && lessKey(a.key, b.key)
	})
}

func (s *State) dropOldOutcomes() {
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
		s.floor = max(s.floor, number)
	}
}

// Outcome returns the outcome of an accepted ticket.
func (s *State) Outcome(number fleet.TicketNumber) (Outcome, fleet.Digest, bool) {
	first, ok := s.outcomes[number]
	return first.Outcome, first.Digest, ok
}

// Outcomes returns the newest accepted outcomes, newest first, at most limit.
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

// Delta is the part of the configuration that a node lacks.
type Delta struct {
	// From is the version that the receiver must have, 0 for a whole
	// configuration.
	From    fleet.Version `json:"from"`
	To      fleet.Version `json:"to"`
	Objects []Object      `json:"objects"`
}

// Since returns what has changed after the given version, as entry nodes need it:
// without the budgets, whose amounts only the ledger uses. Records of removals are
// kept, so a delta is right from any version on.
func (s *State) Since(from fleet.Version) Delta {
	delta := Delta{
		From: from,
		To:   s.version,
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > from })
	for _, change := range s.changes[first:] {
		object := s.objects[change.key]
		current := object.Version == change.version
		needed := change.key.Kind != KindBudget && (from > 0 || !object.Removed())
		if current && needed {
			delta.Objects = append(delta.Objects, object)
		}
	}
	return delta
}

// Each calls visit for every present object of a kind, in no fixed order.
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

// Image is the whole state, for snapshots.
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

// Image returns a copy of the whole state, in a fixed order.
func (s *State) Image() Image {
	image := Image{
		Version:        s.version,
		HighestDropped: s.floor,
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

// FromImage rebuilds the state that the image was taken of.
func FromImage(image Image) *State {
	s := New()
	s.version = image.Version
	s.floor = image.HighestDropped
	for _, object := range image.Objects {
		s.objects[object.Key] = object
	}
	s.listChanges()
	for _, o := range image.Outcomes {
		s.outcomes[o.Outcome.Number] = record(o)
	}
	return s
}
