package hawthornrail

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// programMACBytes is the length of the truncated MAC in a program id.
const programMACBytes = 12

// ProgramID identifies a program: the instance that created its tree, the tree's
// number there, a MAC that binds both to a team, and the program's index in
// the tree (0 for the root).
type ProgramID struct {
	home   Instance
	number uint64
	mac    string
	index  uint32
}

// NewProgramID returns the id of the root program of a new tree.
func NewProgramID(home Instance, number uint64, team string, secret []byte) ProgramID {
	id := ProgramID{home: home, number: number}
	id.mac = id.sign(team, secret)
	return id
}

// Home returns the instance that created the program's tree.
func (p ProgramID) Home() Instance { return p.home }

// Index returns the program's index in its tree; the root has index 0.
func (p ProgramID) Index() uint32 { return p.index }

// Tree returns the id of the tree's root.
func (p ProgramID) Tree() ProgramID { return p.Child(0) }

// Child returns the id of the program with the given index in the same tree.
func (p ProgramID) Child(index uint32) ProgramID {
	p.index = index
	return p
}

// Belongs reports whether the id was issued to team with secret.
func (p ProgramID) Belongs(team string, secret []byte) bool {
	return hmac.Equal([]byte(p.mac), []byte(p.sign(team, secret)))
}

// String returns the id in the form used in headers.
func (p ProgramID) String() string {
	s := p.home.String() + "." + strconv.FormatUint(p.number, 36) + "." + p.mac
	if p.index > 0 {
		s += "." + strconv.FormatUint(uint64(p.index), 36)
	}
	return s
}

func (p ProgramID) sign(team string, secret []byte) string {
	m := hmac.New(sha256.New, secret)
	_, _ = fmt.Fprintf(m, "%s\x00%d\x00%s", p.home, p.number, team)
	return hex.EncodeToString(m.Sum(nil)[:programMACBytes])
}

// ParseProgramID parses what String returns; it does not check the MAC.
func ParseProgramID(s string) (ProgramID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 5 && len(parts) != 6 {
		return ProgramID{}, fmt.Errorf("program id %q: want 5 or 6 parts, not %d", s, len(parts))
	}
	home, err := ParseInstance(strings.Join(parts[:3], "."))
	if err != nil {
		return ProgramID{}, fmt.Errorf("program id %q: %w", s, err)
	}
	number, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return ProgramID{}, fmt.Errorf("program id %q: %w", s, err)
	}
	id := ProgramID{home: home, number: number, mac: parts[4]}
	if len(parts) == 5 {
		return id, nil
	}
	index, err := strconv.ParseUint(parts[5], 36, 32)
	if err != nil {
		return ProgramID{}, fmt.Errorf("program id %q: %w", s, err)
	}
	return id.Child(uint32(index)), nil
}
