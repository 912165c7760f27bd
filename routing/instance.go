package routing

import (
	"fmt"
	"math"
	"net/netip"
	"unicode"
	"unicode/utf8"
)

// Limits of the fields of an instance. They are far above what lists have.
const (
	maxNameBytes = 256
	maxSlots     = 1 << 20
	// maxBorn is the largest whole number that every JSON writer can represent, in the year 287396.
	maxBorn = 1<<53 - 1
	// maxInstanceCount is the number of instances up to which a list is used.
	maxInstanceCount = 1 << 16
)

// Check returns an error for the first field that no instance can have. The id goes into the header of
// each request to the instance.
func (i Instance) Check() error {
	if err := checkName("id", string(i.ID)); err != nil {
		return err
	}
	if err := checkName("service", string(i.Service)); err != nil {
		return err
	}
	if err := checkOptionalName("data centre", string(i.DataCentre)); err != nil {
		return err
	}
	if err := checkOptionalName("software version", string(i.Software)); err != nil {
		return err
	}
	switch {
	case !mayListen(i.Address):
		return fmt.Errorf("address %s: no server can listen there", i.Address)
	case i.Slots < 1 || i.Slots > maxSlots:
		return fmt.Errorf("slots: got %d, want 1 to %d", i.Slots, maxSlots)
	case i.Born < 0 || i.Born > maxBorn:
		return fmt.Errorf("time of start: got %d, want milliseconds from 0 to %d", i.Born, int64(maxBorn))
	}
	return nil
}

// broadcast is the address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{math.MaxUint8, math.MaxUint8, math.MaxUint8, math.MaxUint8})

// mayListen reports whether a server can listen at an address.
func mayListen(address netip.AddrPort) bool {
	ip := address.Addr()
	return ip.IsValid() && address.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}

// checkOptionalName is like checkName, but the name may be empty.
func checkOptionalName(field, name string) error {
	if name == "" {
		return nil
	}
	return checkName(field, name)
}

// checkName returns an error if a name is empty or too long, or has characters that a header field
// cannot hold.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
		return fmt.Errorf("%s: empty, longer than %d bytes or not UTF-8", field, maxNameBytes)
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return fmt.Errorf("%s: has the character %U", field, r)
		}
	}
	return nil
}

// SoundInstances returns the instances of a list that can exist, and the number of others. A list with
// more than 65,536 entries is cut there.
func SoundInstances(list []Instance) (sound []Instance, odd int) {
	for n, i := range list {
		if n >= maxInstanceCount || i.Check() != nil {
			odd++
			continue
		}
		sound = append(sound, i)
	}
	return sound, odd
}
