package settings

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// minSecretBytes is the minimum length of the fleet's secret.
const minSecretBytes = 16

// settingsFile is the text and the syntax tree of a settings file. It finds the line of a
// field.
type settingsFile struct {
	path string
	text []byte
	root hujson.Value
}

// problem returns a Problem of the field at a JSON pointer such as "/listen/wire". If the
// field is absent, the line is that of its closest parent in the file.
func (s settingsFile) problem(pointer, reason, hint string) Problem {
	line := 1
	for at := pointer; ; at = at[:strings.LastIndexByte(at, '/')] {
		if value := s.root.Find(at); value != nil {
			line = s.lineAt(value.StartOffset)
			break
		}
		if at == "" {
			break
		}
	}
	return Problem{
		File:   s.path,
		Line:   line,
		Field:  strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", "."),
		Reason: reason,
		Hint:   hint,
	}
}

// lineAt returns the line number of a byte offset.
func (s settingsFile) lineAt(offset int) int {
	offset = min(offset, len(s.text))
	return 1 + strings.Count(string(s.text[:offset]), "\n")
}

var (
	errorLine         = regexp.MustCompile(`line (\d+)`)
	unknownFieldError = regexp.MustCompile(`unknown field "([^"]*)"`)
)

// errorLineOf returns the line number in the text of a syntax error, or 1 if it has none.
func errorLineOf(err error) int {
	found := errorLine.FindStringSubmatch(err.Error())
	if found == nil {
		return 1
	}
	line, _ := strconv.Atoi(found[1])
	return line
}

// decodeProblem converts an error of the JSON decoder to a Problem of the field at fault.
func (s settingsFile) decodeProblem(err error) Problem {
	typeError := (*json.UnmarshalTypeError)(nil)
	if errors.As(err, &typeError) {
		pointer := "/" + strings.ReplaceAll(typeError.Field, ".", "/")
		return s.problem(pointer, fmt.Sprintf("is a %s, want %s", typeError.Value, typeError.Type), "")
	}
	if found := unknownFieldError.FindStringSubmatch(err.Error()); found != nil {
		pointer := findMember(s.root, "", found[1])
		return s.problem(pointer, "is not a known field", "see docs/OPERATIONS.md for the fields; names are camelCase")
	}
	return s.problem("", err.Error(), "")
}

// findMember returns the JSON pointer of the first member with a name, at any depth, or ""
// if there is none.
func findMember(value hujson.Value, at, name string) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		for _, member := range v.Members {
			key := member.Name.Value.(hujson.Literal).String()
			if key == name {
				return at + "/" + key
			}
			if found := findMember(member.Value, at+"/"+key, name); found != "" {
				return found
			}
		}
	case *hujson.Array:
		for i, element := range v.Elements {
			if found := findMember(element, fmt.Sprintf("%s/%d", at, i), name); found != "" {
				return found
			}
		}
	}
	return ""
}

// checker collects the problems of one file.
type checker struct {
	settingsFile
	problems Problems
}

func (c *checker) add(pointer, reason, hint string) {
	c.problems = append(c.problems, c.problem(pointer, reason, hint))
}

// check returns the problems of the settings. It also reads the file with the secret.
func (s *Settings) check(file settingsFile) Problems {
	c := &checker{settingsFile: file}
	if s.Node == "" {
		c.add("/node", "is missing", "give each VM a unique name")
	}
	if s.DataCentre == "" {
		c.add("/dataCentre", "is missing", "name the data centre that the VM runs in")
	}
	c.intake(s.Intake)
	if s.Site != nil {
		c.address("/listen/wire", s.Listen.Wire)
		c.secret(s)
		c.site(s)
		return c.problems
	}
	if s.Control == nil && s.Entry == nil {
		c.add("/", "the node has no role", `add "control": {...}, "entry": {...} or both`)
	}
	c.addresses(s)
	c.secret(s)
	c.operatorKeys(s)
	c.controlNodes(s)
	if s.Control != nil {
		c.control(s)
	}
	if s.Entry != nil {
		c.entry(s.Entry)
	}
	return c.problems
}

func (c *checker) addresses(s *Settings) {
	c.address("/listen/wire", s.Listen.Wire)
	c.address("/listen/operators", s.Listen.Operators)
	if s.Entry != nil {
		c.address("/listen/callers", s.Listen.Callers)
	}
	if s.Listen.Callers.IsValid() && s.Listen.Callers == s.Listen.Operators {
		c.add("/listen/operators", "is the same address as listen.callers", "operators and callers need separate listeners")
	}
}

func (c *checker) address(pointer string, address netip.AddrPort) {
	switch {
	case !address.IsValid():
		c.add(pointer, "is missing", "set an IP address with a port, for example 10.0.0.5:7100")
	case address.Addr().IsUnspecified():
		c.add(pointer, fmt.Sprintf("%s is an unspecified address, which other nodes cannot reach", address), "use the IP address of the VM")
	}
}

func (c *checker) secret(s *Settings) {
	if (s.FleetSecret == "") == (s.FleetSecretFile == "") {
		c.add("/fleetSecret", "exactly one of fleetSecret and fleetSecretFile must be set", "")
		return
	}
	if s.FleetSecretFile != "" {
		text, err := os.ReadFile(s.FleetSecretFile)
		if err != nil {
			c.add("/fleetSecretFile", err.Error(), "")
			return
		}
		s.FleetSecret = strings.TrimSpace(string(text))
	}
	if len(s.FleetSecret) < minSecretBytes {
		c.add("/fleetSecret", fmt.Sprintf("has fewer than %d characters", minSecretBytes), "make one with: openssl rand -hex 32")
	}
}

func (c *checker) operatorKeys(s *Settings) {
	if len(s.OperatorKeys) == 0 {
		c.add("/operatorKeys", "is empty", "make a key and its SHA-256 sum with: waxwingreel key")
	}
	for i, key := range s.OperatorKeys {
		sum, err := hex.DecodeString(key)
		if err != nil || len(sum) != len(fleet.Digest{}) {
			c.add(fmt.Sprintf("/operatorKeys/%d", i), "is not a SHA-256 sum in hexadecimal", "make one with: waxwingreel key")
		}
	}
}

func (c *checker) controlNodes(s *Settings) {
	if len(s.ControlNodes) == 0 {
		c.add("/controlNodes", "is empty", "list the VMs with a control replica: one, three or five")
	}
	if len(s.ControlNodes)%2 == 0 && len(s.ControlNodes) > 0 {
		c.add("/controlNodes", fmt.Sprintf("lists %d nodes", len(s.ControlNodes)), "use an odd number; one more node does not let the group survive more failures")
	}
	names := map[fleet.NodeID]bool{}
	wires := map[netip.AddrPort]bool{}
	for i, node := range s.ControlNodes {
		at := fmt.Sprintf("/controlNodes/%d", i)
		c.address(at+"/wire", node.Wire)
		if names[node.Node] {
			c.add(at+"/node", fmt.Sprintf("%q is listed twice", node.Node), "give each VM a unique name")
		}
		if wires[node.Wire] {
			c.add(at+"/wire", fmt.Sprintf("%s is listed twice", node.Wire), "")
		}
		names[node.Node] = true
		wires[node.Wire] = true
		if node.Node == s.Node && node.Wire != s.Advertise.Wire {
			c.add(at+"/wire", fmt.Sprintf("%s differs from this node's advertised address %s", node.Wire, s.Advertise.Wire), "")
		}
	}
}

func (c *checker) control(s *Settings) {
	if s.Control.DataFolder == "" {
		c.add("/control/dataFolder", "is missing", "name the folder on the VM's disk for the control state")
		return
	}
	parent := filepath.Dir(filepath.Clean(s.Control.DataFolder))
	if info, err := os.Stat(parent); err != nil || !info.IsDir() {
		c.add("/control/dataFolder", fmt.Sprintf("parent folder %s does not exist", parent), "create it, or mount the disk")
	}
	if !s.Control.Bootstrap {
		return
	}
	for _, node := range s.ControlNodes {
		if node.Node == s.Node {
			return
		}
	}
	c.add("/control/bootstrap", "is set on a node that controlNodes does not list", "set it on exactly one of the listed nodes")
}

// responseLimits checks the limits that are set.
func (c *checker) responseLimits(l ResponseLimits) {
	const path = "/site/responseLimits/"
	for _, limit := range []struct {
		name        string
		value       int64
		least, most int64
	}{
		{name: "lineBytes", value: l.LineBytes, least: 1 << 10, most: 64 << 10},
		{name: "headBytes", value: l.HeadBytes, least: 1 << 10, most: 256 << 10},
		{name: "fields", value: l.Fields, least: 16, most: 1024},
		{name: "interim", value: l.Interim, least: 1, most: 16},
		{name: "bodyBytes", value: l.BodyBytes, least: 1 << 10, most: 64 << 20},
		{name: "eventBytes", value: l.EventBytes, least: 1 << 10, most: 8 << 20},
	} {
		if limit.value != 0 {
			c.inRange(path+limit.name, limit.value, limit.least, limit.most)
		}
	}
}

// site checks the settings of a node that serves routed requests or their configuration.
func (c *checker) site(s *Settings) {
	site := s.Site
	if s.Entry != nil {
		c.add("/entry", "cannot be combined with site", "a node serves either routed requests (site) or the chats and calls of its own interface (entry)")
	}
	if len(site.Seeds) == 0 {
		c.add("/site/seeds", "is empty", "name at least one control VM")
	}
	if site.SeedPort == 0 {
		c.add("/site/seedPort", "is missing", "set the port of listen.wire on the control VMs")
	}
	if s.Control != nil {
		c.address("/site/listen/control", site.Listen.Control)
		if s.Control.DataFolder == "" {
			c.add("/control/dataFolder", "is missing", "name the folder on the VM's disk for the control state")
		}
	} else {
		c.address("/site/listen/callers", site.Listen.Callers)
		c.address("/site/listen/ready", site.Listen.Ready)
	}
	c.address("/site/instanceList", site.InstanceList)
	if site.InstanceListRate <= 0 {
		c.add("/site/instanceListRate", fmt.Sprintf("is %v, must be more than 0", site.InstanceListRate), "")
	}
	if site.RetryRatio < 0 || site.RetrySlack < 0 {
		c.add("/site/retryRatio", "retryRatio and retrySlack must not be negative", "")
	}
	if site.LinkMegabits < 0 {
		c.add("/site/linkMegabits", fmt.Sprintf("is %v, must not be negative", site.LinkMegabits), "leave it out if the link's rate is not known")
	}
	c.inRange("/site/losses", int64(site.MaxFailures), 0, 10)
	c.inRange("/site/stopMillis", site.StopMillis, 500, 3_600_000)
	c.inRange("/site/drainMillis", site.DrainMillis, 500, 3_600_000)
	c.responseLimits(site.ResponseLimits)
}

func (c *checker) entry(e *Entry) {
	c.inRange("/entry/leaseSharePerMille", e.LeaseSharePerMille, 1, 1000)
	c.inRange("/entry/partitionMinutes", e.PartitionMinutes, 1, 600)
	c.inRange("/entry/directorySeconds", e.DirectorySeconds, 1, 300)
	c.inRange("/entry/stopSeconds", e.StopSeconds, 1, 3600)
	c.inRange("/entry/maxBodyBytes", e.MaxBodyBytes, 1024, 64<<20)
	c.inRange("/entry/queueLength", int64(e.QueueLength), 1, 1_000_000)
	c.inRange("/entry/maxInFlight", int64(e.MaxInFlight), 1, 1_000_000)
	for i, level := range e.ServiceLevels {
		at := fmt.Sprintf("/entry/serviceLevels/%d", i)
		if !level.Class.Valid() {
			c.add(at+"/class", fmt.Sprintf("%q is not a class", level.Class), "use lookup, interactive or long")
		}
		if !level.Tier.Valid() {
			c.add(at+"/tier", fmt.Sprintf("%q is not a tier", level.Tier), "use paying or trial")
		}
		c.inRange(at+"/answeredPerMille", level.AnsweredPerMille, 1, 999)
	}
}

func (c *checker) inRange(pointer string, value, low, high int64) {
	if value < low || value > high {
		c.add(pointer, fmt.Sprintf("%d is outside %d to %d", value, low, high), "")
	}
}
