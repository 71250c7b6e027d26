package account_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// lateReply is longer than a call waits for tokens of another holder.
	lateReply = 700 * time.Millisecond
	// lateAnnounceReply is longer than an announcement is awaited.
	lateAnnounceReply = 500 * time.Millisecond
	// arrivalTimeout bounds the wait for tokens in late replies.
	arrivalTimeout = 5 * time.Second
)

// Guards against a false refusal for a spent budget: a TCP segment is lost, the reply to a
// transfer arrives after the retransmission, and its tokens were given up meanwhile.
func TestTokensInLateRepliesAreKept(t *testing.T) {
	f := newFleet(t, 1)
	f.budgets["program"] = 405
	if !f.reserve("dc2", "program", "first", 135) {
		t.Fatal("the first call is refused")
	}
	f.transferReplyDelay = lateReply
	granted := 0
	if f.reserve("dc3", "program", "second", 135) {
		granted++
	}
	f.transferReplyDelay = 0
	for deadline := time.Now().Add(arrivalTimeout); granted < 2 && time.Now().Before(deadline); {
		if f.reserve("dc3", "program", fmt.Sprintf("later%d", granted), 135) {
			granted++
		}
	}
	if granted != 2 {
		t.Errorf("%d of the 2 calls that the rest of the budget allows are granted", granted)
	}
	f.assertWithinBudgets(t)
}

// Guards against tokens that are given twice for one request: a request that is also
// relayed arrives twice, and only one of the replies is used.
func TestRepeatedTransferGivesTokensOnce(t *testing.T) {
	f := newFleet(t, 1)
	// So few that none are granted to other holders.
	f.budgets["program"] = 269
	if !f.reserve("dc2", "program", "first", 135) {
		t.Fatal("the first call is refused")
	}
	transfer := &vmpb.AccountTransfer{Program: "program", Budget: 269, Wanted: 50, Id: "t1"}
	for range 2 {
		reply, err := f.holders["dc2"].Transfer(context.Background(), transfer)
		if err != nil || reply.GetMoved() != 67 {
			t.Fatalf("moved %d tokens, error %v, want 67", reply.GetMoved(), err)
		}
	}
	if !f.reserve("dc2", "program", "second", 67) {
		t.Error("a call within the rest of the budget is refused")
	}
}
