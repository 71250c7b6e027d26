package pair_test

import (
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/pair"
)

const maxPackets = 12

// naive names a rule that is weaker than the package's.
type naive int

const (
	proper naive = iota
	// takeAlone lets a backup take over alone whenever the platform is away.
	takeAlone
	// trustRestart lets a holder replace a backup whose VM started again,
	// however long it was silent.
	trustRestart
	// replaceAlone lets a holder replace a silent backup alone.
	replaceAlone
)

// chooser draws the numbers of a schedule.
type chooser func(n int) int

// node is one VM's present instance in the simulation.
type node struct {
	self    hawthornrail.Instance
	live    bool
	started time.Time
	frozen  bool
	leaving bool

	holder  *pair.Holder
	log     []int
	dirty   bool
	syncs   int
	pending int
	offer   pair.Pairing
	ready   bool

	backup *pair.Backup
	copied []int
	synced int
	seen   uint64
	asked  int
	clear  map[string]time.Time
}

// packet is a message between instances or an answer of the platform.
type packet struct {
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

// world is a fleet of one holding with its network and platform.
type world struct {
	choose   chooser
	now      time.Time
	nodes    []*node
	net      []packet
	cut      map[[2]string]bool
	store    []packet
	object   pair.Pairing
	version  int
	away     bool
	step     int
	truth    []int
	naive    naive
	immortal bool
	calm     bool
	broken   string
	taken    int
}

func newWorld(size int, choose chooser, rule naive) *world {
	w := &world{choose: choose, now: time.Unix(1_700_000_000, 0), cut: make(map[[2]string]bool), naive: rule}
	for i := range size {
		w.nodes = append(w.nodes, &node{self: hawthornrail.NewInstance(string(rune('a'+i)), "dc1", 1), live: true})
	}
	w.nodes[0].holder = pair.NewHolder(w.nodes[0].self, 1)
	return w
}

func (w *world) send(p packet) { w.net = append(w.net, p) }

func (w *world) find(i hawthornrail.Instance) *node {
	for _, n := range w.nodes {
		if n.self == i && n.live && !n.frozen {
			return n
		}
	}
	return nil
}

// act performs one random event of the schedule.
func (w *world) act() {
	if len(w.net) > maxPackets {
		w.lose()
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
	case !w.calm:
		w.fail(w.nodes[w.choose(len(w.nodes))])
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.calm, w.away = true, false
	clear(w.cut)
	for _, n := range w.nodes {
		n.frozen, n.leaving = false, false
	}
}

// fail brings a fault about, or ends one.
func (w *world) fail(n *node) {
	switch w.choose(10) {
	case 0, 1:
		w.away = !w.away && w.choose(2) == 0
	case 2, 3:
		n.frozen = !n.frozen && w.choose(2) == 0
	case 4:
		w.toggleCut(n)
	case 5:
		clear(w.cut)
	case 6:
		if !w.immortal {
			w.kill(n)
		}
	case 7:
		n.leaving = w.choose(2) == 0
	case 8:
		w.now = w.now.Add(2 * pair.TakeoverTimeout)
	default:
		w.lose()
	}
}

func (w *world) toggleCut(n *node) {
	other := w.nodes[w.choose(len(w.nodes))]
	k := [2]string{n.self.VM(), other.self.VM()}
	w.cut[k] = !w.cut[k]
}

// kill ends an instance; its VM starts again with an empty memory.
func (w *world) kill(n *node) {
	i := slices.Index(w.nodes, n)
	next := hawthornrail.NewInstance(n.self.VM(), "dc1", n.self.Incarnation()+1)
	w.nodes[i] = &node{self: next, live: true, started: w.now}
}

func (w *world) lose() {
	if len(w.net) > 0 {
		i := w.choose(len(w.net))
		w.net = slices.Delete(w.net, i, i+1)
	}
}

// deliver delivers a message out of order, and now and then twice.
func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := w.choose(len(w.net))
	p := w.net[i]
	if w.choose(20) != 0 {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if n := w.find(p.to); n != nil && !w.cut[[2]string{p.from.VM(), p.to.VM()}] {
		w.receive(n, p)
	}
}

func (w *world) receive(n *node, p packet) {
	switch p.kind {
	case "beat", "step", "sync", "offer", "hand", "greet", "seen":
		w.serve(n, p)
	case "answer":
		w.answered(n, p)
	default:
		w.acked(n, p)
	}
}

// serve takes what a holder sends to its backup.
func (w *world) serve(n *node, p packet) {
	reply := packet{from: n.self, to: p.from, kind: p.kind + "-reply", epoch: p.epoch, number: p.number, pairing: p.pairing, sent: p.sent}
	b := n.backup
	if n.holder != nil {
		n.holder.Supersede(p.held)
		reply.held = n.holder.Pairing().Epoch()
	}
	switch {
	case p.kind == "greet" || p.kind == "seen":
		reply.uptime = w.now.Sub(n.started)
		reply.grant = n.seen
	case p.kind == "offer":
		offer := pair.NewOffer(p.pairing, p.held)
		if n.holder == nil && !n.leaving && offer.Replaces(b) {
			n.seen = max(n.seen, p.pairing.Epoch())
			n.backup, n.copied, n.synced, reply.ok = pair.NewBackup(offer, w.now), p.log, 0, true
		}
	case b == nil:
	case p.kind == "hand":
		if next, ok := b.HandOver(p.from, p.epoch); ok {
			w.becomeHolder(n, next)
			reply.ok = true
		}
		reply.reclaim = b.HasResigned()
	case !b.Accept(p.from, p.epoch, w.now):
		reply.reclaim = b.HasResigned() && b.Pairing().Epoch() == p.epoch
	case p.kind == "beat":
		reply.ok = true
		if p.reclaim {
			b.Return(p.grant)
		} else if p.grant > 0 {
			b.Granted(p.grant)
		}
		reply.grant = b.Returned()
	case p.kind == "step":
		if reply.ok = len(n.copied) == len(p.log)-1; reply.ok {
			n.copied = append(slices.Clone(n.copied), p.log[len(p.log)-1])
		}
	case p.kind == "sync":
		if reply.ok = p.number > n.synced; reply.ok {
			n.copied, n.synced = p.log, p.number
		}
	}
	w.send(reply)
}

// acked takes a backup's reply.
func (w *world) acked(n *node, p packet) {
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
		if w.naive == trustRestart {
			h.Resigned()
		}
		h.Ended(w.now.Add(-p.uptime))
		w.askAll(n, p)
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
	case p.kind == "sync-reply" && p.ok && p.number == n.syncs:
		n.dirty = false
	case p.kind == "step-reply" && p.number == n.pending && n.pending != 0:
		w.stepped(n, p.ok)
	}
}

// stepped lets a step take effect and checks it against all earlier ones.
func (w *world) stepped(n *node, ok bool) {
	if !ok {
		n.pending, n.dirty = 0, true
		return
	}
	n.log = append(slices.Clone(n.log), n.pending)
	n.pending = 0
	if len(n.log) <= len(w.truth) || !slices.Equal(n.log[:len(w.truth)], w.truth) {
		w.broken = "a step took effect at " + n.self.String() + " without an earlier one"
	}
	w.truth = n.log
}

func (w *world) becomeHolder(n *node, p pair.Pairing) {
	n.holder = pair.NewHolder(n.self, p.Epoch())
	n.log, n.dirty, n.pending, n.syncs = n.copied, false, 0, 0
	n.backup, n.offer, n.ready = nil, pair.Pairing{}, false
	w.taken++
}

func (w *world) tick(n *node) {
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

func (w *world) tickHolder(n *node) {
	h := n.holder
	if h.Superseded() {
		n.holder = nil
		return
	}
	p := h.Pairing()
	if w.naive == replaceAlone && h.Silent(w.now) {
		h.Resigned()
	}
	if h.Released() || n.leaving && n.pending == 0 && !n.replacing() && h.Release() {
		w.send(packet{from: n.self, to: p.Backup(), kind: "hand", epoch: p.Epoch()})
		return
	}
	w.greet(n, p)
	if p.Backup().IsZero() || h.Silent(w.now) || h.MayReplace() == pair.ChangeAlone || n.replacing() {
		w.replace(n)
	}
	if n.replacing() || p.Backup().IsZero() {
		return
	}
	if w.away {
		h.GiveUp()
	}
	w.send(packet{from: n.self, to: p.Backup(), kind: "beat", sent: w.now, epoch: p.Epoch(), grant: h.Grant(), reclaim: !w.away})
	w.trystep(n)
}

// greet asks a later run of the backup's VM how long it has been up.
func (w *world) greet(n *node, p pair.Pairing) {
	for _, other := range w.nodes {
		if other.self.VM() == p.Backup().VM() && other.self != p.Backup() {
			w.send(packet{from: n.self, to: other.self, kind: "greet", epoch: p.Epoch()})
		}
	}
}

// askAll asks the other VMs what they were offered, after the backup's
// instance is known to have ended.
func (w *world) askAll(n *node, p packet) {
	w.step++
	n.asked, n.clear = w.step, map[string]time.Time{p.from.VM(): {}}
	for _, other := range w.nodes {
		if other != n && other.self != p.from {
			w.send(packet{from: n.self, to: other.self, kind: "seen", epoch: p.epoch, number: n.asked})
		}
	}
}

func (w *world) unclaimed(n *node, p packet) {
	if p.number != n.asked || p.grant > p.epoch {
		return
	}
	n.clear[p.from.VM()] = w.now.Add(-p.uptime)
	var began time.Time
	for _, t := range n.clear {
		if t.After(began) {
			began = t
		}
	}
	if len(n.clear) == len(w.nodes)-1 {
		n.holder.Unclaimed(began)
	}
}

func (n *node) replacing() bool { return n.offer.Epoch() != 0 }

func (w *world) trystep(n *node) {
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
		n.syncs++
		w.send(packet{from: n.self, to: p.Backup(), kind: "sync", epoch: p.Epoch(), number: n.syncs, log: n.log})
		return
	}
	w.step++
	n.pending = w.step
	w.send(packet{from: n.self, to: p.Backup(), kind: "step", epoch: p.Epoch(), number: w.step, log: append(slices.Clone(n.log), w.step)})
}

// replace offers the copy to another VM and then changes the pairing.
func (w *world) replace(n *node) {
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
		w.send(packet{from: n.self, to: other.self, kind: "offer", pairing: n.offer, held: h.Pairing().Epoch(), log: n.log})
	case n.ready && change == pair.ChangeAlone:
		h.Adopt(n.offer, w.now)
		w.adopted(n)
	case n.ready:
		w.store = append(w.store, packet{from: n.self, read: true})
	}
}

func (w *world) adopted(n *node) {
	n.offer, n.ready, n.dirty, n.syncs = pair.Pairing{}, false, false, 0
}

func (w *world) tickBackup(n *node) {
	b := n.backup
	b.Tick(w.now)
	if b.Superseded() {
		n.backup = nil
		return
	}
	if n.leaving && b.Resign() {
		return
	}
	if w.naive == takeAlone && w.away && b.Active() {
		b.Granted(b.Returned() + 1)
	}
	dead := w.ended(b.Pairing().Holder()) && w.choose(4) == 0
	switch b.MayTakeOver(w.now, dead) {
	case pair.ChangeAlone:
		if next, ok := b.BeginAlone(); ok {
			w.becomeHolder(n, next)
		}
	case pair.ChangeByPlatform:
		w.store = append(w.store, packet{from: n.self, read: true})
	}
}

func (w *world) ended(i hawthornrail.Instance) bool {
	return !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.self == i })
}

// platform executes a call in any order; its answer may be lost.
func (w *world) platform() {
	if w.away || len(w.store) == 0 {
		return
	}
	i := w.choose(len(w.store))
	p := w.store[i]
	w.store = slices.Delete(w.store, i, i+1)
	if !p.read && p.version == w.version {
		w.object = p.pairing
		w.version++
		p.ok = true
	}
	if w.choose(4) != 0 {
		w.send(packet{from: p.from, to: p.from, kind: "answer", pairing: w.object, version: w.version, read: p.read, ok: p.ok, number: p.version})
	}
}

// answered takes the platform's answer to a read, or to an update, which is
// settled by what the object holds.
func (w *world) answered(n *node, p packet) {
	if n.holder != nil {
		w.answeredHolder(n, p)
	} else if n.backup != nil {
		w.answeredBackup(n, p)
	}
}

func (w *world) answeredHolder(n *node, p packet) {
	h := n.holder
	if h.Observe(p.pairing, w.now) {
		if !h.Superseded() {
			w.adopted(n)
		}
		return
	}
	if h.Superseded() || !p.read || !n.ready || h.MayReplace() != pair.ChangeByPlatform {
		return
	}
	h.Attempt(n.offer)
	w.store = append(w.store, packet{from: n.self, pairing: n.offer, version: p.version})
}

func (w *world) answeredBackup(n *node, p packet) {
	b := n.backup
	if b.Observe(p.pairing) {
		w.becomeHolder(n, b.Taken())
		return
	}
	if !p.read || b.MayTakeOver(w.now, false) != pair.ChangeByPlatform {
		return
	}
	if next, ok := b.Begin(p.pairing); ok {
		w.store = append(w.store, packet{from: n.self, pairing: next, version: p.version})
	}
}
