package account

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// retention is how long a program is known after its last call.
	retention = 10 * time.Minute
	// tendInterval is how often old programs are looked for.
	tendInterval = 30 * time.Second
	// taskDisk and taskClaim name the waits that are counted.
	taskDisk  = "wait_for_disk"
	taskClaim = "wait_for_claim"
)

// HolderParts are what a Holder works with.
type HolderParts struct {
	// DataCentre is the holder's own, and DataCentres are those of all holders.
	DataCentre  string
	DataCentres []string
	// FirstStart says that the fleet starts for the first time.
	FirstStart bool
	Folder     string
	Config     hawthornrail.Configuration
	Claims     hawthornrail.Claims
	Claimed    hawthornrail.ClaimList
	Asker      peer.Asker
	Clock      hawthornrail.Clock
	Log        events.Logger
	// Work counts the waits for the disk and for the platform.
	Work *metrics.Work
}

// Holder answers for the share of programs' budgets that one data centre has.
type Holder struct {
	parts   HolderParts
	holders *holders
	journal *Journal
	id      string

	mu      sync.Mutex
	book    *Book
	opening map[string]chan struct{}
	// granting are the programs whose parts are on their way to others.
	granting map[string]chan struct{}
	// away is until when the platform is not asked.
	away time.Time
}

// OpenHolder reads the holder's journal; without one, and but for the first
// start of the fleet, an earlier journal counts as lost.
func OpenHolder(parts HolderParts) (*Holder, error) {
	h := &Holder{
		parts: parts, holders: newHolders(parts.Config, parts.Asker, parts.Clock, parts.Log),
		book: NewBook(), opening: make(map[string]chan struct{}), granting: make(map[string]chan struct{}),
	}
	now := parts.Clock.Now()
	journal, fresh, err := OpenJournal(parts.Folder, func(r *vmpb.AccountRecord) { h.book.Apply(r, now) })
	if err != nil {
		return nil, err
	}
	h.journal = journal
	if fresh {
		if err := h.record(originRecord(journalID(parts.DataCentre), parts.FirstStart)); err != nil {
			return nil, err
		}
	}
	h.id = h.book.ID()
	parts.Log.Event(events.AccountsOpened).Bool("whole", h.book.Whole()).Int("programs", h.book.Programs()).Emit()
	return h, nil
}

// record appends a record, makes it take effect and waits for the disk.
func (h *Holder) record(r *vmpb.AccountRecord) error {
	return h.decide(func() *vmpb.AccountRecord { return r })
}

// decide takes a decision on the book under the lock, makes the record that it
// returns take effect, if there is one, and waits for the disk.
func (h *Holder) decide(decision func() *vmpb.AccountRecord) error {
	h.mu.Lock()
	r := decision()
	if r == nil {
		h.mu.Unlock()
		return nil
	}
	number, err := h.append(r)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return h.awaitDisk(number)
}

// awaitDisk returns once a record is on the disk.
func (h *Holder) awaitDisk(number uint64) error {
	start := h.parts.Clock.Now()
	defer func() { h.parts.Work.Took(taskDisk, h.parts.Clock.Since(start)) }()
	return h.journal.Wait(number)
}

// append needs the lock; the record counts once Wait returns for its number.
func (h *Holder) append(r *vmpb.AccountRecord) (uint64, error) {
	number, err := h.journal.Append(r)
	if err != nil {
		return 0, err
	}
	h.book.Apply(r, h.parts.Clock.Now())
	return number, nil
}

// Receive serves the messages of other VMs about accounts and reports whether
// open is one.
func (h *Holder) Receive(ctx context.Context, open *vmpb.Open, s *peer.Stream) bool {
	var err error
	switch k := open.GetKind().(type) {
	case *vmpb.Open_AccountReserve:
		var reply *vmpb.AccountReserveReply
		if reply, err = h.Reserve(ctx, k.AccountReserve); err == nil {
			_ = s.Send(reply)
		}
	case *vmpb.Open_AccountSettle:
		if err = h.Settle(k.AccountSettle); err == nil {
			_ = s.Send(&vmpb.AccountSettleReply{})
		}
	case *vmpb.Open_AccountTransfer:
		var reply *vmpb.AccountTransferReply
		if reply, err = h.Transfer(k.AccountTransfer); err == nil {
			_ = s.Send(reply)
		}
	case *vmpb.Open_AccountSync:
		_ = s.Send(h.Sync(k.AccountSync))
	case *vmpb.Open_AccountGrant:
		if err = h.Granted(k.AccountGrant); err == nil {
			_ = s.Send(&vmpb.AccountGrantReply{})
		}
	case *vmpb.Open_AccountAnnounce:
		var reply *vmpb.AccountAnnounceReply
		if reply, err = h.Announced(k.AccountAnnounce); err == nil {
			_ = s.Send(reply)
		}
	default:
		return false
	}
	if err != nil {
		// The asker gets no answer and turns to another holder.
		h.parts.Log.Event(events.AccountFailed).Err(err).Emit()
	}
	return true
}

// Reserve sets tokens aside, with tokens of other holders if the own share is
// too small.
func (h *Holder) Reserve(ctx context.Context, m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, error) {
	if err := h.open(ctx, m.GetProgram(), m.GetBudget(), m.GetTokens()); err != nil {
		return nil, err
	}
	reply, missing, err := h.tryReserve(m)
	if err != nil {
		return nil, err
	}
	if reply.GetGranted() {
		return reply, nil
	}
	h.awaitGrants(ctx, m.GetProgram())
	answered, err := h.collect(ctx, m, missing, reply.GetHomeDataCentre())
	if err != nil {
		return nil, err
	}
	reply, _, err = h.tryReserve(m)
	if err != nil {
		return nil, err
	}
	reply.Uncertain = !reply.GetGranted() && !answered
	return reply, nil
}

// tryReserve reserves from the own share, or returns how much is missing.
func (h *Holder) tryReserve(m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, uint64, error) {
	reply := &vmpb.AccountReserveReply{}
	err := h.decide(func() *vmpb.AccountRecord {
		reply.First = h.book.First(m.GetProgram(), m.GetCall())
		record, ok := h.book.Reserve(m)
		reply.Granted, reply.Left = ok, h.book.Left(m.GetProgram())
		home, _ := h.book.Home(m.GetProgram())
		reply.HomeDataCentre = dataCentreOf(home)
		if record != nil {
			reply.Left -= m.GetTokens()
		}
		return record
	})
	if err != nil {
		return nil, 0, err
	}
	if !reply.GetGranted() {
		return reply, m.GetTokens() - min(m.GetTokens(), reply.GetLeft()), nil
	}
	return reply, 0, nil
}

// Transfer gives tokens to another holder; they are gone here before the
// answer leaves, so a lost answer loses tokens and never doubles any.
func (h *Holder) Transfer(m *vmpb.AccountTransfer) (*vmpb.AccountTransferReply, error) {
	reply := &vmpb.AccountTransferReply{}
	err := h.decide(func() *vmpb.AccountRecord {
		_, known := h.book.Home(m.GetProgram())
		_, granting := h.granting[m.GetProgram()]
		// While parts are on their way, nobody can say what the others have.
		reply.Known = known && !granting
		record, tokens := h.book.Give(m.GetProgram(), m.GetWanted())
		reply.Moved = tokens
		return record
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// Settle replaces a reservation by what was used; it does not wait for the
// disk, since a lost settlement only leaves the reservation in place.
func (h *Holder) Settle(m *vmpb.AccountSettle) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	record := h.book.Settle(m)
	if record == nil {
		return nil
	}
	_, err := h.append(record)
	return err
}

// Run forgets old programs and keeps the journal small until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for {
		if !clock.Wait(ctx, h.parts.Clock, tendInterval) {
			return
		}
		h.tend()
	}
}

func (h *Holder) tend() {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.parts.Clock.Now().Add(-retention)
	h.book.Forget(since)
	if !h.journal.Large() {
		return
	}
	if err := h.journal.Compact(h.book.Records(since)); err != nil {
		h.parts.Log.Event(events.AccountFailed).Err(err).Emit()
	}
}

// Close writes what is queued.
func (h *Holder) Close() error { return h.journal.Close() }
