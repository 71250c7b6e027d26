package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

// Kind is the kind of the objects that hold claims.
const Kind = "claim"

// Claims writes claims to the platform; it implements hawthornrail.Claims.
type Claims struct {
	platform *client.Client
}

// New returns the claims held by a platform.
func New(platform *client.Client) *Claims { return &Claims{platform: platform} }

// claim is the value of a claim object.
type claim struct {
	Program string `json:"program"`
}

// Claim returns the program that first claimed a team's idempotency key: the
// given one or an earlier one. After an error the claim may still take effect.
func (c *Claims) Claim(ctx context.Context, team, key, program string) (string, error) {
	name := objectName(team, key)
	_, err := c.platform.Write(ctx, Kind, name, 0, claim{Program: program})
	if err == nil {
		return program, nil
	}
	if !errors.Is(err, client.ErrConflict) && !errors.Is(err, client.ErrUnavailable) {
		return "", fmt.Errorf("claim: %w", err)
	}
	// The write may have taken effect although its response was lost.
	return c.read(ctx, name)
}

func (c *Claims) read(ctx context.Context, name string) (string, error) {
	o, err := c.platform.Read(ctx, Kind, name)
	if err != nil {
		return "", fmt.Errorf("claim: %w", err)
	}
	var value claim
	if err := (objects.Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}).Decode(&value); err != nil {
		return "", fmt.Errorf("claim: %w", err)
	}
	return value.Program, nil
}

// objectName hashes the key, because callers may put names into it.
func objectName(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return hex.EncodeToString(sum[:])
}
