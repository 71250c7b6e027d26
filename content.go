package hawthornrail

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// ContentDigest identifies the content of a request: its team, method, host, URI
// and body.
type ContentDigest [16]byte

// String returns the digest in hexadecimal.
func (d ContentDigest) String() string { return hex.EncodeToString(d[:]) }

// Content returns the digest of an identified request's content. The team is the
// key, so that no team can send a request with the digest of another team's.
func (r *ForwardRequest) Content() ContentDigest {
	mac := hmac.New(sha256.New, []byte(r.deployment.Team()))
	writeField(mac, []byte(r.method))
	writeField(mac, []byte(r.host))
	writeField(mac, []byte(r.uri))
	writeField(mac, r.body)
	var digest ContentDigest
	copy(digest[:], mac.Sum(nil))
	return digest
}

// writeField adds a field with its length, so that no two lists of fields have
// the same encoding.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash returns no error.
	_, _ = h.Write(length[:])
	_, _ = h.Write(field)
}
