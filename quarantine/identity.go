package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/waxwingreel/waxwingreel/routing"
)

// identityPrefix keeps the identities of requests apart from the ids of parts.
const identityPrefix = "request:"

// identityBytes is the length of the hash in an identity.
const identityBytes = 12

// Identity returns what a request has in common with its repetitions: the caller, the path with its
// query, and the body. The same caller may send it to any node and under any request id.
func Identity(caller, host, target string, body []byte) routing.PartID {
	hash := sha256.New()
	length := [8]byte{}
	for _, field := range [][]byte{[]byte(caller), []byte(host), []byte(target), body} {
		// The lengths keep requests apart whose fields only together are the same.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return routing.PartID(identityPrefix + hex.EncodeToString(hash.Sum(nil)[:identityBytes]))
}

// IsIdentity reports whether an id is the identity of a request rather than that of a part.
func IsIdentity(id routing.PartID) bool {
	return strings.HasPrefix(string(id), identityPrefix)
}
