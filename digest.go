package hawthornrail

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// RequestDigest identifies requests that are alike.
type RequestDigest [16]byte

// String returns the digest in hexadecimal.
func (d RequestDigest) String() string { return hex.EncodeToString(d[:]) }

// RequestDigests identify an identified request: what may make it crash an
// endpoint can be its very content, or what its path names, such as a session
// whose prompt grows. The team is the key of both, so that no team can send a
// request with a digest of another team's.
type RequestDigests struct {
	content  RequestDigest
	resource RequestDigest
}

// Content returns the digest of the team, method, host, URI and body; the chain of a
// conversation is left out, since it differs from turn to turn.
func (d RequestDigests) Content() RequestDigest { return d.content }

// Resource returns the digest of the team, method, host and path.
func (d RequestDigests) Resource() RequestDigest { return d.resource }

// All returns the digests, the narrower one first.
func (d RequestDigests) All() []RequestDigest { return []RequestDigest{d.content, d.resource} }

// Digests returns the digests of the request, which must have been identified.
func (r *ForwardRequest) Digests() RequestDigests {
	if r.digests == nil {
		team := r.deployment.Team()
		r.digests = &RequestDigests{
			content:  digestOf(team, []byte(r.method), []byte(r.host), []byte(r.uri), r.body[r.chainBytes:]),
			resource: digestOf(team, []byte(r.method), []byte(r.host), []byte(r.path)),
		}
	}
	return *r.digests
}

// digestOf returns the digest of fields under a key. Each field is preceded by its
// length, so that no two lists of fields have the same encoding.
func digestOf(key string, fields ...[]byte) (digest RequestDigest) {
	mac := hmac.New(sha256.New, []byte(key))
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		// A hash returns no error.
		_, _ = mac.Write(length[:])
		_, _ = mac.Write(field)
	}
	copy(digest[:], mac.Sum(nil))
	return digest
}
