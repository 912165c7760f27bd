// Package settings reads and checks a node's settings file, which is JSON with
// comments. A file is checked whole before anything is opened.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// Settings is one node's settings.
type Settings struct {
	Node       fleet.NodeID     `json:"node"`
	DataCentre fleet.DataCentre `json:"dataCentre"`
	Listen     Listen           `json:"listen"`
	// Advertise holds the addresses that others use, where they differ from
	// those that the node listens on.
	Advertise Advertise `json:"advertise,omitzero"`
	// FleetSecret is shared by all nodes of the fleet; FleetSecretFile names a
	// file that holds it instead.
	FleetSecret     string `json:"fleetSecret,omitempty"`
	FleetSecretFile string `json:"fleetSecretFile,omitempty"`
	// OperatorKeys are the SHA-256 sums of the keys that operators use.
	OperatorKeys []string      `json:"operatorKeys"`
	ControlNodes []ControlNode `json:"controlNodes"`
	// Control is present on a node that carries a control replica.
	Control *Control `json:"control,omitempty"`
	// Entry is present on a node that answers callers.
	Entry *Entry `json:"entry,omitempty"`
	// Site is present on a node that serves routed requests or their
	// configuration. Its control VMs find one another from seeds.
	Site *Site `json:"site,omitempty"`
}

// Site sets up a node that serves routed requests, or, with Control, their
// configuration.
type Site struct {
	// Seeds are addresses of control VMs. Their ports are not used: all control
	// VMs take part in the fleet's own traffic at SeedPort.
	Seeds    []netip.AddrPort `json:"seeds"`
	SeedPort uint16           `json:"seedPort"`
	// MaxFailures is how many control VMs may be lost at once.
	MaxFailures int        `json:"losses,omitempty"`
	Listen      SiteListen `json:"listen"`
	// MemoryMegabytes is the memory that the process may use, 0 for no bound.
	MemoryMegabytes int64 `json:"memoryMegabytes,omitempty"`
	// InstanceList is the address of the list of instances, InstanceListRate the
	// readings a second that all nodes together may make.
	InstanceList     netip.AddrPort `json:"instanceList"`
	InstanceListRate float64        `json:"instanceListRate"`
	// RetryRatio and RetrySlack bound what all nodes together send beyond the
	// first attempt of each request.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// StopMillis is the time that a planned stop may take.
	StopMillis int64 `json:"stopMillis"`
}

// SiteListen holds a node's addresses at a site. Those of roles that the node does
// not have are absent.
type SiteListen struct {
	Callers   netip.AddrPort `json:"callers,omitzero"`
	Ready     netip.AddrPort `json:"ready,omitzero"`
	Directory netip.AddrPort `json:"directory,omitzero"`
	Control   netip.AddrPort `json:"control,omitzero"`
	Metrics   netip.AddrPort `json:"metrics,omitzero"`
}

// SeedAddresses returns where the seeds take part in the fleet's own traffic.
func (s Site) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), s.SeedPort))
	}
	return addresses
}

// Listen holds the node's own addresses.
type Listen struct {
	Wire      netip.AddrPort `json:"wire"`
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
}

// Advertise holds the addresses that others use to reach the node.
type Advertise struct {
	Wire    netip.AddrPort `json:"wire,omitzero"`
	Callers netip.AddrPort `json:"callers,omitzero"`
}

// ControlNode is one VM that may carry a control replica.
type ControlNode struct {
	Node fleet.NodeID   `json:"node"`
	Wire netip.AddrPort `json:"wire"`
}

// Control sets up the control role.
type Control struct {
	DataFolder string `json:"dataFolder"`
	// Bootstrap lets exactly one node form the group on its very first start.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// LoadsPerMinute is the rate of the weight store: how many orders to load a
	// model or adapter the whole fleet may give.
	LoadsPerMinute int `json:"loadsPerMinute,omitempty"`
}

// Entry sets up the entry role.
type Entry struct {
	// LeaseSharePerMille is the part of a budget's free remainder that one
	// node may hold beyond its immediate need. More means fewer false refusals
	// in a network partition, and more quota stranded there.
	LeaseSharePerMille int64 `json:"leaseSharePerMille,omitempty"`
	// PartitionMinutes is how long a node should be able to go on spending at
	// its present rate while cut off.
	PartitionMinutes int64 `json:"partitionMinutes,omitempty"`
	// DirectorySeconds is how long callers keep the list of entries.
	DirectorySeconds int64 `json:"directorySeconds,omitempty"`
	// StopSeconds bounds a planned stop.
	StopSeconds int64 `json:"stopSeconds,omitempty"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxInFlight bounds the requests that the node works on at once.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// QueueLength bounds the requests that wait for one model or service.
	QueueLength int `json:"queueLength,omitempty"`
	// Deadlines are the longest waits for a start, by class, in milliseconds.
	DeadlineMillis DeadlineMillis `json:"deadlineMillis,omitzero"`
	// ServiceLevels are the objectives that the burn report checks.
	ServiceLevels []ServiceLevel `json:"serviceLevels,omitempty"`
}

// DeadlineMillis holds the longest wait for a start for each class.
type DeadlineMillis struct {
	Lookup      int64 `json:"lookup,omitempty"`
	Interactive int64 `json:"interactive,omitempty"`
	Long        int64 `json:"long,omitempty"`
}

// For returns the longest wait of a class.
func (d DeadlineMillis) For(class fleet.Class) time.Duration {
	ms := d.Interactive
	switch class {
	case fleet.ClassLookup:
		ms = d.Lookup
	case fleet.ClassLong:
		ms = d.Long
	}
	return time.Duration(ms) * time.Millisecond
}

// ServiceLevel is one objective: the share of requests of a class and tier that is
// to be answered, with the first token and the gaps between tokens in time.
type ServiceLevel struct {
	Class              fleet.Class `json:"class"`
	Tier               fleet.Tier  `json:"tier"`
	AnsweredPerMille   int64       `json:"answeredPerMille"`
	FirstTokenMillis   int64       `json:"firstTokenMillis,omitempty"`
	BetweenTokenMillis int64       `json:"betweenTokenMillis,omitempty"`
}

// Defaults.
const (
	defaultLoadsPerMinute     = 60
	defaultLeaseSharePerMille = 100
	defaultPartitionMinutes   = 20
	defaultDirectorySeconds   = 5
	defaultStopSeconds        = 120
	defaultMaxBodyBytes       = 4 << 20
	defaultQueueLength        = 1024
	defaultMaxInFlight        = 4096
)

// Problem is one fault of a settings file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Hint   string `json:"hint,omitempty"`
}

// String formats the problem as editors understand it.
func (p Problem) String() string {
	text := fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
	if p.Hint != "" {
		text += "\n    hint: " + p.Hint
	}
	return text
}

// Problems is all that is wrong with a settings file.
type Problems []Problem

// Error implements the error interface.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. An error is of type Problems.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Problems{{
			File:   path,
			Line:   1,
			Field:  "file",
			Reason: err.Error(),
			Hint:   "name the file with --settings",
		}}
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file and fills in the defaults.
func Parse(path string, text []byte) (Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return Settings{}, Problems{{
			File:   path,
			Line:   lineOfError(err),
			Field:  "file",
			Reason: "is not JSON with comments: " + err.Error(),
		}}
	}
	located := source{
		path: path,
		text: text,
		root: root,
	}
	settings := Settings{}
	standard := root.Clone()
	standard.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(standard.Pack()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, Problems{located.decodeProblem(err)}
	}
	settings.fillDefaults()
	problems := settings.check(located)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return settings, nil
}

func (s *Settings) fillDefaults() {
	if !s.Advertise.Wire.IsValid() {
		s.Advertise.Wire = s.Listen.Wire
	}
	if !s.Advertise.Callers.IsValid() {
		s.Advertise.Callers = s.Listen.Callers
	}
	if s.Control != nil {
		setDefault(&s.Control.LoadsPerMinute, defaultLoadsPerMinute)
	}
	e := s.Entry
	if e == nil {
		return
	}
	setDefault(&e.LeaseSharePerMille, defaultLeaseSharePerMille)
	setDefault(&e.PartitionMinutes, defaultPartitionMinutes)
	setDefault(&e.DirectorySeconds, defaultDirectorySeconds)
	setDefault(&e.StopSeconds, defaultStopSeconds)
	setDefault(&e.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&e.QueueLength, defaultQueueLength)
	setDefault(&e.MaxInFlight, defaultMaxInFlight)
	setDefault(&e.DeadlineMillis.Lookup, 2000)
	setDefault(&e.DeadlineMillis.Interactive, 10_000)
	setDefault(&e.DeadlineMillis.Long, 60_000)
}

func setDefault[T int | int64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
