// Package evacuation holds which data centres are evacuated. Their backend servers get no new requests until
// an operator takes the evacuation back.
//
// State is replicated by the control group, List is what entry nodes learn of it. Both are plain data.
package evacuation

import (
	"fmt"
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/waxwingreel/waxwingreel/fleet"
)

const (
	// maxNameBytes limits the name of a data centre.
	maxNameBytes = 256
	// keptAttempts is the number of orders that are recognized when they come again.
	keptAttempts = 256
)

// Attempt identifies an order by a random number. Copies of an order that a node sends more than once have the same
// one. 0 means none.
type Attempt uint64

// Order starts or stops the evacuation of a data centre.
type Order struct {
	DataCentre fleet.DataCentre `json:"dataCentre"`
	Stop       bool             `json:"stop,omitempty"`
	Attempt    Attempt          `json:"attempt,omitempty"`
}

// Check returns an error if no data centre can have the name.
func (o Order) Check() error {
	name := string(o.DataCentre)
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
		return fmt.Errorf("data centre: the name is empty, longer than %d bytes or not UTF-8", maxNameBytes)
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return fmt.Errorf("data centre: the name has the character %U", r)
		}
	}
	return nil
}

// List has the evacuated data centres.
type List struct {
	// Number rises with each change. 0 means that there never was an evacuation.
	Number uint64 `json:"number"`
	// DataCentres is sorted.
	DataCentres []fleet.DataCentre `json:"dataCentres,omitempty"`
}

// Has reports whether a data centre is evacuated.
func (l List) Has(dataCentre fleet.DataCentre) bool {
	_, found := slices.BinarySearch(l.DataCentres, dataCentre)
	return found
}

// State is the replicated state. The zero value has no evacuation. It is not safe for concurrent use.
type State struct {
	List List `json:"list"`
	// Attempts are the latest orders, oldest first.
	Attempts []Attempt `json:"attempts,omitempty"`
}

// Apply applies an order and reports whether it changed the list. A copy of an order that was applied changes nothing.
func (s *State) Apply(o Order) bool {
	if o.Check() != nil || o.Attempt != 0 && slices.Contains(s.Attempts, o.Attempt) {
		return false
	}
	if o.Attempt != 0 {
		s.Attempts = append(s.Attempts, o.Attempt)
		s.Attempts = s.Attempts[max(len(s.Attempts)-keptAttempts, 0):]
	}
	i, found := slices.BinarySearch(s.List.DataCentres, o.DataCentre)
	if found != o.Stop {
		return false
	}
	// Lists that were passed on must not change.
	next := slices.Clone(s.List.DataCentres)
	if o.Stop {
		next = slices.Delete(next, i, i+1)
	} else {
		next = slices.Insert(next, i, o.DataCentre)
	}
	s.List = List{
		Number:      s.List.Number + 1,
		DataCentres: next,
	}
	return true
}
