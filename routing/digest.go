package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Digest tells configurations with different content apart. It is a sum over the parts, so that their order does not
// matter and a change of one part costs no look at the others. 0 stands for an unknown one.
type Digest uint64

// String returns the digest in hexadecimal.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// Digest returns the digest of the routes, services, workspaces and limits, and of whether keys are required. The version is not part of it.
func (c Config) Digest() Digest {
	return c.statementDigest() + digestParts(c.Routes) + digestParts(c.Services) + digestParts(c.Workspaces)
}

// statementDigest returns the digest of what the configuration states as a whole. It is that of earlier versions unless
// keys are required without workspaces.
func (c Config) statementDigest() Digest {
	return statementDigest(c.Limits, c.KeysRequired)
}

func statementDigest(limits Limits, keysRequired bool) Digest {
	d := digestOf(limits)
	if keysRequired {
		d += digestOf(keysRequired)
	}
	return d
}

func digestParts[T any](parts []T) Digest {
	d := Digest(0)
	for i := range parts {
		d += digestOf(parts[i])
	}
	return d
}

// digestOf returns the digest of a part, in the form in which it is stored and sent.
func digestOf[T any](part T) Digest {
	data, err := cbor.Marshal(part)
	if err != nil {
		panic(fmt.Sprintf("routing: encode a %T: %v", part, err))
	}
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%T ", part)
	_, _ = h.Write(data)
	return Digest(h.Sum64())
}

// digestAfter returns the digest of a configuration with the delta applied, given the one before.
func (d Delta) digestAfter(c Config, before Digest) Digest {
	return before + statementDigest(d.Limits, d.KeysRequired) - c.statementDigest() +
		d.Routes.digestChange(c.Routes, Route.match) +
		d.Services.digestChange(c.Services, Service.id) +
		d.Workspaces.digestChange(c.Workspaces, Workspace.id)
}

// digestChange returns what the changes add to the digest of a configuration with the given parts.
func (c Changes[K, T]) digestChange(parts []T, key func(T) K) Digest {
	if len(c.Changed) == 0 && len(c.Removed) == 0 {
		return 0
	}
	d := digestParts(c.Changed)
	touched := map[K]bool{}
	for _, part := range c.Changed {
		touched[key(part)] = true
	}
	for _, k := range c.Removed {
		touched[k] = true
	}
	for _, part := range parts {
		if touched[key(part)] {
			d -= digestOf(part)
		}
	}
	return d
}
