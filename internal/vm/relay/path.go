package relay

import "time"

const (
	// copiesPerAnswer is the part of the questions that may be passed on while
	// their VM answers directly: it may be slow, and copies make it slower.
	copiesPerAnswer = 0.1
	// maxCopies bounds the copies in a row.
	maxCopies = 3
	// lostAfter is how long a question waits without any direct answer until
	// the path counts as lost.
	lostAfter = 200 * time.Millisecond
)

// path is what is known of the direct way to a VM.
type path struct {
	// copies is how many questions may be passed on before the next answers.
	copies float64
	heard  time.Time
	lost   bool
}

func newPath() *path { return &path{copies: maxCopies} }

// answered records that the VM answered a question directly.
func (p *path) answered(now time.Time) {
	p.heard, p.lost = now, false
	p.copies = min(maxCopies, p.copies+copiesPerAnswer)
}

// broken records that no connection could be made.
func (p *path) broken() { p.lost = true }

// mayPass reports whether a question that was asked at a time may be passed on
// once more: always on a lost path, else within the bound on copies.
func (p *path) mayPass(asked, now time.Time) bool {
	if p.heard.Before(asked) && now.Sub(asked) >= lostAfter {
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
