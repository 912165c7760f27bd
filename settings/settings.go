// Package settings reads and checks a node's settings file, which is JSON with
// comments. The whole file is checked before the node opens anything.
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
	// Advertise holds the addresses that others use to reach the node. They
	// default to those in Listen.
	Advertise Advertise `json:"advertise,omitzero"`
	// FleetSecret is shared by all nodes of the fleet. FleetSecretFile is the
	// path of a file that contains it, as an alternative.
	FleetSecret     string `json:"fleetSecret,omitempty"`
	FleetSecretFile string `json:"fleetSecretFile,omitempty"`
	// OperatorKeys are the SHA-256 sums of the operators' keys, in hexadecimal.
	OperatorKeys []string `json:"operatorKeys"`
	// ControlNodes are the nodes that may have a control replica. A site uses
	// Site.Seeds instead.
	ControlNodes []ControlNode `json:"controlNodes"`
	// Control is set on a node with a control replica.
	Control *Control `json:"control,omitempty"`
	// Entry is set on a node that serves callers.
	Entry *Entry `json:"entry,omitempty"`
	// Site is set on a node that serves routed requests or their configuration.
	// Control VMs of a site find one another through the seeds.
	Site *Site `json:"site,omitempty"`
	// Intake bounds what clients can make the process hold.
	Intake Intake `json:"intake,omitzero"`
}

// Site holds the settings of a node that serves routed requests or, with Control, their
// configuration.
type Site struct {
	// Seeds are addresses of control VMs. Their ports are ignored, because all
	// control VMs receive the traffic between nodes on SeedPort.
	Seeds    []netip.AddrPort `json:"seeds"`
	SeedPort uint16           `json:"seedPort"`
	// MaxFailures is the number of control VMs that may fail at once.
	MaxFailures int        `json:"losses,omitempty"`
	Listen      SiteListen `json:"listen"`
	// MemoryMegabytes is the memory that the process may use, 0 for no limit.
	MemoryMegabytes int64 `json:"memoryMegabytes,omitempty"`
	// InstanceList is the address of the server of the list of instances.
	// InstanceListRate is the rate, in calls per second, at which all nodes
	// together may read it.
	InstanceList     netip.AddrPort `json:"instanceList"`
	InstanceListRate float64        `json:"instanceListRate"`
	// RetryRatio and RetrySlack limit the attempts that all nodes together make
	// beyond the first one of each request.
	RetryRatio float64 `json:"retryRatio"`
	RetrySlack float64 `json:"retrySlack"`
	// StopMillis is the maximum duration of a planned stop. StopSeconds, which may have a
	// fraction, is used if StopMillis is 0.
	StopMillis  int64   `json:"stopMillis,omitempty"`
	StopSeconds float64 `json:"stopSeconds,omitempty"`
	// DrainMillis is the time within which no request may be sent to an instance any more that
	// the list shows as draining.
	DrainMillis int64 `json:"drainMillis,omitempty"`
	// LinkMegabits is the rate of the VM's link in megabits per second, 0 if it is not known.
	LinkMegabits float64 `json:"linkMegabits,omitempty"`
	// Agreements are what the operator has agreed on with the platform, in the platform's words.
	Agreements []string `json:"agreements,omitempty"`
	// LearnSpeeds makes nodes learn the speeds of engines that report how slow they are at the moment.
	LearnSpeeds bool `json:"learnSpeeds,omitempty"`
	// ResponseLimits bounds what is read of one response of an instance. Fields that are 0
	// have their default.
	ResponseLimits ResponseLimits `json:"responseLimits,omitzero"`
}

// ResponseLimits bounds what is read of one response of an instance, since a faulty instance may
// send bytes without end.
type ResponseLimits struct {
	// LineBytes bounds the status line and each header field, HeadBytes all of them.
	LineBytes int64 `json:"lineBytes,omitempty"`
	HeadBytes int64 `json:"headBytes,omitempty"`
	// Fields bounds the number of header fields, Interim that of 1xx responses.
	Fields  int64 `json:"fields,omitempty"`
	Interim int64 `json:"interim,omitempty"`
	// BodyBytes bounds a body that is not a stream, EventBytes one event of a stream.
	BodyBytes  int64 `json:"bodyBytes,omitempty"`
	EventBytes int64 `json:"eventBytes,omitempty"`
}

// SiteListen holds the addresses that a node of a site listens on. It has no addresses
// for roles that the node does not have.
type SiteListen struct {
	Callers   netip.AddrPort `json:"callers,omitzero"`
	Ready     netip.AddrPort `json:"ready,omitzero"`
	Directory netip.AddrPort `json:"directory,omitzero"`
	Control   netip.AddrPort `json:"control,omitzero"`
	Metrics   netip.AddrPort `json:"metrics,omitzero"`
}

// SeedAddresses returns the addresses of the seeds for the traffic between nodes.
func (s Site) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), s.SeedPort))
	}
	return addresses
}

// Listen holds the addresses that the node listens on.
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

// ControlNode is a node that may have a control replica.
type ControlNode struct {
	Node fleet.NodeID   `json:"node"`
	Wire netip.AddrPort `json:"wire"`
}

// Control holds the settings of the control role.
type Control struct {
	DataFolder string `json:"dataFolder"`
	// Bootstrap makes a node form the control group when it first starts. It is
	// set on exactly one node.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// LoadsPerMinute is the number of models and adapters that the weight store
	// can deliver per minute. It limits the load orders of the whole fleet.
	LoadsPerMinute int `json:"loadsPerMinute,omitempty"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	// LeaseSharePerMille is the share of a budget's free quota that a node may
	// hold beyond its immediate need. A larger share causes fewer false refusals
	// in a network partition, but leaves more quota unused on the partitioned
	// nodes.
	LeaseSharePerMille int64 `json:"leaseSharePerMille,omitempty"`
	// PartitionMinutes is how long a node's leases should last at its current
	// rate of spending during a network partition.
	PartitionMinutes int64 `json:"partitionMinutes,omitempty"`
	// DirectorySeconds is how long callers keep the list of entry nodes.
	DirectorySeconds int64 `json:"directorySeconds,omitempty"`
	// StopSeconds is the maximum duration of a planned stop.
	StopSeconds int64 `json:"stopSeconds,omitempty"`
	// MemoryMegabytes is the memory that the process may use, 0 for no limit.
	MemoryMegabytes int64 `json:"memoryMegabytes,omitempty"`
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxInFlight is the maximum number of requests in flight on the node.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// QueueLength is the maximum number of requests in the queue of one model or
	// service.
	QueueLength int `json:"queueLength,omitempty"`
	// DeadlineMillis holds the maximum time in the queue for each class.
	DeadlineMillis DeadlineMillis `json:"deadlineMillis,omitzero"`
	// ServiceLevels are the objectives that the burn report checks.
	ServiceLevels []ServiceLevel `json:"serviceLevels,omitempty"`
}

// DeadlineMillis holds, for each class, the maximum time in milliseconds that a request may
// wait to be started.
type DeadlineMillis struct {
	Lookup      int64 `json:"lookup,omitempty"`
	Interactive int64 `json:"interactive,omitempty"`
	Long        int64 `json:"long,omitempty"`
}

// For returns the maximum wait of a request of a class.
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

// ServiceLevel is a service level objective: the share of the requests of a class and tier
// to be completed, with limits on the time to the first token and between tokens.
type ServiceLevel struct {
	Class              fleet.Class `json:"class"`
	Tier               fleet.Tier  `json:"tier"`
	AnsweredPerMille   int64       `json:"answeredPerMille"`
	FirstTokenMillis   int64       `json:"firstTokenMillis,omitempty"`
	BetweenTokenMillis int64       `json:"betweenTokenMillis,omitempty"`
}

// Default values of optional settings.
const (
	defaultLoadsPerMinute     = 60
	defaultLeaseSharePerMille = 100
	defaultPartitionMinutes   = 20
	defaultDirectorySeconds   = 5
	defaultStopSeconds        = 120
	defaultDrainMillis        = 3000
	defaultMaxBodyBytes       = 4 << 20
	defaultQueueLength        = 1024
	defaultMaxInFlight        = 4096
)

// Problem is an error in a settings file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Hint   string `json:"hint,omitempty"`
}

// String formats the problem as file:line: field: reason, which editors can parse.
func (p Problem) String() string {
	text := fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
	if p.Hint != "" {
		text += "\n    hint: " + p.Hint
	}
	return text
}

// Problems are all errors found in a settings file.
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
			Line:   errorLineOf(err),
			Field:  "file",
			Reason: "is not JSON with comments: " + err.Error(),
		}}
	}
	file := settingsFile{
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
		return Settings{}, Problems{file.decodeProblem(err)}
	}
	settings.fillDefaults()
	problems := settings.check(file)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return settings, nil
}

func (s *Settings) fillDefaults() {
	if s.Site != nil {
		setDefault(&s.Site.StopMillis, int64(s.Site.StopSeconds*1000))
		setDefault(&s.Site.DrainMillis, defaultDrainMillis)
		s.Intake.fillDefaults(s.Site.MemoryMegabytes)
	}
	if s.Entry != nil {
		s.Intake.fillDefaults(s.Entry.MemoryMegabytes)
	}
	s.Intake.fillDefaults(0)
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
