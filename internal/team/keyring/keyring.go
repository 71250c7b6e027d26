package keyring

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	keyPrefix   = "hr"
	idBytes     = 6
	secretBytes = 24
	// opaqueIDBytes is the length of the hash prefix that identifies a key
	// without a public part.
	opaqueIDBytes = 12
)

// Issue returns a new key in the form that the caller gets, its public id and
// the hash to store.
func Issue() (key, id, hash string, err error) {
	raw := make([]byte, idBytes+secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", "", fmt.Errorf("issue key: %w", err)
	}
	id = hex.EncodeToString(raw[:idBytes])
	secret := hex.EncodeToString(raw[idBytes:])
	return keyPrefix + "_" + id + "_" + secret, id, hashOf(secret), nil
}

// loadRetryAfter is the retry delay for a VM that has not loaded its first
// configuration.
const loadRetryAfter = 200 * time.Millisecond

// Check returns the deployment of a caller's key and the key's id, or a Failure
// of a request that did not run.
func Check(s *hawthornrail.Snapshot, credential string) (hawthornrail.Deployment, string, error) {
	if s.Revision() == 0 {
		f := hawthornrail.NotRun(hawthornrail.CodeConfigStale, "no configuration is loaded yet")
		return hawthornrail.Deployment{}, "", f.WithRetryAfter(loadRetryAfter)
	}
	parts := strings.Split(credential, "_")
	if len(parts) != 3 || parts[0] != keyPrefix {
		return hawthornrail.Deployment{}, "", hawthornrail.NotRun(hawthornrail.CodeUnauthorized, "no valid key came with the request")
	}
	k, ok := s.Key(parts[1])
	if !ok || subtle.ConstantTimeCompare([]byte(k.Hash()), []byte(hashOf(parts[2]))) != 1 {
		return hawthornrail.Deployment{}, "", hawthornrail.NotRun(hawthornrail.CodeUnauthorized, "no valid key came with the request")
	}
	if k.Revoked() {
		return hawthornrail.Deployment{}, "", RevokedFailure(k.ID(), hawthornrail.VerdictNotRun)
	}
	d, ok := s.Deployment(k.Deployment())
	if !ok {
		return hawthornrail.Deployment{}, "", hawthornrail.NotRun(hawthornrail.CodeForbidden, "deployment %s does not exist", k.Deployment())
	}
	return d, k.ID(), nil
}

// OpaqueID returns the id under which a key without a public part is stored.
func OpaqueID(key string) string { return hashOf(key)[:2*opaqueIDBytes] }

// OpaqueKey returns the configuration entry of a key without a public part.
func OpaqueKey(key, deployment string) hawthornrail.Key {
	return hawthornrail.NewKey(OpaqueID(key), hashOf(key), deployment, false)
}

// CheckOpaque returns the deployment of a key without a public part, or a
// Failure of a request that did not run.
func CheckOpaque(s *hawthornrail.Snapshot, credential string) (hawthornrail.Deployment, error) {
	k, ok := s.Key(OpaqueID(credential))
	if !ok || subtle.ConstantTimeCompare([]byte(k.Hash()), []byte(hashOf(credential))) != 1 {
		return hawthornrail.Deployment{}, hawthornrail.NotRun(hawthornrail.CodeUnauthorized, "no valid key came with the request")
	}
	d, ok := s.Deployment(k.Deployment())
	if !ok {
		return hawthornrail.Deployment{}, hawthornrail.NotRun(hawthornrail.CodeForbidden, "deployment %s does not exist", k.Deployment())
	}
	return d, nil
}

// Valid reports whether a key that was checked before is still valid for the
// same team.
func Valid(s *hawthornrail.Snapshot, id, team string) bool {
	k, ok := s.Key(id)
	if !ok || k.Revoked() {
		return false
	}
	d, ok := s.Deployment(k.Deployment())
	return ok && d.Team() == team
}

// CheckStaleness returns a Failure for a request of a deployment that must not run
// on the present configuration because it is older than the deployment's bound.
func CheckStaleness(c hawthornrail.Configuration, d hawthornrail.Deployment) error {
	if d.StaleMode() != hawthornrail.RefuseWhenStale || c.Age() <= d.StaleAfter() {
		return nil
	}
	f := hawthornrail.NotRun(hawthornrail.CodeConfigStale, "the configuration is older than the deployment allows")
	return f.WithRetryAfter(max(d.StaleAfter(), time.Second))
}

// RevokedFailure returns the Failure of a request whose key was revoked.
func RevokedFailure(id string, verdict hawthornrail.Verdict) *hawthornrail.Failure {
	return hawthornrail.NewFailure(hawthornrail.CodeKeyRevoked, verdict, fmt.Errorf("key %s is withdrawn", id))
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
