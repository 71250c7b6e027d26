package account

import (
	"time"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// transferLifetime is how long the reply to a transfer request is kept; a copy of the
// request arrives within a few seconds or never.
const transferLifetime = 10 * time.Second

// transfer is the reply to a transfer request; seq is the sequence number of its record
// in the journal.
type transfer struct {
	reply *vmpb.AccountTransferReply
	seq   uint64
	at    time.Time
}

// transferLog holds the replies to recent transfer requests that moved tokens, by the IDs
// of the requests. A restart forgets them; tokens in flight to a copy of a request are lost
// then.
type transferLog struct {
	transfers map[string]transfer
}

func newTransferLog() *transferLog { return &transferLog{transfers: make(map[string]transfer)} }

func (l *transferLog) find(id string) (t transfer, ok bool) {
	t, ok = l.transfers[id]
	return t, ok
}

// add keeps the reply to a request; older builds send requests without an ID.
func (l *transferLog) add(id string, t transfer) {
	if id != "" {
		l.transfers[id] = t
	}
}

func (l *transferLog) expire(now time.Time) {
	for id, t := range l.transfers {
		if now.Sub(t.at) > transferLifetime {
			delete(l.transfers, id)
		}
	}
}
