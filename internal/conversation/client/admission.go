package client

import (
	"errors"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// admission admits the content of one query: each byte once, however often it is loaded.
type admission struct {
	query hawthornrail.ChainQuery
	// newer is the size of the turns that the platform's store had, after those that are
	// still searched.
	newer uint64
	// admitted is the largest size that the content had so far.
	admitted uint64
}

// refusal is the error of a query whose content is not admitted.
type refusal struct{ err error }

func (r refusal) Error() string { return r.err.Error() }
func (r refusal) Unwrap() error { return r.err }

func isRefused(err error) bool {
	var r refusal
	return errors.As(err, &r)
}

// admit returns a refusal if a chain of a size may not be held before the newer turns.
func (a *admission) admit(bytes uint64) error {
	size := a.newer + bytes
	if size <= a.admitted {
		return nil
	}
	if err := a.query.Admit(int(size - a.admitted)); err != nil {
		return refusal{err}
	}
	a.admitted = size
	return nil
}

// admitNewer is like admit for a turn, before which others are searched.
func (a *admission) admitNewer(t hawthornrail.Turn) error {
	a.newer += uint64(t.Size())
	return a.admit(0)
}

// room returns how many bytes follow the content of a chain that is loaded now.
func (a *admission) room() int { return int(a.newer) + a.query.Room() }
