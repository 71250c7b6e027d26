package account

import (
	"maps"
	"slices"
	"time"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Balances are one holder's accounts of programs. Its methods do no I/O: they
// return records of decisions, which callers write to the journal before relying on them.
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

// account returns a program's account, which is empty if there is none.
func (b *Balances) account(program string) *programAccount {
	if a, ok := b.programs[program]; ok {
		return a
	}
	return &programAccount{}
}

// Used returns the tokens that calls of a program have used or reserved at this holder.
func (b *Balances) Used(program string) uint64 {
	a := b.account(program)
	return a.spent + a.reservedTokens
}

// Budget returns the budget with which a program's account was opened, or 0 if it is not
// known here.
func (b *Balances) Budget(program string) uint64 { return b.account(program).budget }

// Reserved returns the tokens that a call of a program has reserved.
func (b *Balances) Reserved(program, call string) uint64 {
	return b.account(program).reservations[call]
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
func (b *Balances) Available(program string) uint64 { return b.account(program).available() }

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

// IsolatedShare returns the isolated share that this holder has given to a
// program.
func (b *Balances) IsolatedShare(program string) uint64 { return b.account(program).isolatedShare }

// IsIsolated reports whether a program has only its isolated share.
func (b *Balances) IsIsolated(program string) bool { return b.account(program).isolated }

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
