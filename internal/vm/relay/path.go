package relay

import "time"

const (
	// copiesPerAnswer is the part of the questions that may be passed on while
	// their VM answers directly: it may be slow, and copies make it slower.
	copiesPerAnswer = 0.1
	// maxCopies bounds the copies in a row.
	maxCopies = 3
	// minLost and maxLost bound how long a path gives no answer until it counts
	// as lost; within them it is twice what answers have taken lately.
	minLost = 200 * time.Millisecond
	maxLost = time.Second
	// slownessKept is what an answer leaves of how long earlier ones took.
	slownessKept = 0.9
)

// path is what is known of the direct way to a VM.
type path struct {
	// copies is how many questions may be passed on before the next answers.
	copies float64
	// silent is when the first question was asked that nothing was heard since,
	// and zero if there is none.
	silent time.Time
	// slowness is how long answers take at most, lately.
	slowness time.Duration
	lost     bool
	// via is the VM that passed the last question on, or "".
	via string
}

func newPath() *path { return &path{copies: maxCopies} }

// asked records that the VM is asked a question directly.
func (p *path) asked(now time.Time) {
	if p.silent.IsZero() {
		p.silent = now
	}
}

// answered records that the VM answered a question of some time directly.
func (p *path) answered(asked, now time.Time) {
	p.silent, p.lost = time.Time{}, false
	p.copies = min(maxCopies, p.copies+copiesPerAnswer)
	p.slowness = max(now.Sub(asked), time.Duration(slownessKept*float64(p.slowness)))
}

// broken records that no connection could be made.
func (p *path) broken() { p.lost = true }

// mayPass reports whether a question may be passed on once more, and counts that
// it is: always on a lost path, else within the bound on copies.
func (p *path) mayPass(now time.Time) bool {
	limit := min(maxLost, max(minLost, 2*p.slowness))
	if !p.silent.IsZero() && now.Sub(p.silent) >= limit {
		p.lost = true
	}
	if p.lost {
		return true
	}
	if p.copies < 1 {
		return false
	}
	p.copies--
	return true
}

// passed records whether an answer came through a VM.
func (p *path) passed(via string, answered bool) {
	switch {
	case answered:
		p.via = via
	case p.via == via:
		p.via = ""
	}
}
