package pair_test

import (
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/pair"
)

const maxMessages = 12

// weakRule selects a rule that is weaker than the package's.
type weakRule int

const (
	correctRules weakRule = iota
	// takeOverAlone lets a backup take over on its own whenever the platform is
	// unreachable.
	takeOverAlone
	// trustRestart lets a holder replace a backup whose VM has restarted,
	// regardless of how long it was unresponsive.
	trustRestart
	// replaceAlone lets a holder replace an unresponsive backup on its own.
	replaceAlone
)

// chooser draws the numbers of a schedule.
type chooser func(n int) int

// node is the current instance of one VM in the simulation.
type node struct {
	self     hawthornrail.Instance
	live     bool
	started  time.Time
	frozen   bool
	draining bool

	holder   *pair.Holder
	log      []int
	dirty    bool
	lastSync int
	pending  int
	offer    pair.Pairing
	ready    bool

	backup         *pair.Backup
	backupLog      []int
	appliedSync    int
	highestOffered uint64
	queryID        int
	startTimes     map[string]time.Time
}

// message is a message between instances, or a call of the platform and its
// response.
type message struct {
	from, to hawthornrail.Instance
	kind     string
	pairing  pair.Pairing
	epoch    uint64
	held     uint64
	sent     time.Time
	uptime   time.Duration
	grant    uint64
	reclaim  bool
	number   int
	log      []int
	ok       bool
	version  int
	read     bool
}

// simulation simulates a fleet with one holding, its network and its platform.
type simulation struct {
	choose        chooser
	now           time.Time
	nodes         []*node
	messages      []message
	partitioned   map[[2]string]bool
	platformCalls []message
	storedPairing pair.Pairing
	version       int
	platformDown  bool
	step          int
	committed     []int
	rule          weakRule
	noKills       bool
	noFaults      bool
	violation     string
	takeovers     int
}

func newSimulation(size int, choose chooser, rule weakRule) *simulation {
	w := &simulation{choose: choose, now: time.Unix(1_700_000_000, 0), partitioned: make(map[[2]string]bool), rule: rule}
	for i := range size {
		w.nodes = append(w.nodes, &node{self: hawthornrail.NewInstance(string(rune('a'+i)), "dc1", 1), live: true})
	}
	w.nodes[0].holder = pair.NewHolder(w.nodes[0].self, 1)
	return w
}

func (w *simulation) send(p message) { w.messages = append(w.messages, p) }

func (w *simulation) find(i hawthornrail.Instance) *node {
	for _, n := range w.nodes {
		if n.self == i && n.live && !n.frozen {
			return n
		}
	}
	return nil
}

// runEvent performs one random event of the schedule.
func (w *simulation) runEvent() {
	if len(w.messages) > maxMessages {
		w.dropMessage()
	}
	switch k := w.choose(100); {
	case k < 52:
		w.deliver()
	case k < 76:
		w.tick(w.nodes[w.choose(len(w.nodes))])
	case k < 85:
		w.now = w.now.Add(time.Duration(w.choose(3)+1) * 50 * time.Millisecond)
	case k < 97:
		w.platform()
	case !w.noFaults:
		w.injectFault(w.nodes[w.choose(len(w.nodes))])
	}
}

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.noFaults, w.platformDown = true, false
	clear(w.partitioned)
	for _, n := range w.nodes {
		n.frozen, n.draining = false, false
	}
}

// injectFault starts or ends a fault.
func (w *simulation) injectFault(n *node) {
	switch w.choose(10) {
	case 0, 1:
		w.platformDown = !w.platformDown && w.choose(2) == 0
	case 2, 3:
		n.frozen = !n.frozen && w.choose(2) == 0
	case 4:
		w.togglePartition(n)
	case 5:
		clear(w.partitioned)
	case 6:
		if !w.noKills {
			w.kill(n)
		}
	case 7:
		n.draining = w.choose(2) == 0
	case 8:
		w.now = w.now.Add(2 * pair.TakeoverTimeout)
	default:
		w.dropMessage()
	}
}

func (w *simulation) togglePartition(n *node) {
	other := w.nodes[w.choose(len(w.nodes))]
	k := [2]string{n.self.VM(), other.self.VM()}
	w.partitioned[k] = !w.partitioned[k]
}

// kill ends an instance; its VM restarts without state.
func (w *simulation) kill(n *node) {
	i := slices.Index(w.nodes, n)
	next := hawthornrail.NewInstance(n.self.VM(), "dc1", n.self.Incarnation()+1)
	w.nodes[i] = &node{self: next, live: true, started: w.now}
}

func (w *simulation) dropMessage() {
	if len(w.messages) > 0 {
		i := w.choose(len(w.messages))
		w.messages = slices.Delete(w.messages, i, i+1)
	}
}

// deliver delivers a random message, and occasionally duplicates it.
func (w *simulation) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.choose(len(w.messages))
	p := w.messages[i]
	if w.choose(20) != 0 {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	if n := w.find(p.to); n != nil && !w.partitioned[[2]string{p.from.VM(), p.to.VM()}] {
		w.receive(n, p)
	}
}

func (w *simulation) receive(n *node, p message) {
	switch p.kind {
	case "beat", "step", "sync", "offer", "hand", "greet", "seen":
		w.receiveRequest(n, p)
	case "answer":
		w.receivePlatformResponse(n, p)
	default:
		w.receiveReply(n, p)
	}
}

// receiveRequest handles a request of a holder and sends the reply.
func (w *simulation) receiveRequest(n *node, p message) {
	reply := message{from: n.self, to: p.from, kind: p.kind + "-reply", epoch: p.epoch, number: p.number, pairing: p.pairing, sent: p.sent}
	b := n.backup
	if n.holder != nil {
		n.holder.Supersede(p.held)
		reply.held = n.holder.Pairing().Epoch()
	}
	switch {
	case p.kind == "greet" || p.kind == "seen":
		reply.uptime = w.now.Sub(n.started)
		reply.grant = n.highestOffered
	case p.kind == "offer":
		offer := pair.NewOffer(p.pairing, p.held)
		if n.holder == nil && !n.draining && offer.Replaces(b) {
			n.highestOffered = max(n.highestOffered, p.pairing.Epoch())
			n.backup, n.backupLog, n.appliedSync, reply.ok = pair.NewBackup(offer, w.now), p.log, 0, true
		}
	case b == nil:
	case p.kind == "hand":
		if next, ok := b.AcceptHandoff(p.from, p.epoch); ok {
			w.becomeHolder(n, next)
			reply.ok = true
		}
		reply.reclaim = b.HasResigned()
	case !b.Accept(p.from, p.epoch, w.now):
		reply.reclaim = b.HasResigned() && b.Pairing().Epoch() == p.epoch
	case p.kind == "beat":
		reply.ok = true
		if p.reclaim {
			b.ReturnGrant(p.grant)
		} else if p.grant > 0 {
			b.AcceptGrant(p.grant)
		}
		reply.grant = b.Returned()
	case p.kind == "step":
		if reply.ok = len(n.backupLog) == len(p.log)-1; reply.ok {
			n.backupLog = append(slices.Clone(n.backupLog), p.log[len(p.log)-1])
		}
	case p.kind == "sync":
		if reply.ok = p.number > n.appliedSync; reply.ok {
			n.backupLog, n.appliedSync = p.log, p.number
		}
	}
	w.send(reply)
}

// receiveReply handles a reply at the holder.
func (w *simulation) receiveReply(n *node, p message) {
	h := n.holder
	if h == nil || h.Superseded() {
		return
	}
	h.Supersede(p.held)
	switch p.kind {
	case "offer-reply":
		if p.ok && p.pairing == n.offer {
			n.ready = true
		}
		return
	case "hand-reply":
		if h.Pairing().Epoch() == p.epoch && p.reclaim {
			h.Resigned()
		}
		return
	}
	if h.Pairing().Epoch() != p.epoch {
		return
	}
	if p.kind == "greet-reply" {
		if w.rule == trustRestart {
			h.Resigned()
		}
		h.BackupEnded(w.now.Add(-p.uptime))
		w.requestOffers(n, p)
		return
	}
	if p.kind == "seen-reply" {
		w.unclaimed(n, p)
		return
	}
	if h.Pairing().Backup() != p.from {
		return
	}
	if p.reclaim {
		h.Resigned()
		return
	}
	switch {
	case p.kind == "beat-reply" && p.ok:
		h.Acknowledged(p.sent, w.now)
		h.Returned(p.grant)
	case p.kind == "sync-reply" && p.ok && p.number == n.lastSync:
		n.dirty = false
	case p.kind == "step-reply" && p.number == n.pending && n.pending != 0:
		w.completeStep(n, p.ok)
	}
}

// completeStep commits an accepted step and checks that all earlier steps
// precede it.
func (w *simulation) completeStep(n *node, ok bool) {
	if !ok {
		n.pending, n.dirty = 0, true
		return
	}
	n.log = append(slices.Clone(n.log), n.pending)
	n.pending = 0
	if len(n.log) <= len(w.committed) || !slices.Equal(n.log[:len(w.committed)], w.committed) {
		w.violation = "a step took effect at " + n.self.String() + " without an earlier step"
	}
	w.committed = n.log
}

func (w *simulation) becomeHolder(n *node, p pair.Pairing) {
	n.holder = pair.NewHolder(n.self, p.Epoch())
	n.log, n.dirty, n.pending, n.lastSync = n.backupLog, false, 0, 0
	n.backup, n.offer, n.ready = nil, pair.Pairing{}, false
	w.takeovers++
}

func (w *simulation) tick(n *node) {
	if n.frozen {
		return
	}
	if n.holder != nil {
		w.tickHolder(n)
	}
	if n.backup != nil {
		w.tickBackup(n)
	}
}

func (w *simulation) tickHolder(n *node) {
	h := n.holder
	if h.Superseded() {
		n.holder = nil
		return
	}
	p := h.Pairing()
	if w.rule == replaceAlone && h.Unresponsive(w.now) {
		h.Resigned()
	}
	if h.Released() || n.draining && n.pending == 0 && !n.replacing() && h.Release() {
		w.send(message{from: n.self, to: p.Backup(), kind: "hand", epoch: p.Epoch()})
		return
	}
	w.requestUptimes(n, p)
	if p.Backup().IsZero() || h.Unresponsive(w.now) || h.MayReplace() == pair.ChangeSolo || n.replacing() {
		w.replace(n)
	}
	if n.replacing() || p.Backup().IsZero() {
		return
	}
	if w.platformDown {
		h.GiveUpRight()
	}
	w.send(message{from: n.self, to: p.Backup(), kind: "beat", sent: w.now, epoch: p.Epoch(), grant: h.Grant(), reclaim: !w.platformDown})
	w.tryStep(n)
}

// requestUptimes requests the uptime of a later instance of the backup's VM.
func (w *simulation) requestUptimes(n *node, p pair.Pairing) {
	for _, other := range w.nodes {
		if other.self.VM() == p.Backup().VM() && other.self != p.Backup() {
			w.send(message{from: n.self, to: other.self, kind: "greet", epoch: p.Epoch()})
		}
	}
}

// requestOffers requests from the other VMs the highest epoch that each was
// offered, once the backup's instance is known to have ended.
func (w *simulation) requestOffers(n *node, p message) {
	w.step++
	n.queryID, n.startTimes = w.step, map[string]time.Time{p.from.VM(): {}}
	for _, other := range w.nodes {
		if other != n && other.self != p.from {
			w.send(message{from: n.self, to: other.self, kind: "seen", epoch: p.epoch, number: n.queryID})
		}
	}
}

func (w *simulation) unclaimed(n *node, p message) {
	if p.number != n.queryID || p.grant > p.epoch {
		return
	}
	n.startTimes[p.from.VM()] = w.now.Add(-p.uptime)
	var began time.Time
	for _, t := range n.startTimes {
		if t.After(began) {
			began = t
		}
	}
	if len(n.startTimes) == len(w.nodes)-1 {
		n.holder.NoLaterOffers(began)
	}
}

func (n *node) replacing() bool { return n.offer.Epoch() != 0 }

func (w *simulation) tryStep(n *node) {
	h := n.holder
	p := h.Pairing()
	if !h.MayStep(false) {
		return
	}
	if n.pending != 0 {
		if w.choose(3) == 0 {
			n.pending, n.dirty = 0, true
		}
		return
	}
	if n.dirty {
		n.lastSync++
		w.send(message{from: n.self, to: p.Backup(), kind: "sync", epoch: p.Epoch(), number: n.lastSync, log: n.log})
		return
	}
	w.step++
	n.pending = w.step
	w.send(message{from: n.self, to: p.Backup(), kind: "step", epoch: p.Epoch(), number: w.step, log: append(slices.Clone(n.log), w.step)})
}

// replace offers a copy to another VM and then changes the pairing.
func (w *simulation) replace(n *node) {
	h := n.holder
	change := h.MayReplace()
	if change == pair.ChangeNone {
		return
	}
	if n.pending != 0 {
		n.pending, n.dirty = 0, true
	}
	_, attempting := h.Attempting()
	switch {
	case !n.replacing() || (!attempting && !n.ready && w.choose(4) == 0):
		other := w.nodes[w.choose(len(w.nodes))]
		if other == n {
			return
		}
		n.offer, n.ready = h.Next(other.self), false
		w.send(message{from: n.self, to: other.self, kind: "offer", pairing: n.offer, held: h.Pairing().Epoch(), log: n.log})
	case n.ready && change == pair.ChangeSolo:
		h.Adopt(n.offer, w.now)
		w.resetReplacement(n)
	case n.ready:
		w.platformCalls = append(w.platformCalls, message{from: n.self, read: true})
	}
}

func (w *simulation) resetReplacement(n *node) {
	n.offer, n.ready, n.dirty, n.lastSync = pair.Pairing{}, false, false, 0
}

func (w *simulation) tickBackup(n *node) {
	b := n.backup
	b.Tick(w.now)
	if b.Superseded() {
		n.backup = nil
		return
	}
	if n.draining && b.Resign() {
		return
	}
	if w.rule == takeOverAlone && w.platformDown && b.Active() {
		b.AcceptGrant(b.Returned() + 1)
	}
	dead := w.ended(b.Pairing().Holder()) && w.choose(4) == 0
	switch b.MayTakeOver(w.now, dead) {
	case pair.ChangeSolo:
		if next, ok := b.BeginSolo(); ok {
			w.becomeHolder(n, next)
		}
	case pair.ChangeByPlatform:
		w.platformCalls = append(w.platformCalls, message{from: n.self, read: true})
	}
}

func (w *simulation) ended(i hawthornrail.Instance) bool {
	return !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.self == i })
}

// platform executes a random pending call; its response may be lost.
func (w *simulation) platform() {
	if w.platformDown || len(w.platformCalls) == 0 {
		return
	}
	i := w.choose(len(w.platformCalls))
	p := w.platformCalls[i]
	w.platformCalls = slices.Delete(w.platformCalls, i, i+1)
	if !p.read && p.version == w.version {
		w.storedPairing = p.pairing
		w.version++
		p.ok = true
	}
	if w.choose(4) != 0 {
		w.send(message{from: p.from, to: p.from, kind: "answer", pairing: w.storedPairing, version: w.version, read: p.read, ok: p.ok, number: p.version})
	}
}

// receivePlatformResponse handles the platform's response to a read or an update. The outcome
// of an update is determined from the stored object.
func (w *simulation) receivePlatformResponse(n *node, p message) {
	if n.holder != nil {
		w.receiveAtHolder(n, p)
	} else if n.backup != nil {
		w.receiveAtBackup(n, p)
	}
}

func (w *simulation) receiveAtHolder(n *node, p message) {
	h := n.holder
	if h.Observe(p.pairing, w.now) {
		if !h.Superseded() {
			w.resetReplacement(n)
		}
		return
	}
	if h.Superseded() || !p.read || !n.ready || h.MayReplace() != pair.ChangeByPlatform {
		return
	}
	h.BeginChange(n.offer)
	w.platformCalls = append(w.platformCalls, message{from: n.self, pairing: n.offer, version: p.version})
}

func (w *simulation) receiveAtBackup(n *node, p message) {
	b := n.backup
	if b.Observe(p.pairing) {
		w.becomeHolder(n, b.PairingAfterTakeover())
		return
	}
	if !p.read || b.MayTakeOver(w.now, false) != pair.ChangeByPlatform {
		return
	}
	if next, ok := b.Begin(p.pairing); ok {
		w.platformCalls = append(w.platformCalls, message{from: n.self, pairing: next, version: p.version})
	}
}
