package account

import (
	"maps"
	"slices"
	"time"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Balances are one holder's accounts of programs. Its methods do no I/O: they
// return records, which callers write to the journal before relying on them.
// Callers serialise all methods.
type Balances struct {
	id string
	// complete is the field whole of AccountOrigin.
	complete bool
	programs map[string]*programAccount
	// handOvers are the IDs of the messages with which other holders have handed tokens over
	// before they exited, and when they arrived.
	handOvers map[string]time.Time
}

// programAccount is one program's account at one holder, in tokens.
type programAccount struct {
	// home is the ID of the journal that received the whole budget.
	home           string
	grantReceived  bool
	isolated       bool
	isolatedShare  uint64
	budget         uint64
	received       uint64
	transferredOut uint64
	spent          uint64
	reservations   map[string]uint64
	reservedTokens uint64
	lastUsed       time.Time
}

// NewBalances returns balances without accounts.
func NewBalances() *Balances {
	return &Balances{programs: make(map[string]*programAccount), handOvers: make(map[string]time.Time)}
}

// ID returns the ID of the journal that the balances were read from.
func (b *Balances) ID() string { return b.id }

// Complete reports whether there is an account for every program that was
// announced to all holders.
func (b *Balances) Complete() bool { return b.complete }

// Home returns the ID of the journal that received a program's whole budget.
func (b *Balances) Home(program string) (id string, known bool) {
	a, ok := b.programs[program]
	if !ok {
		return "", false
	}
	return a.home, true
}

// Used returns the tokens that calls of a program have used or reserved at this holder.
func (b *Balances) Used(program string) uint64 {
	a, ok := b.programs[program]
	if !ok {
		return 0
	}
	return a.spent + a.reservedTokens
}

// Budget returns the budget with which a program's account was opened, or 0 if it is not
// known here.
func (b *Balances) Budget(program string) uint64 {
	a, ok := b.programs[program]
	if !ok {
		return 0
	}
	return a.budget
}

// Reserved returns the tokens that a call of a program has reserved.
func (b *Balances) Reserved(program, call string) uint64 {
	a, ok := b.programs[program]
	if !ok {
		return 0
	}
	return a.reservations[call]
}

// IsFirstCall reports whether a program has its home at this holder and no
// other call has used or reserved tokens.
func (b *Balances) IsFirstCall(program, call string) bool {
	a, ok := b.programs[program]
	if !ok || a.home != b.id || a.spent > 0 {
		return false
	}
	for other := range a.reservations {
		if other != call {
			return false
		}
	}
	return true
}

// ProgramCount returns the number of programs that have an account.
func (b *Balances) ProgramCount() int { return len(b.programs) }

func (a *programAccount) available() uint64 {
	used := a.transferredOut + a.spent + a.reservedTokens
	if used >= a.received {
		return 0
	}
	return a.received - used
}

// Available returns the tokens of a program that can still be reserved at this
// holder.
func (b *Balances) Available(program string) uint64 {
	a, ok := b.programs[program]
	if !ok {
		return 0
	}
	return a.available()
}

// Open returns the record that opens a program's account with a share of the
// budget. home is the ID of the journal that received the whole budget.
func (b *Balances) Open(program string, budget, share uint64, home string) *vmpb.AccountRecord {
	opened := &vmpb.AccountOpened{Program: program, Budget: budget, Share: share, Home: home}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Opened{Opened: opened}}
}

// ListPrograms returns up to limit programs in lexical order, starting after a
// name, and whether there are more.
func (b *Balances) ListPrograms(after string, limit int) (programs []*vmpb.AccountOpened, more bool) {
	for _, program := range slices.Sorted(maps.Keys(b.programs)) {
		if program <= after {
			continue
		}
		if len(programs) == limit {
			return programs, true
		}
		a := b.programs[program]
		programs = append(programs, &vmpb.AccountOpened{Program: program, Budget: a.budget, Home: a.home})
	}
	return programs, false
}

// OpenIsolated returns the record that opens a program's account with an
// isolated share, while neither another holder nor the platform is reachable to
// determine the program's home.
func (b *Balances) OpenIsolated(program string, budget, share uint64) *vmpb.AccountRecord {
	opened := &vmpb.AccountOpened{Program: program, Budget: budget, Share: share, Home: b.id, Isolated: true, Taken: share}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Opened{Opened: opened}}
}

// Join returns the record that ends a program's isolation once its home is
// known. tokens are added to the share if the home is this holder.
func (b *Balances) Join(program, home string, tokens uint64) *vmpb.AccountRecord {
	joined := &vmpb.AccountOpened{Program: program, Home: home, Share: tokens}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Joined{Joined: joined}}
}

// IsolatedShare returns the isolated share that this holder has given to a
// program.
func (b *Balances) IsolatedShare(program string) uint64 {
	if a, ok := b.programs[program]; ok {
		return a.isolatedShare
	}
	return 0
}

// IsIsolated reports whether a program has only its isolated share.
func (b *Balances) IsIsolated(program string) bool {
	a, ok := b.programs[program]
	return ok && a.isolated
}

// IsolatedPrograms returns the budgets of the programs whose home is not yet
// determined.
func (b *Balances) IsolatedPrograms() map[string]uint64 {
	budgets := make(map[string]uint64)
	for program, a := range b.programs {
		if a.isolated {
			budgets[program] = a.budget
		}
	}
	return budgets
}

// Reserve returns the record that reserves tokens for a call. The record is nil
// if the call already has a reservation; ok is false if too few tokens are
// available.
func (b *Balances) Reserve(m *vmpb.AccountReserve) (record *vmpb.AccountRecord, ok bool) {
	a, known := b.programs[m.GetProgram()]
	if !known {
		return nil, false
	}
	if _, repeated := a.reservations[m.GetCall()]; repeated {
		return nil, true
	}
	if a.available() < m.GetTokens() {
		return nil, false
	}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Reserved{Reserved: m}}, true
}

// Settle returns the record that replaces a reservation by the tokens used, or
// nil if there is no reservation.
func (b *Balances) Settle(m *vmpb.AccountSettle) *vmpb.AccountRecord {
	a, ok := b.programs[m.GetProgram()]
	if !ok {
		return nil
	}
	if _, ok := a.reservations[m.GetCall()]; !ok {
		return nil
	}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Settled{Settled: m}}
}

// TransferOut returns the record that transfers tokens to another holder, and
// their number: the number wanted or half of the available tokens, whichever is
// more unless exactly the number wanted is requested, up to the available tokens.
func (b *Balances) TransferOut(m *vmpb.AccountTransfer) (record *vmpb.AccountRecord, tokens uint64) {
	available, wanted := b.Available(m.GetProgram()), m.GetWanted()
	if !m.GetExact() {
		wanted = max(wanted, available/2)
	}
	return b.transferOut(m.GetProgram(), min(available, wanted))
}

// Grant returns the record that transfers tokens from the home to another
// holder, or nil if fewer are available.
func (b *Balances) Grant(program string, tokens uint64) (record *vmpb.AccountRecord, granted uint64) {
	if b.Available(program) < tokens {
		return nil, 0
	}
	return b.transferOut(program, tokens)
}

func (b *Balances) transferOut(program string, tokens uint64) (*vmpb.AccountRecord, uint64) {
	if tokens == 0 {
		return nil, 0
	}
	moved := &vmpb.AccountMoved{Program: program, Tokens: tokens}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Given{Given: moved}}, tokens
}

// AcceptGrant returns the record that adds the grant of a program's home, or nil
// if it was already received or the program has no account.
func (b *Balances) AcceptGrant(program string, tokens uint64) *vmpb.AccountRecord {
	a, ok := b.programs[program]
	if !ok || a.grantReceived {
		return nil
	}
	moved := &vmpb.AccountMoved{Program: program, Tokens: tokens, Part: true}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Received{Received: moved}}
}

// Surplus returns up to limit programs of which this holder has tokens that no call has
// reserved, each with these as its share, and whether it has reservations.
func (b *Balances) Surplus(limit int) (programs []*vmpb.AccountOpened, reserved bool) {
	for program, a := range b.programs {
		reserved = reserved || len(a.reservations) > 0
		if a.isolated || a.available() == 0 || len(programs) == limit {
			continue
		}
		programs = append(programs, &vmpb.AccountOpened{Program: program, Budget: a.budget, Home: a.home, Share: a.available()})
	}
	return programs, reserved
}

// HandedOver returns the record that adds the tokens of a holder that exits, or nil if the
// message has arrived before.
func (b *Balances) HandedOver(m *vmpb.AccountHandOver) *vmpb.AccountRecord {
	if _, repeated := b.handOvers[m.GetId()]; repeated {
		return nil
	}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_HandedOver{HandedOver: m}}
}

// TransferIn returns the record that adds tokens received from another holder.
func (b *Balances) TransferIn(program string, tokens uint64) *vmpb.AccountRecord {
	moved := &vmpb.AccountMoved{Program: program, Tokens: tokens}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Received{Received: moved}}
}

// Apply updates the balances by a record.
func (b *Balances) Apply(record *vmpb.AccountRecord, now time.Time) {
	switch k := record.GetKind().(type) {
	case *vmpb.AccountRecord_Origin:
		b.id, b.complete = k.Origin.GetId(), k.Origin.GetWhole()
	case *vmpb.AccountRecord_Opened:
		b.open(k.Opened, now)
	case *vmpb.AccountRecord_Joined:
		b.update(k.Joined.GetProgram(), now, func(a *programAccount) {
			a.home, a.isolated = k.Joined.GetHome(), false
			a.received += k.Joined.GetShare()
		})
	case *vmpb.AccountRecord_Reserved:
		b.update(k.Reserved.GetProgram(), now, func(a *programAccount) {
			a.reservations[k.Reserved.GetCall()] = k.Reserved.GetTokens()
			a.reservedTokens += k.Reserved.GetTokens()
		})
	case *vmpb.AccountRecord_Settled:
		b.update(k.Settled.GetProgram(), now, func(a *programAccount) {
			a.reservedTokens -= a.reservations[k.Settled.GetCall()]
			delete(a.reservations, k.Settled.GetCall())
			a.spent += k.Settled.GetUsed()
		})
	case *vmpb.AccountRecord_Given:
		b.update(k.Given.GetProgram(), now, func(a *programAccount) { a.transferredOut += k.Given.GetTokens() })
	case *vmpb.AccountRecord_Received:
		b.update(k.Received.GetProgram(), now, func(a *programAccount) {
			a.received += k.Received.GetTokens()
			a.grantReceived = a.grantReceived || k.Received.GetPart()
		})
	case *vmpb.AccountRecord_HandedOver:
		b.addHandedOver(k.HandedOver, now)
	}
}

func (b *Balances) open(m *vmpb.AccountOpened, now time.Time) {
	b.programs[m.GetProgram()] = &programAccount{
		home: m.GetHome(), grantReceived: m.GetGranted(),
		isolated: m.GetIsolated(), isolatedShare: m.GetTaken(), budget: m.GetBudget(), reservations: make(map[string]uint64), lastUsed: now,
		received: m.GetShare() + m.GetSpent(), spent: m.GetSpent(),
	}
}

func (b *Balances) addHandedOver(m *vmpb.AccountHandOver, now time.Time) {
	b.handOvers[m.GetId()] = now
	for _, p := range m.GetPrograms() {
		if _, known := b.programs[p.GetProgram()]; !known {
			b.open(p, now)
			continue
		}
		b.update(p.GetProgram(), now, func(a *programAccount) { a.received += p.GetShare() })
	}
}

func (b *Balances) update(program string, now time.Time, apply func(*programAccount)) {
	a, ok := b.programs[program]
	if !ok {
		return
	}
	a.lastUsed = now
	apply(a)
}

// Records returns the records from which the balances can be restored, without
// programs that were last used before since.
func (b *Balances) Records(since time.Time) []*vmpb.AccountRecord {
	records := []*vmpb.AccountRecord{originRecord(b.id, b.complete)}
	for id, at := range b.handOvers {
		if !at.Before(since) {
			records = append(records, &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_HandedOver{HandedOver: &vmpb.AccountHandOver{Id: id}}})
		}
	}
	for program, a := range b.programs {
		if a.lastUsed.Before(since) {
			continue
		}
		share := a.received - min(a.received, a.transferredOut+a.spent)
		records = append(records, &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Opened{
			Opened: &vmpb.AccountOpened{Program: program, Budget: a.budget, Share: share, Home: a.home, Granted: a.grantReceived, Isolated: a.isolated, Taken: a.isolatedShare, Spent: a.spent},
		}})
		for call, tokens := range a.reservations {
			records = append(records, &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Reserved{
				Reserved: &vmpb.AccountReserve{Program: program, Call: call, Budget: a.budget, Tokens: tokens},
			}})
		}
	}
	return records
}

// Expire removes programs that were last used before since.
func (b *Balances) Expire(since time.Time) {
	for program, a := range b.programs {
		if a.lastUsed.Before(since) {
			delete(b.programs, program)
		}
	}
	maps.DeleteFunc(b.handOvers, func(_ string, at time.Time) bool { return at.Before(since) })
}

func originRecord(id string, complete bool) *vmpb.AccountRecord {
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Origin{Origin: &vmpb.AccountOrigin{Id: id, Whole: complete}}}
}
