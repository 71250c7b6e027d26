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
	// retention is how long a program's account is kept after its last use.
	retention = 10 * time.Minute
	// maintenanceInterval is the interval between removals of idle programs.
	maintenanceInterval = 30 * time.Second
	// waitDisk and waitClaim are the names under which HolderDependencies.Tasks counts
	// waits.
	waitDisk  = "wait_for_disk"
	waitClaim = "wait_for_claim"
)

// HolderDependencies are the settings and dependencies of a Holder.
type HolderDependencies struct {
	// DataCentre is the holder's own data centre, and DataCentres are those of
	// all holders. The holder of the first one decides between holders that
	// announce the same program at once.
	DataCentre  string
	DataCentres []string
	// FirstStart is set if the fleet starts for the first time, so that an empty
	// journal does not mean lost data.
	FirstStart bool
	Folder     string
	Config     hawthornrail.Configuration
	Claims     hawthornrail.Claims
	ClaimList  hawthornrail.ClaimList
	Invoker    peer.Invoker
	Clock      hawthornrail.Clock
	Log        events.Logger
	// HoldsRole reports whether this VM is, as far as it knows, the holder to which the
	// others announce programs.
	HoldsRole func() bool
	// Tasks measures the waits for the disk and for the platform.
	Tasks *metrics.Tasks
}

// Holder manages one data centre's share of the programs' budgets.
type Holder struct {
	deps    HolderDependencies
	holders *holderClient
	journal *Journal
	id      string

	mu       sync.Mutex
	balances *Balances
	// opening are the programs whose account is being opened; the channel is
	// closed at the end.
	opening map[string]chan struct{}
	// pendingGrants are the programs with grants in flight to other holders; the
	// channel is closed once all are sent.
	pendingGrants map[string]chan struct{}
	// pendingReturns are the programs whose isolated shares holders may still return; the
	// channel is closed at the end.
	pendingReturns map[string]chan struct{}
	// collections are the programs for whose calls tokens are collected.
	collections map[string]*collection
	transfers   *transferLog
	// leaving is set once the process is about to exit.
	leaving bool
	// recovering is held while the programs are listed.
	recovering sync.Mutex
	// takeovers counts how often this VM has begun to take the role of another one.
	takeovers int
	// platformRetryAt is the time before which the platform is not contacted
	// again after a failure.
	platformRetryAt time.Time
}

// OpenHolder reads the holder's journal. If there is none, an earlier journal is
// assumed to be lost unless the fleet starts for the first time.
func OpenHolder(deps HolderDependencies) (*Holder, error) {
	h := &Holder{
		deps: deps, holders: newHolderClient(deps.Config, deps.Invoker, deps.Clock, deps.Log),
		balances: NewBalances(), opening: make(map[string]chan struct{}), pendingGrants: make(map[string]chan struct{}), pendingReturns: make(map[string]chan struct{}),
		collections: make(map[string]*collection), transfers: newTransferLog(),
	}
	now := deps.Clock.Now()
	journal, created, err := OpenJournal(deps.Folder, func(r *vmpb.AccountRecord) { h.balances.Apply(r, now) })
	if err != nil {
		return nil, err
	}
	h.journal = journal
	if created {
		if err := h.commit(originRecord(journalID(deps.DataCentre), deps.FirstStart)); err != nil {
			return nil, err
		}
	}
	h.id = h.balances.ID()
	deps.Log.Event(events.AccountsOpened).Bool("whole", h.balances.Complete()).Int("programs", h.balances.ProgramCount()).Emit()
	return h, nil
}

// commit appends a record to the journal, applies it to the balances and waits
// until it is on disk.
func (h *Holder) commit(r *vmpb.AccountRecord) error {
	return h.commitDecision(func() *vmpb.AccountRecord { return r })
}

// commitDecision calls decision with the lock held and commits the record that
// it returns, if any. It waits for the disk without the lock.
func (h *Holder) commitDecision(decision func() *vmpb.AccountRecord) error {
	h.mu.Lock()
	r := decision()
	if r == nil {
		h.mu.Unlock()
		return nil
	}
	seq, err := h.append(r)
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return h.awaitSync(seq)
}

// awaitSync waits until a record is on disk.
func (h *Holder) awaitSync(seq uint64) error {
	start := h.deps.Clock.Now()
	defer func() { h.deps.Tasks.Record(waitDisk, h.deps.Clock.Since(start)) }()
	return h.journal.Wait(seq)
}

// append queues a record for the journal and applies it to the balances. The
// caller holds the lock. The record is durable once Journal.Wait returns for
// its sequence number.
func (h *Holder) append(r *vmpb.AccountRecord) (uint64, error) {
	seq, err := h.journal.Append(r)
	if err != nil {
		return 0, err
	}
	h.balances.Apply(r, h.deps.Clock.Now())
	return seq, nil
}

// Receive handles the account requests of other VMs and reports whether open is
// one.
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
		if reply, err = h.Transfer(ctx, k.AccountTransfer); err == nil {
			_ = s.Send(reply)
		}
	case *vmpb.Open_AccountSync:
		_ = s.Send(h.Sync(k.AccountSync))
	case *vmpb.Open_AccountGrant:
		if err = h.HandleGrant(k.AccountGrant); err == nil {
			_ = s.Send(&vmpb.AccountGrantReply{})
		}
	case *vmpb.Open_AccountHandOver:
		if err = h.HandleHandOver(k.AccountHandOver); err == nil {
			_ = s.Send(&vmpb.AccountHandOverReply{})
		}
	case *vmpb.Open_AccountAnnounce:
		var reply *vmpb.AccountAnnounceReply
		if reply, err = h.HandleAnnounce(k.AccountAnnounce); err == nil {
			_ = s.Send(reply)
		}
	default:
		return false
	}
	if err != nil {
		// No reply is sent; the client tries another holder.
		h.deps.Log.Event(events.AccountFailed).Err(err).Emit()
	}
	return true
}

// Reserve reserves tokens for a call, with tokens from other holders if the own
// share is too small. The budget counts as spent only if the calls of all holders have
// used it: what is in no holder's account may be on its way, or lost with a disk. Other
// calls may take the tokens that were collected for this one.
func (h *Holder) Reserve(ctx context.Context, m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, error) {
	if err := h.checkStaying(); err != nil {
		return nil, err
	}
	if err := h.ensureOpen(ctx, m.GetProgram(), m.GetBudget(), m.GetTokens()); err != nil {
		return nil, err
	}
	reply, missing, err := h.tryReserve(m)
	if err != nil || reply.GetGranted() {
		return reply, err
	}
	c := h.joinCollection(m.GetProgram(), missing)
	defer h.leaveCollection(m.GetProgram(), c, missing)
	for {
		collected, err := h.collectOnce(ctx, m, c, reply.GetHomeDataCentre())
		if err != nil {
			return nil, err
		}
		reply, _, err = h.tryReserve(m)
		if err != nil || reply.GetGranted() {
			return reply, err
		}
		if collected.isLast() && !h.awaitReturns(ctx, m.GetProgram()) {
			reply.Uncertain = !collected.allReplied || !h.isSpent(m, collected)
			return reply, nil
		}
	}
}

// isSpent reports whether the calls of a program have used or reserved so much at this
// holder and at the others, which have all replied, that its budget does not allow a call.
func (h *Holder) isSpent(m *vmpb.AccountReserve, others collectResult) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	budget := h.balances.Budget(m.GetProgram())
	if budget == 0 {
		budget = m.GetBudget()
	}
	used := h.balances.Used(m.GetProgram()) + others.used
	return !others.uncounted && used+m.GetTokens() > budget
}

// tryReserve reserves tokens from the own share or returns the number of missing
// tokens.
func (h *Holder) tryReserve(m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, uint64, error) {
	reply := &vmpb.AccountReserveReply{}
	err := h.commitDecision(func() *vmpb.AccountRecord {
		reply.First = h.balances.IsFirstCall(m.GetProgram(), m.GetCall())
		record, ok := h.balances.Reserve(m)
		reply.Granted, reply.Left = ok, h.balances.Available(m.GetProgram())
		home, _ := h.balances.Home(m.GetProgram())
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

// Transfer transfers tokens to another holder. The deduction is on disk before
// the reply is sent, so a lost reply loses tokens but never duplicates them. A request
// that arrives again, directly and through a relay, gets the same reply. A home without
// enough tokens replies once its grants have been sent.
func (h *Holder) Transfer(ctx context.Context, m *vmpb.AccountTransfer) (*vmpb.AccountTransferReply, error) {
	if !h.covers(m.GetProgram(), m.GetWanted()) {
		ctx, cancel := context.WithTimeout(ctx, transferGrantTimeout)
		h.awaitGrants(ctx, m.GetProgram())
		cancel()
	}
	h.mu.Lock()
	if t, repeated := h.transfers.find(m.GetId()); repeated {
		h.mu.Unlock()
		return t.reply, h.awaitSync(t.seq)
	}
	if h.leaving {
		// The connection may close before the reply arrives.
		h.mu.Unlock()
		return nil, errLeaving
	}
	reply := &vmpb.AccountTransferReply{}
	_, known := h.balances.Home(m.GetProgram())
	_, grantsPending := h.pendingGrants[m.GetProgram()]
	// While grants are in flight, the other holders' tokens are not known.
	reply.Known = known && !grantsPending
	reply.Used, reply.Counted = h.balances.Used(m.GetProgram()), true
	record, tokens := h.balances.TransferOut(m)
	if record == nil {
		h.mu.Unlock()
		return reply, nil
	}
	reply.Moved = tokens
	seq, err := h.append(record)
	if err == nil {
		h.transfers.add(m.GetId(), transfer{reply: reply, seq: seq, at: h.deps.Clock.Now()})
	}
	h.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return reply, h.awaitSync(seq)
}

// Settle replaces a reservation by the tokens used, and requests what a further call of the
// program may lack. It does not wait for the disk, since a lost settlement only
// leaves the reservation in place.
func (h *Holder) Settle(m *vmpb.AccountSettle) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	record := h.balances.Settle(m)
	if record == nil {
		return nil
	}
	callTokens := h.balances.Reserved(m.GetProgram(), m.GetCall())
	if _, err := h.append(record); err != nil {
		return err
	}
	_, grantsPending := h.pendingGrants[m.GetProgram()]
	if m.GetUsed() > 0 && (grantsPending || h.lacksLocked(m.GetProgram(), callTokens) > 0) {
		go h.topUp(m.GetProgram(), callTokens)
	}
	return nil
}

// Run removes idle programs and compacts the journal periodically until ctx is
// done.
func (h *Holder) Run(ctx context.Context) {
	for {
		if !clock.Wait(ctx, h.deps.Clock, maintenanceInterval) {
			return
		}
		h.maintain()
	}
}

func (h *Holder) maintain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.transfers.expire(h.deps.Clock.Now())
	since := h.deps.Clock.Now().Add(-retention)
	h.balances.Expire(since)
	if !h.journal.NeedsCompaction() {
		return
	}
	if err := h.journal.Compact(h.balances.Records(since)); err != nil {
		h.deps.Log.Event(events.AccountFailed).Err(err).Emit()
	}
}

// Close writes the queued records and closes the journal.
func (h *Holder) Close() error { return h.journal.Close() }
