package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sort"
	"strings"

	"github.com/waxwingreel/waxwingreel/fleet"
)

// View is the configuration, indexed for the lookups that requests need. It is
// immutable and safe for concurrent use.
type View struct {
	Version  fleet.Version
	objects  map[Key]Object
	access   map[string]Access
	engines  map[fleet.ModelID][]BackendServer
	services map[fleet.ServiceID][]BackendServer
}

// Access is the workspace, tier and budget that a caller's key gives access to.
type Access struct {
	Workspace fleet.WorkspaceID
	Weight    int
	Tier      fleet.Tier
	Budget    fleet.BudgetID
}

// NewView returns an empty view, of version 0.
func NewView() *View {
	return &View{objects: map[Key]Object{}}
}

// With returns a new view with the delta applied. It returns false if the delta starts
// after this view's version, or would not advance it.
func (v *View) With(delta Delta) (*View, bool) {
	if delta.To <= v.Version || delta.From != 0 && delta.From > v.Version {
		return v, false
	}
	next := &View{
		Version:  delta.To,
		objects:  map[Key]Object{},
		access:   map[string]Access{},
		engines:  map[fleet.ModelID][]BackendServer{},
		services: map[fleet.ServiceID][]BackendServer{},
	}
	if delta.From != 0 {
		maps.Copy(next.objects, v.objects)
	}
	for _, object := range delta.Objects {
		if object.Removed() {
			delete(next.objects, object.Key)
			continue
		}
		next.objects[object.Key] = object
	}
	next.index()
	return next, true
}

func (v *View) index() {
	for _, object := range v.Objects() {
		if w := object.Body.Workspace; w != nil {
			v.indexWorkspace(*w)
		}
		if b := object.Body.BackendServer; b != nil {
			v.indexBackendServer(*b)
		}
	}
}

func (v *View) indexWorkspace(w Workspace) {
	for _, key := range w.Keys {
		v.access[strings.ToLower(key.SHA256)] = Access{
			Workspace: w.ID,
			Weight:    max(w.Weight, 1),
			Tier:      key.Tier,
			Budget:    key.Budget,
		}
	}
}

func (v *View) indexBackendServer(b BackendServer) {
	for _, model := range b.Models {
		v.engines[model] = append(v.engines[model], b)
	}
	if b.Service != "" {
		v.services[b.Service] = append(v.services[b.Service], b)
	}
}

// Objects returns all objects in order of their keys.
func (v *View) Objects() []Object {
	objects := make([]Object, 0, len(v.objects))
	for _, object := range v.objects {
		objects = append(objects, object)
	}
	sort.Slice(objects, func(i, j int) bool { return lessKey(objects[i].Key, objects[j].Key) })
	return objects
}

// Access looks up the bearer key of a caller.
func (v *View) Access(key string) (Access, bool) {
	sum := sha256.Sum256([]byte(key))
	access, ok := v.access[hex.EncodeToString(sum[:])]
	return access, ok
}

// Model looks up a model, given as "model" or "model:adapter".
func (v *View) Model(name string) (Model, fleet.AdapterID, bool) {
	model, adapter, hasAdapter := strings.Cut(name, ":")
	object, ok := v.objects[Key{
		Kind: KindModel,
		ID:   model,
	}]
	if !ok {
		return Model{}, "", false
	}
	if !hasAdapter {
		return *object.Body.Model, "", true
	}
	adapterObject, ok := v.objects[Key{
		Kind: KindAdapter,
		ID:   adapter,
	}]
	if !ok || string(adapterObject.Body.Adapter.Model) != model {
		return Model{}, "", false
	}
	return *object.Body.Model, adapterObject.Body.Adapter.ID, true
}

// Service looks up a plain service.
func (v *View) Service(id fleet.ServiceID) (Service, bool) {
	object, ok := v.objects[Key{
		Kind: KindService,
		ID:   string(id),
	}]
	if !ok {
		return Service{}, false
	}
	return *object.Body.Service, true
}

// Engines returns the backend servers of a model, draining ones included.
func (v *View) Engines(model fleet.ModelID) []BackendServer {
	return v.engines[model]
}

// ServiceServers returns the backend servers of a plain service, draining ones included.
func (v *View) ServiceServers(service fleet.ServiceID) []BackendServer {
	return v.services[service]
}

// BackendServers returns all backend servers, in order of id.
func (v *View) BackendServers() []BackendServer {
	var servers []BackendServer
	for _, object := range v.Objects() {
		if object.Body.BackendServer != nil {
			servers = append(servers, *object.Body.BackendServer)
		}
	}
	return servers
}
