package catalog

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// maxChanges limits the changes of one ticket, so that its log entry stays small.
const maxChanges = 10_000

// maxIDBytes limits the length of an object's id.
const maxIDBytes = 200

// checker collects the problems of one ticket. References are resolved in the ticket
// first and then in the current state, so that one ticket can create a workspace and
// its budget, which refer to each other.
type checker struct {
	state    *State
	changed  map[Key]Change
	problems []Problem
}

func (s *State) validate(ticket Ticket) []Problem {
	c := checker{
		state:   s,
		changed: map[Key]Change{},
	}
	if ticket.Number == 0 {
		c.addProblem("number", "is 0", "number tickets from 1")
	}
	if ticket.Number <= s.highestDropped {
		c.addProblem("number", fmt.Sprintf("%d is too old: outcomes of tickets up to %d are no longer kept", ticket.Number, s.highestDropped), "use a higher number")
	}
	if len(ticket.Changes) == 0 {
		c.addProblem("changes", "is empty", "change at least one object")
	}
	if len(ticket.Changes) > maxChanges {
		c.addProblem("changes", fmt.Sprintf("has %d changes, at most %d are allowed", len(ticket.Changes), maxChanges), "split the ticket")
		return c.problems
	}
	c.indexChanges(ticket)
	if len(c.problems) > 0 {
		return c.problems
	}
	for i, change := range ticket.Changes {
		c.checkChange(fmt.Sprintf("changes[%d]", i), change)
	}
	c.checkDanglingReferences()
	return c.problems
}

func (c *checker) addProblem(field, reason, hint string) {
	c.problems = append(c.problems, Problem{
		Field:  field,
		Reason: reason,
		Hint:   hint,
	})
}

func (c *checker) indexChanges(ticket Ticket) {
	for i, change := range ticket.Changes {
		field := fmt.Sprintf("changes[%d]", i)
		keys := change.keys()
		if change.Remove != nil {
			keys = append(keys, *change.Remove)
		}
		if len(keys) != 1 {
			c.addProblem(field, fmt.Sprintf("has %d objects or removals", len(keys)), "a change must hold exactly one object or one removal")
			continue
		}
		key := keys[0]
		if key.ID == "" || len(key.ID) > maxIDBytes {
			c.addProblem(field+".id", "is empty or longer than 200 bytes", "")
		}
		if _, duplicate := c.changed[key]; duplicate {
			c.addProblem(field, fmt.Sprintf("%s %q stands twice in the ticket", key.Kind, key.ID), "change each object only once in a ticket")
		}
		if last, ok := c.state.objects[key]; ok && last.Ticket >= ticket.Number {
			c.addProblem(field, fmt.Sprintf("%s %q was last changed by ticket %d", key.Kind, key.ID, last.Ticket), "use a higher ticket number")
		}
		c.changed[key] = change
	}
}

// lookup returns the body that the object has once the ticket is applied, and whether
// the object exists then.
func (c *checker) lookup(kind Kind, id string) (Body, bool) {
	key := Key{
		Kind: kind,
		ID:   id,
	}
	if change, ok := c.changed[key]; ok {
		return change.Body, change.Remove == nil
	}
	object, ok := c.state.Object(key)
	return object.Body, ok
}

// requireObject returns the object's body and adds a problem if there is no such object.
func (c *checker) requireObject(field string, kind Kind, id string) Body {
	body, ok := c.lookup(kind, id)
	if !ok {
		c.addProblem(field, fmt.Sprintf("there is no %s %q", kind, id), "create it in this ticket or an earlier one")
	}
	return body
}

func (c *checker) checkChange(field string, change Change) {
	switch {
	case change.Remove != nil:
		c.checkRemoval(field+".remove", *change.Remove)
	case change.Workspace != nil:
		c.checkWorkspace(field+".workspace", *change.Workspace)
	case change.Budget != nil:
		c.checkBudget(field+".budget", *change.Budget)
	case change.Model != nil:
		c.checkModel(field+".model", *change.Model)
	case change.Adapter != nil:
		c.requireObject(field+".adapter.model", KindModel, string(change.Adapter.Model))
	case change.Service != nil:
		c.checkService(field+".service", *change.Service)
	case change.BackendServer != nil:
		c.checkBackendServer(field+".backendServer", *change.BackendServer)
	}
}

func (c *checker) checkRemoval(field string, key Key) {
	if _, ok := c.state.Object(key); !ok {
		c.addProblem(field, fmt.Sprintf("there is no %s %q", key.Kind, key.ID), "")
	}
	if key.Kind == KindBudget {
		c.addProblem(field, "a budget cannot be removed, because its bill must remain readable", "set prepaid to the amount settled so far instead")
	}
}

func (c *checker) checkWorkspace(field string, w Workspace) {
	for i, key := range w.Keys {
		keyField := fmt.Sprintf("%s.keys[%d]", field, i)
		sum, err := hex.DecodeString(key.SHA256)
		if err != nil || len(sum) != len(fleet.Digest{}) {
			c.addProblem(keyField+".sha256", "is not a SHA-256 sum in hexadecimal", "make one with: waxwingreel key")
		}
		if !key.Tier.Valid() {
			c.addProblem(keyField+".tier", fmt.Sprintf("%q is no tier", key.Tier), "use paying or trial")
		}
		body := c.requireObject(keyField+".budget", KindBudget, string(key.Budget))
		if body.Budget == nil {
			continue
		}
		if body.Budget.Workspace != w.ID {
			c.addProblem(keyField+".budget", fmt.Sprintf("budget %q belongs to workspace %q", key.Budget, body.Budget.Workspace), "")
		}
		if body.Budget.Tier != key.Tier {
			c.addProblem(keyField+".tier", fmt.Sprintf("budget %q has tier %s", key.Budget, body.Budget.Tier), "")
		}
	}
	if w.Weight < 0 {
		c.addProblem(field+".weight", "is negative", "")
	}
}

func (c *checker) checkBudget(field string, b Budget) {
	c.requireObject(field+".workspace", KindWorkspace, string(b.Workspace))
	if !b.Tier.Valid() {
		c.addProblem(field+".tier", fmt.Sprintf("%q is no tier", b.Tier), "use paying or trial")
	}
	if b.Prepaid < 0 {
		c.addProblem(field+".prepaid", "is negative", "")
	}
	last, ok := c.state.Object(Key{
		Kind: KindBudget,
		ID:   string(b.ID),
	})
	if ok && last.Body.Budget.Workspace != b.Workspace {
		c.addProblem(field+".workspace", "a budget cannot move to another workspace", "create a new budget")
	}
}

func (c *checker) checkModel(field string, m Model) {
	if m.MaxOutput <= 0 || m.MaxPrompt <= 0 {
		c.addProblem(field, "maxOutput and maxPrompt must be above 0", "they limit the cost of one request")
	}
	if m.PromptPerMille < 0 || m.OutputPerMille < 0 {
		c.addProblem(field, "a price is negative", "")
	}
}

func (c *checker) checkService(field string, s Service) {
	for i, call := range s.Calls {
		callField := fmt.Sprintf("%s.calls[%d]", field, i)
		if call.Method == "" || call.Path == "" || call.Path[0] != '/' {
			c.addProblem(callField, "needs a method and a path that starts with /", "")
		}
		if !call.Class.Valid() {
			c.addProblem(callField+".class", fmt.Sprintf("%q is no class", call.Class), "use lookup, interactive or long")
		}
		if call.Price < 0 {
			c.addProblem(callField+".price", "is negative", "")
		}
	}
}

func (c *checker) checkBackendServer(field string, b BackendServer) {
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		c.addProblem(field+".address", fmt.Sprintf("%q is no IP address with a port", b.Address), "for example 10.0.0.7:8000")
	}
	if (len(b.Models) == 0) == (b.Service == "") {
		c.addProblem(field, "must have either models or a service, not both", "")
	}
	for i, model := range b.Models {
		c.requireObject(fmt.Sprintf("%s.models[%d]", field, i), KindModel, string(model))
	}
	if b.Service != "" {
		c.requireObject(field+".service", KindService, string(b.Service))
	}
	if b.Slots <= 0 {
		c.addProblem(field+".slots", "must be above 0", "")
	}
}

// checkDanglingReferences adds a problem for each object that would still refer to a
// removed object.
func (c *checker) checkDanglingReferences() {
	removed := map[Key]bool{}
	for key, change := range c.changed {
		if change.Remove != nil {
			removed[key] = true
		}
	}
	if len(removed) == 0 {
		return
	}
	for key, object := range c.state.objects {
		if _, changed := c.changed[key]; changed || object.Removed() {
			continue
		}
		for _, target := range object.Body.references() {
			if removed[target] {
				c.addProblem("changes", fmt.Sprintf("%s %q still refers to %s %q", key.Kind, key.ID, target.Kind, target.ID), "change or remove it in the same ticket")
			}
		}
	}
}

// references returns the keys of the objects that the body refers to.
func (b Body) references() []Key {
	var keys []Key
	add := func(kind Kind, id string) {
		keys = append(keys, Key{
			Kind: kind,
			ID:   id,
		})
	}
	switch {
	case b.Budget != nil:
		add(KindWorkspace, string(b.Budget.Workspace))
	case b.Adapter != nil:
		add(KindModel, string(b.Adapter.Model))
	case b.BackendServer != nil:
		for _, model := range b.BackendServer.Models {
			add(KindModel, string(model))
		}
		if b.BackendServer.Service != "" {
			add(KindService, string(b.BackendServer.Service))
		}
	}
	return keys
}
