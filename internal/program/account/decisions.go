package account

import "hawthornrail.example/hawthornrail/internal/wire/vmpb"

// Open returns the record that opens a program's account with a share of the
// budget. home is the ID of the journal that received the whole budget.
func (b *Balances) Open(program string, budget, share uint64, home string) *vmpb.AccountRecord {
	opened := &vmpb.AccountOpened{Program: program, Budget: budget, Share: share, Home: home}
	return &vmpb.AccountRecord{Kind: &vmpb.AccountRecord_Opened{Opened: opened}}
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
	if _, ok := b.account(m.GetProgram()).reservations[m.GetCall()]; !ok {
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
